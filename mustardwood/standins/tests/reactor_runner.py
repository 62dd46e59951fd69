"""Runs coroutines of tests on the reactor of the test process."""

import asyncio
import collections.abc
import importlib
import sys
import threading
import typing

from twisted.internet import asyncioreactor
from twisted.internet import defer

_TIMEOUT_SECONDS = 60.0
"""Timeout of one test, in seconds."""


def _load_reactor() -> typing.Any:
    if "twisted.internet.reactor" not in sys.modules:
        asyncioreactor.install(asyncio.new_event_loop())
    return importlib.import_module("twisted.internet.reactor")


reactor: typing.Any = _load_reactor()
"""The reactor of the test process."""


def run_coroutine(
    start: collections.abc.Callable[[],
                                    collections.abc.Coroutine[typing.Any,
                                                              typing.Any, None]]
) -> None:
    """Runs a coroutine on the reactor and waits until it has finished.

    A reactor can't be restarted, so it runs in a thread of its own until the
    test process ends.
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
        deferred.addTimeout(_TIMEOUT_SECONDS, reactor)
        deferred.addBoth(on_end)

    reactor.callFromThread(begin)
    assert done.wait(_TIMEOUT_SECONDS * 2)
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
    assert started.wait(_TIMEOUT_SECONDS)
