"""Asynchronous delays on the reactor."""

import datetime
import typing

from twisted.internet import task


class Sleeper:
    """Waits for a time without blocking the event loop.

    Args:
        reactor: The Twisted reactor.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Returns after `delay`."""
        await task.deferLater(self._reactor, delay.total_seconds())
