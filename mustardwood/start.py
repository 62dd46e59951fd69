"""Starts a daemon whose command line has been parsed.

Only `main` imports other modules of the project. Libraries that the daemon
doesn't need must be left out before the Twisted reactor is first imported.
"""

import importlib
import sys
import typing

CHECKED_SETTINGS_FLAG = "--checked-settings"
"""First argument of a daemon whose settings file has been checked."""

PLAIN = "plain"
"""Argument for a process that serves and calls no HTTPS."""

TLS = "tls"
"""Argument for a process that serves or calls HTTPS."""

_TLS_LIBRARY = "OpenSSL"


def main() -> None:
    """Starts the daemon that the command line names.

    The arguments are the name of the daemon's package, `PLAIN` or `TLS`, and
    the path of the settings file.
    """
    part, security, path = sys.argv[1:]
    if security == PLAIN:
        # With None here, importing the library fails, and the reactor works
        # without TLS.
        modules: dict[str, typing.Any] = sys.modules
        modules[_TLS_LIBRARY] = None
    sys.argv = [sys.argv[0], CHECKED_SETTINGS_FLAG, path]
    importlib.import_module(f"mustardwood.{part}.main").main()


if __name__ == "__main__":
    main()
