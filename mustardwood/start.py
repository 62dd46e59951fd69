"""The start of a daemon whose command line was read.

It is a module of its own, and imports nothing of the others at first, since
libraries must be left out before the first import of the reactor.
"""

import importlib
import sys
import typing

CHECKED = "--checked-settings"
"""First argument of a daemon whose command line was read."""

PLAIN = "plain"
"""Stands for a process that needs no TLS of HTTP."""

TLS = "tls"
"""Stands for a process that needs TLS of HTTP."""

_LIBRARY = "OpenSSL"


def main() -> None:
    """Starts the daemon that the command line names.

    The arguments are the part's name, `PLAIN` or `TLS`, and the settings file.
    """
    part, security, path = sys.argv[1:]
    if security == PLAIN:
        # The reactor does without the library when its import fails.
        modules: dict[str, typing.Any] = sys.modules
        modules[_LIBRARY] = None
    sys.argv = [sys.argv[0], CHECKED, path]
    importlib.import_module(f"mustardwood.{part}.main").main()


if __name__ == "__main__":
    main()
