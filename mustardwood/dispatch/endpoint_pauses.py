"""Pauses that endpoints ask for when they turn requests away."""

import collections.abc
import dataclasses
import datetime
import random

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_notices
from mustardwood.dispatch import pause_statement

MAX_PAUSE = datetime.timedelta(minutes=10)
"""Longest pause; one for which an endpoint asks beyond it is cut to it."""
_MAX_DELAY = datetime.timedelta(milliseconds=500)
"""Maximum random delay after a pause."""
_MAX_DELAY_SHARE = 0.25
"""The same as a share of the pause."""
_DOUBLING_TIME = datetime.timedelta(milliseconds=250)
"""Time in which the number of requests after a pause may double."""
_RAMP_TIME = datetime.timedelta(seconds=1)
"""Time after a pause in which the number of requests is limited."""
_MAX_PROBLEMS = 256
"""Maximum number of unreadable statements that are logged once each."""


@dataclasses.dataclass
class _Pause:
    """A pause of this VM at one endpoint.

    Attributes:
        ends_at: Monotonic time.
        sent: Number of requests that were sent after the end.
    """

    ends_at: datetime.timedelta
    sent: int = 0


class EndpointPauses:
    """Keeps this VM's requests from endpoints that have asked for a pause.

    Load pattern: an endpoint whose queue is full turns requests away and asks
    the VM to stay away for a time. Requests that return to it at once find the
    same queue and use up the retries that others need. If all VMs returned at
    the end of the same pause with all that they hold, the queue would be full
    again. The end is therefore delayed by a random time, and the number of
    requests after it begins with one and doubles.

    A pause binds this VM only. Its peers count the endpoint as full meanwhile
    and use it if no other endpoint has room.
    """

    def __init__(
        self,
        clock: timing.Clock,
        rng: random.Random,
        notices: endpoint_notices.EndpointNotices,
        on_problem: collections.abc.Callable[[str, str], None] | None = None
    ) -> None:
        """Creates a table without pauses.

        Args:
            clock: Source of the monotonic time.
            rng: Draws the delays.
            notices: Tells the peers of pauses.
            on_problem: Called with an endpoint and why its statement can't be
                read, once for each pair.
        """
        self._clock = clock
        self._rng = rng
        self._notices = notices
        self._on_problem = on_problem
        self._pauses: dict[str, _Pause] = {}
        self._problems: set[tuple[str, str]] = set()

    @property
    def paused_count(self) -> int:
        """Number of endpoints to which this VM sends nothing for now."""
        now = self._clock.monotonic()
        return sum(now < each.ends_at for each in self._pauses.values())

    def record_response(self, endpoint: endpoint_module.Endpoint,
                        statement: pause_statement.PauseStatement) -> None:
        """Records what a response states.

        Each pause holds for its whole time, so the one that ends last counts.
        """
        if statement.problem:
            self._report_problem(endpoint.incarnation, statement.problem)
        if statement.duration is None:
            return
        duration = min(statement.duration, MAX_PAUSE)
        delay = min(_MAX_DELAY, duration * _MAX_DELAY_SHARE)
        ends_at = (self._clock.monotonic() + duration +
                   delay * self._rng.random())
        known = self._pauses.get(endpoint.incarnation)
        if known is None or known.ends_at < ends_at:
            self._pauses[endpoint.incarnation] = _Pause(ends_at)
            self._notices.record(endpoint.incarnation,
                                 endpoint_notices.NoticeKind.PAUSED, duration)

    def list_allowed(
        self, endpoints: collections.abc.Sequence[endpoint_module.Endpoint]
    ) -> collections.abc.Sequence[endpoint_module.Endpoint]:
        """Returns the endpoints to which a request may be sent now."""
        if not self._pauses:
            return endpoints
        self._drop_ended()
        return [each for each in endpoints if self._allows(each)]

    def list_not_full(
        self, endpoints: collections.abc.Sequence[endpoint_module.Endpoint]
    ) -> collections.abc.Sequence[endpoint_module.Endpoint]:
        """Returns the endpoints that have asked no VM for a pause.

        All of them are returned if all have.
        """
        if not self._notices.has_any(endpoint_notices.NoticeKind.PAUSED):
            return endpoints
        found = [
            each for each in endpoints if not self._notices.has(
                each.incarnation, endpoint_notices.NoticeKind.PAUSED)
        ]
        return found or endpoints

    def record_send(self, endpoint: endpoint_module.Endpoint) -> None:
        """Records that a request is sent to an endpoint."""
        pause = self._pauses.get(endpoint.incarnation)
        if pause is not None:
            pause.sent += 1

    def find_time_left(
        self, endpoints: collections.abc.Iterable[endpoint_module.Endpoint]
    ) -> datetime.timedelta:
        """Returns the time until the first of several endpoints may be used."""
        now = self._clock.monotonic()
        left = [
            self._pauses[each.incarnation].ends_at - now
            for each in endpoints
            if each.incarnation in self._pauses
        ]
        return max(min(left, default=datetime.timedelta()),
                   datetime.timedelta())

    def _allows(self, endpoint: endpoint_module.Endpoint) -> bool:
        pause = self._pauses.get(endpoint.incarnation)
        if pause is None:
            return True
        since_end = self._clock.monotonic() - pause.ends_at
        if since_end < datetime.timedelta():
            return False
        return pause.sent < 2**(since_end // _DOUBLING_TIME)

    def _drop_ended(self) -> None:
        oldest = self._clock.monotonic() - _RAMP_TIME
        ended = [
            name for name, pause in self._pauses.items()
            if pause.ends_at <= oldest
        ]
        for name in ended:
            del self._pauses[name]

    def _report_problem(self, name: str, problem: str) -> None:
        if ((name, problem) not in self._problems and
                len(self._problems) < _MAX_PROBLEMS):
            self._problems.add((name, problem))
            if self._on_problem is not None:
                self._on_problem(name, problem)
