"""Runs coroutines of tests on the process's reactor."""

import asyncio
import collections.abc
import importlib
import sys
import threading
import typing

from twisted.internet import asyncioreactor
from twisted.internet import defer

_TIME_LIMIT = 60.0
"""Seconds after which a test is given up."""


def _load_reactor() -> typing.Any:
    if "twisted.internet.reactor" not in sys.modules:
        asyncioreactor.install(asyncio.new_event_loop())
    return importlib.import_module("twisted.internet.reactor")


reactor: typing.Any = _load_reactor()
"""The process's reactor."""


def run_coroutine(
    start: collections.abc.Callable[[],
                                    collections.abc.Coroutine[typing.Any,
                                                              typing.Any, None]]
) -> None:
    """Runs a coroutine to its end on the reactor, which can't be restarted.

    The reactor turns in a thread of its own for the whole test run.
    """
    _start_reactor()
    done = threading.Event()
    failures: list[BaseException] = []

    def on_end(result: object) -> None:
        if hasattr(result, "value"):
            failures.append(result.value)
        done.set()

    def begin() -> None:
        deferred = defer.ensureDeferred(start())
        deferred.addTimeout(_TIME_LIMIT, reactor)
        deferred.addBoth(on_end)

    reactor.callFromThread(begin)
    assert done.wait(_TIME_LIMIT * 2)
    if failures:
        raise failures[0]


def _start_reactor() -> None:
    if reactor.running:
        return
    thread = threading.Thread(target=reactor.run,
                              kwargs={"installSignalHandlers": False},
                              daemon=True)
    thread.start()
    started = threading.Event()
    reactor.callFromThread(started.set)
    assert started.wait(_TIME_LIMIT)
