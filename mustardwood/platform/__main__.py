"""Starts the process of a VM on the platform.

Run it as ``python3 -m mustardwood.platform [SETTINGS]``; without an argument
the environment names the settings file.
"""

import os
import pathlib
import sys
import typing

from mustardwood import errors
from mustardwood.platform import settings


def main() -> None:
    """Reads the settings and runs the process until it is stopped."""
    path = (sys.argv[1] if len(sys.argv) > 1 else os.environ.get(
        settings.PATH_VARIABLE, ""))
    # The reactor is installed by its import, which takes longest.
    from twisted.internet import reactor

    from mustardwood.platform import daemon
    try:
        daemon.Daemon(reactor, pathlib.Path(path)).start()
    except errors.SettingsError as error:
        sys.exit(str(error))
    typing.cast(typing.Any, reactor).run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
