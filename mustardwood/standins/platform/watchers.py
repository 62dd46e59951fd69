"""Requests that wait for a change of a key."""

import datetime
import typing

from twisted.internet import defer


class Watchers:
    """Suspends watches until the store changes.

    Args:
        reactor: Reactor whose timer serves the timeouts.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._waiters: set[defer.Deferred[None]] = set()

    async def wait(self, timeout: datetime.timedelta) -> None:
        """Waits for the next change of the store, at most for `timeout`."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.add(waiter)
        timer = self._reactor.callLater(max(0.0, timeout.total_seconds()),
                                        self._wake, waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)
            if timer.active():
                timer.cancel()

    def wake_all(self) -> None:
        """Wakes every watch, which then reads its key again."""
        for waiter in list(self._waiters):
            self._wake(waiter)

    def _wake(self, waiter: defer.Deferred[None]) -> None:
        if waiter in self._waiters:
            self._waiters.discard(waiter)
            waiter.callback(None)
