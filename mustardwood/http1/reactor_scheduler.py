"""Schedules delayed calls on Twisted's reactor."""

import collections.abc
import datetime
import typing


class _Timer:
    """A scheduled call that may be cancelled at any time."""

    def __init__(self, call: typing.Any) -> None:
        self._call = call

    def cancel(self) -> None:
        """Cancels the call; does nothing if it has already been made."""
        if self._call.active():
            self._call.cancel()


class ReactorScheduler:
    """Calls functions after a delay, in the reactor's thread."""

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor

    def call_later(self, delay: datetime.timedelta,
                   function: collections.abc.Callable[[], None]) -> _Timer:
        """Schedules one call of `function` after `delay`."""
        return _Timer(
            self._reactor.callLater(max(0.0, delay.total_seconds()), function))
