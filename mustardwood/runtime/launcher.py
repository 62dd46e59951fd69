"""Start and stop of a process."""

import collections.abc
import importlib
import pathlib
import signal
import sys
import typing

import typer
from twisted.internet import asyncioreactor
from twisted.internet import defer

import mustardwood
from mustardwood import errors
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.runtime import daemon
from mustardwood.runtime import exit_code
from mustardwood.runtime import logs

BuildDaemon = collections.abc.Callable[
    [settings_module.Settings, typing.Any, timing.Clock], daemon.Daemon]
"""Makes a daemon from its settings, the reactor and the clock."""


def run_command(part: str, build: BuildDaemon) -> None:
    """Runs the command line of a daemon.

    Args:
        part: Name of the part, for logs and ``--help``.
        build: Makes the daemon.
    """

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
        loaded = _read_settings(settings)
        if check:
            typer.echo(f"{settings}: settings are right")
            return
        logs.configure_logging(loaded)
        raise typer.Exit(_run_daemon(part, loaded, build))

    command.__doc__ = f"The mustardwood {part} process of an entry VM."
    typer.run(command)


def _read_settings(path: pathlib.Path | None) -> settings_module.Settings:
    try:
        if path is None:
            raise errors.SettingsError("no settings file was named.",
                                       "Give one with --settings FILE.")
        return settings_module.read_settings(path)
    except errors.SettingsError as error:
        typer.echo(f"{error.code}: {error}", err=True)
        raise typer.Exit(exit_code.ExitCode.USAGE) from error


def _run_daemon(part: str, settings: settings_module.Settings,
                build: BuildDaemon) -> int:
    asyncioreactor.install()
    reactor: typing.Any = importlib.import_module("twisted.internet.reactor")
    log = logs.make_logger(part)
    running = build(settings, reactor, timing.SystemClock())
    result = [exit_code.ExitCode.OK]
    stopping: list[bool] = []

    async def start() -> None:
        try:
            await running.start()
            log.info("started on %s in zone %s", settings.ip, settings.zone)
        except Exception:  # pylint: disable=broad-exception-caught
            log.exception("could not start")
            result[0] = exit_code.ExitCode.FAILED
            _stop_reactor(reactor)

    async def stop() -> None:
        log.info("planned stop begins")
        try:
            await running.stop()
            log.info("planned stop is complete")
        except Exception:  # pylint: disable=broad-exception-caught
            log.exception("planned stop failed")
            result[0] = exit_code.ExitCode.FAILED
        finally:
            _stop_reactor(reactor)

    def on_signal(*_: object) -> None:
        if not stopping:
            stopping.append(True)
            reactor.callFromThread(lambda: defer.ensureDeferred(stop()))

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    reactor.callWhenRunning(lambda: defer.ensureDeferred(start()))
    reactor.run(installSignalHandlers=False)
    sys.stderr.flush()
    return int(result[0])


def _stop_reactor(reactor: typing.Any) -> None:
    if reactor.running:
        reactor.stop()
