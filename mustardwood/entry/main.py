"""The command ``mustardwood-entry``."""

import typing

from mustardwood import messages
from mustardwood import runtime
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.entry import entry_daemon


def build_entry(settings: settings_module.Settings, reactor: typing.Any,
                clock: timing.Clock) -> runtime.Daemon:
    """Builds the process from its settings."""
    from mustardwood.links import pynng_link
    link = pynng_link.PynngLink.from_settings(settings, messages.Role.ENTRY,
                                              clock)
    return entry_daemon.EntryDaemon(settings, reactor, clock, link)


def main() -> None:
    """Runs the command line."""
    runtime.run_command("entry", build_entry)
