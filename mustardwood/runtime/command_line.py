"""The command line of a daemon."""

import collections.abc
import pathlib
import typing

import mustardwood
from mustardwood import errors
from mustardwood import settings as settings_module
from mustardwood.runtime import exit_code


def run(part: str, start: collections.abc.Callable[[pathlib.Path],
                                                   None]) -> None:
    """Reads the command line and carries it out.

    Args:
        part: Name of the part, for ``--help``.
        start: Starts the daemon with a settings file that was checked.
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
    """Returns the path of a settings file that is right.

    Raises:
        SettingsError: There is none, or it is wrong.
    """
    if path is None:
        raise errors.SettingsError("no settings file was named.",
                                   "Give one with --settings FILE.")
    settings_module.read_settings(path)
    return path
