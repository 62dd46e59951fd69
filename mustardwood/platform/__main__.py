"""Starts the process of a VM on the platform.

Run it as ``python3 -m mustardwood.platform [SETTINGS]``; without an argument
the environment names the settings file. ``--check SETTINGS`` checks the file
and starts nothing.
"""

import os
import pathlib
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
        arguments: The words of the command line after the program's name.

    Raises:
        SystemExit: If the arguments or the settings can't be used, or were
            only to be checked.
    """
    # typer's import would add 0.2 s to a start-up of 0.3 s, in which a
    # restarted VM serves nobody.
    paths = [each for each in arguments if not each.startswith("-")]
    flags = [each for each in arguments if each.startswith("-")]
    if len(paths) > 1 or flags not in ([], [_CHECK]):
        sys.exit(_USAGE)
    path = pathlib.Path(
        paths[0] if paths else os.environ.get(settings.PATH_VARIABLE, ""))
    try:
        if flags:
            settings.read_settings(path)
            print(f"{path} can be used.")
            return
        _run(path)
    except errors.SettingsError as error:
        sys.exit(f"{error.key}: {error}")


def _run(path: pathlib.Path) -> None:
    # The reactor is installed by its import.
    from twisted.internet import reactor

    from mustardwood.platform import daemon
    daemon.Daemon(reactor, path).start()
    typing.cast(typing.Any, reactor).run(installSignalHandlers=False)


if __name__ == "__main__":
    main(sys.argv[1:])
