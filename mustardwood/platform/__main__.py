"""Command line of the process that runs on each VM of the platform.

Run it as ``python3 -m mustardwood.platform [SETTINGS]``. Without an argument,
an environment variable names the settings file. With ``--check SETTINGS`` the
file is only checked and the process exits.
"""

import os
import pathlib
import signal
import sys
import typing

from mustardwood import errors
from mustardwood.platform import settings

_CHECK = "--check"
_USAGE = f"""\
usage: python3 -m mustardwood.platform [{_CHECK}] [SETTINGS]

Without SETTINGS, {settings.PATH_VARIABLE} names the file.
"""


def main(arguments: list[str]) -> None:
    """Reads the settings and runs the process until it is stopped.

    Args:
        arguments: The command-line arguments without the program's name.

    Raises:
        SystemExit: If the arguments or the settings are invalid.
    """
    # Importing typer would add 0.2 s to a start-up of 0.3 s, during which a
    # restarted VM can't serve requests.
    paths = [argument for argument in arguments if not argument.startswith("-")]
    flags = [argument for argument in arguments if argument.startswith("-")]
    if len(paths) > 1 or flags not in ([], [_CHECK]):
        sys.exit(_USAGE)
    path = pathlib.Path(
        paths[0] if paths else os.environ.get(settings.PATH_VARIABLE, ""))
    try:
        if flags:
            # Not needed to run the process, which reads them again.
            from mustardwood.platform import hedge_variables
            found = settings.read_settings(path)
            hedge_variables.read_hedge_settings(os.environ,
                                                found.bounds.retry_share)
            print(f"{path} can be used.")
            return
        _run(path)
    except errors.SettingsError as error:
        sys.exit(f"{error.key}: {error}")


def _run(path: pathlib.Path) -> None:
    # The settings are read later, so a reload before that needs nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Importing the reactor installs it.
    from twisted.internet import reactor

    from mustardwood.platform import daemon
    daemon.Daemon(reactor, path).start()
    typing.cast(typing.Any, reactor).run(installSignalHandlers=False)


if __name__ == "__main__":
    main(sys.argv[1:])
