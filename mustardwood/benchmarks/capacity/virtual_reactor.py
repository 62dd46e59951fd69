"""Clock and timers in simulated time."""

import collections.abc
import datetime
import heapq
import itertools
import typing

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class VirtualCall:
    """A scheduled call that can be cancelled."""

    def __init__(self, action: collections.abc.Callable[[], object]) -> None:
        self._action: collections.abc.Callable[[], object] | None = action

    def active(self) -> bool:
        """Returns whether the call is still pending."""
        return self._action is not None

    def cancel(self) -> None:
        """Cancels the call."""
        self._action = None

    def run(self) -> None:
        """Makes the call unless it was cancelled or made before."""
        action, self._action = self._action, None
        if action is not None:
            action()


class VirtualReactor:
    """Timers of a Twisted reactor in simulated time.

    It also implements `timing.Clock`. A heap keeps it fast with thousands of
    timers.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._calls: list[tuple[float, int, VirtualCall]] = []
        self._order = itertools.count()

    def seconds(self) -> float:
        """Returns the simulated time since the start, in seconds."""
        return self._now

    def now(self) -> datetime.datetime:
        """Returns the simulated wall-clock time."""
        return _EPOCH + self.monotonic()

    def monotonic(self) -> datetime.timedelta:
        """Returns the simulated time since the start."""
        return datetime.timedelta(seconds=self._now)

    # The name is defined by Twisted's `IReactorTime`.
    def callLater(  # pylint: disable=invalid-name
            self, delay: float, action: collections.abc.Callable[..., object],
            *args: typing.Any, **named: typing.Any) -> VirtualCall:
        """Schedules a call after a delay in seconds."""
        call = VirtualCall(lambda: action(*args, **named))
        heapq.heappush(self._calls,
                       (self._now + delay, next(self._order), call))
        return call

    def run(self, seconds: float) -> None:
        """Advances the time and makes all calls that become due."""
        end = self._now + seconds
        while self._calls and self._calls[0][0] <= end:
            self._now, _, call = heapq.heappop(self._calls)
            call.run()
        self._now = end
