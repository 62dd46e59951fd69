"""The command ``mustardwood-entry``."""

import typing

from mustardwood import messages
from mustardwood import runtime
from mustardwood import settings as settings_module
from mustardwood import timing


def build_entry(settings: settings_module.Settings, reactor: typing.Any,
                clock: timing.Clock) -> runtime.Daemon:
    """Builds the process from its settings."""
    # These import a reactor, so the launcher's must be installed before.
    from mustardwood import claims
    from mustardwood.entry import entry_daemon
    from mustardwood.keyvalue import http_key_value_service
    from mustardwood.links import pynng_link
    link = pynng_link.PynngLink.from_settings(settings, messages.Role.ENTRY,
                                              clock)
    service = http_key_value_service.HttpKeyValueService.from_settings(
        settings, reactor, clock)
    store = claims.KeyValueClaimStore.from_service(service,
                                                   clock,
                                                   settings.vm,
                                                   timer=reactor)
    return entry_daemon.EntryDaemon(settings, reactor, clock, link, store=store)


def main() -> None:
    """Runs the command line."""
    runtime.run_command("entry", build_entry)


if __name__ == "__main__":
    main()
