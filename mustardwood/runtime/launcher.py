"""Start and stop of a process."""

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

BuildDaemon = collections.abc.Callable[
    [settings_module.Settings, typing.Any, timing.Clock], daemon.Daemon]
"""Makes a daemon from its settings, the reactor and the clock."""

_Needs = collections.abc.Callable[[settings_module.Settings], bool]


def run_command(part: str, build: BuildDaemon, needs_tls: _Needs) -> None:
    """Runs the command line of a daemon.

    The reader of command lines takes some 20 MB. So once it has done its work
    the process starts its program anew, under the same process id, without
    it.

    Args:
        part: Name of the part, for logs and ``--help``.
        build: Makes the daemon.
        needs_tls: Tells whether it uses TLS of HTTP; its libraries take some
            11 MB and are left out otherwise.
    """
    if sys.argv[1:2] == [start_module.CHECKED]:
        settings = settings_module.read_settings(pathlib.Path(sys.argv[2]))
        logs.configure_logging(settings)
        sys.exit(_run_daemon(part, settings, build))
    command_line.run(part, lambda path: _start_anew(part, path, needs_tls))


def _start_anew(part: str, path: pathlib.Path, needs_tls: _Needs) -> None:
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
