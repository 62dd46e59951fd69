"""Start and shutdown of a daemon."""

import collections.abc
import importlib
import os
import pathlib
import signal
import sys
import typing

from twisted.internet import asyncioreactor
from twisted.internet import defer

from mustardwood import settings as settings_module
from mustardwood import start as start_module
from mustardwood import timing
from mustardwood.runtime import command_line
from mustardwood.runtime import daemon
from mustardwood.runtime import exit_code
from mustardwood.runtime import logs

DaemonFactory = collections.abc.Callable[
    [settings_module.Settings, typing.Any, timing.Clock], daemon.Daemon]
"""Creates a daemon from its settings, the reactor and the clock."""

_SettingsPredicate = collections.abc.Callable[[settings_module.Settings], bool]


def run_command(part: str, build: DaemonFactory,
                needs_tls: _SettingsPredicate) -> None:
    """Runs the command line of a daemon.

    The libraries that parse the command line take about 20 MB of memory.
    Therefore the process executes its program again after parsing, without
    these libraries and under the same process id.

    Args:
        part: Name of the daemon, for logs and ``--help``.
        build: Creates the daemon.
        needs_tls: Returns whether the daemon serves or calls HTTPS, apart from
            the operators' interface. The libraries for it take about 11 MB of
            memory and are left out if it isn't used.
    """
    if sys.argv[1:2] == [start_module.CHECKED_SETTINGS_FLAG]:
        settings = settings_module.read_settings(pathlib.Path(sys.argv[2]))
        logs.configure_logging(settings)
        sys.exit(_run_daemon(part, settings, build))
    command_line.run_command_line(
        part, lambda path: _exec_daemon(part, path, needs_tls))


def _exec_daemon(part: str, path: pathlib.Path,
                 needs_tls: _SettingsPredicate) -> None:
    settings = settings_module.read_settings(path)
    needed = settings.operators_tls is not None or needs_tls(settings)
    security = start_module.TLS if needed else start_module.PLAIN
    sys.stdout.flush()
    sys.stderr.flush()
    os.execv(
        sys.executable,
        [sys.executable, "-m", "mustardwood.start", part, security,
         str(path)])


def _run_daemon(part: str, settings: settings_module.Settings,
                build: DaemonFactory) -> int:
    asyncioreactor.install()
    reactor: typing.Any = importlib.import_module("twisted.internet.reactor")
    log = logs.make_logger(part)
    process = build(settings, reactor, timing.SystemClock())
    result = [exit_code.ExitCode.OK]
    stopping: list[bool] = []

    async def start() -> None:
        try:
            await process.start()
            log.info("started on %s in zone %s", settings.ip, settings.zone)
        except Exception:  # pylint: disable=broad-exception-caught
            log.exception("start failed, stopping the process")
            result[0] = exit_code.ExitCode.FAILED
            _stop_reactor(reactor)

    async def stop() -> None:
        log.info("graceful shutdown begins")
        try:
            await process.stop()
            log.info("graceful shutdown is complete")
        except Exception:  # pylint: disable=broad-exception-caught
            log.exception("graceful shutdown failed")
            result[0] = exit_code.ExitCode.FAILED
        finally:
            _stop_reactor(reactor)

    def handle_signal(*_: object) -> None:
        if not stopping:
            stopping.append(True)
            reactor.callFromThread(lambda: defer.ensureDeferred(stop()))

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    reactor.callWhenRunning(lambda: defer.ensureDeferred(start()))
    reactor.run(installSignalHandlers=False)
    sys.stderr.flush()
    return int(result[0])


def _stop_reactor(reactor: typing.Any) -> None:
    if reactor.running:
        reactor.stop()
