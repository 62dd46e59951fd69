"""Timers in virtual time."""

import collections.abc
import datetime
import heapq
import itertools
import typing

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class VirtualCall:
    """A call that is due at a time."""

    def __init__(self, action: collections.abc.Callable[[], object]) -> None:
        self._action: collections.abc.Callable[[], object] | None = action

    def active(self) -> bool:
        """Returns whether it is still to come."""
        return self._action is not None

    def cancel(self) -> None:
        """Takes it back."""
        self._action = None

    def run(self) -> None:
        """Carries it out, once."""
        action, self._action = self._action, None
        if action is not None:
            action()


class VirtualReactor:
    """The timers of a reactor and a clock, for thousands of timers.

    It is a `timing.Clock` too.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._calls: list[tuple[float, int, VirtualCall]] = []
        self._order = itertools.count()

    def seconds(self) -> float:
        """Returns the virtual time."""
        return self._now

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time."""
        return _EPOCH + self.monotonic()

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since the start."""
        return datetime.timedelta(seconds=self._now)

    # The name is that of the library's interface.
    def callLater(  # pylint: disable=invalid-name
            self, delay: float, action: collections.abc.Callable[..., object],
            *args: typing.Any, **named: typing.Any) -> VirtualCall:
        """Calls a function after a delay in seconds."""
        call = VirtualCall(lambda: action(*args, **named))
        heapq.heappush(self._calls,
                       (self._now + delay, next(self._order), call))
        return call

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self._now + seconds
        while self._calls and self._calls[0][0] <= end:
            self._now, _, call = heapq.heappop(self._calls)
            call.run()
        self._now = end
