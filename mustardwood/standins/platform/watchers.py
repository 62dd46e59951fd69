"""Calls that wait for a change of a key."""

import datetime
import typing

from twisted.internet import defer


class Watchers:
    """Wakes waiting watches.

    Args:
        reactor: Timer of the time limits.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._waiting: set[defer.Deferred[None]] = set()

    async def wait(self, timeout: datetime.timedelta) -> None:
        """Returns at the next change of the store, or after `timeout`."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiting.add(waiter)
        timer = self._reactor.callLater(max(0.0, timeout.total_seconds()),
                                        self._wake, waiter)
        try:
            await waiter
        finally:
            self._waiting.discard(waiter)
            if timer.active():
                timer.cancel()

    def wake_all(self) -> None:
        """Wakes every watch, which then looks at its key again."""
        for waiter in list(self._waiting):
            self._wake(waiter)

    def _wake(self, waiter: defer.Deferred[None]) -> None:
        if waiter in self._waiting:
            self._waiting.discard(waiter)
            waiter.callback(None)
