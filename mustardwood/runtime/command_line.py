"""The command line of a daemon."""

import collections.abc
import pathlib
import typing

import mustardwood
from mustardwood import errors
from mustardwood import settings as settings_module
from mustardwood.runtime import exit_code


def run_command_line(
        part: str, start: collections.abc.Callable[[pathlib.Path],
                                                   None]) -> None:
    """Parses the command line and executes it.

    Args:
        part: Name of the daemon, for ``--help``.
        start: Starts the daemon. Its argument is the path of a valid settings
            file.
    """
    import typer

    def command(
        settings: typing.Annotated[
            pathlib.Path | None,
            typer.Option(help="Settings file, JSON with comments.")] = None,
        check: typing.Annotated[
            bool,
            typer.Option("--check", help="Check the settings file and exit."
                        )] = False,
        version: typing.Annotated[
            bool,
            typer.Option("--version", help="Print the version and exit."
                        )] = False,
    ) -> None:
        if version:
            typer.echo(mustardwood.__version__)
            return
        try:
            path = _check_settings(settings)
        except errors.SettingsError as error:
            typer.echo(f"{error.code}: {error}", err=True)
            raise typer.Exit(exit_code.ExitCode.USAGE) from error
        if check:
            typer.echo(f"{path}: settings are right")
            return
        start(path)

    command.__doc__ = f"The mustardwood {part} process of an entry VM."
    typer.run(command)


def _check_settings(path: pathlib.Path | None) -> pathlib.Path:
    """Validates a settings file and returns its path.

    Raises:
        SettingsError: If no file is given or the file is invalid.
    """
    if path is None:
        raise errors.SettingsError("no settings file was named.",
                                   "Give one with --settings FILE.")
    settings_module.read_settings(path)
    return path
