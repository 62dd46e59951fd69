"""Entry point of the command ``mustardwood-entry``."""

import typing

from mustardwood import claimstore
from mustardwood import messages
from mustardwood import runtime
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.entry import entry_daemon
from mustardwood.keyvalue import http_key_value_service


def build_entry(settings: settings_module.Settings, reactor: typing.Any,
                clock: timing.Clock) -> runtime.Daemon:
    """Creates the entry process from its settings."""
    from mustardwood.links import pynng_link
    link = pynng_link.PynngLink.from_settings(settings, messages.Role.ENTRY,
                                              clock)
    service = http_key_value_service.HttpKeyValueService.from_settings(
        settings, reactor, clock)
    store = claimstore.KeyValueClaimStore.from_service(service,
                                                       clock,
                                                       settings.vm,
                                                       timer=reactor)
    return entry_daemon.EntryDaemon(settings, reactor, clock, link, store=store)


def main() -> None:
    """Runs the command line."""
    runtime.run_command("entry", build_entry, _needs_tls)


def _needs_tls(settings: settings_module.Settings) -> bool:
    has_callers_tls = settings.callers_tls is not None
    has_platform_tls = settings.platform_url.startswith("https:")
    return settings.endpoints_tls or has_callers_tls or has_platform_tls


if __name__ == "__main__":
    main()
