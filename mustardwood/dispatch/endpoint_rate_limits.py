"""Rate limits that endpoints state, shared by VMs without a coordinator."""

import collections
import collections.abc
import dataclasses
import datetime
import hashlib
import math

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import rate_statement

_BURST_TIME = datetime.timedelta(milliseconds=250)
"""Time whose requests a VM may send at once after a pause, at least one."""
_PROBE_INTERVAL = datetime.timedelta(seconds=10)
"""Interval of requests to an endpoint that states a limit of 0 or close to it.

Their responses show whether the limit still holds.
"""
_MIN_RATE = 1.0 / _PROBE_INTERVAL.total_seconds()
"""Requests per second to an endpoint whose limit is lower."""
_MAX_VMS = 64
"""Maximum number of VMs that share a limit."""
_WANTED_TIME = datetime.timedelta(milliseconds=50)
"""Time after a refusal for which less urgent requests yield.

A waiting request is tried again several times in that time.
"""
_REPORT_TIME = datetime.timedelta(seconds=1)
"""Time for which a new statement is reported, in case datagrams are lost."""
_REPORT_INTERVAL = datetime.timedelta(seconds=2)
"""Interval at which all limits in force, and those that ended, are reported.

A VM that has started or was cut off thus learns of them.
"""
_ENDED_REPORT_TIME = datetime.timedelta(seconds=60)
"""Time for which the end of a limit is reported.

A VM without a share sends no requests to the endpoint, whose responses would
tell it.
"""
_MAX_REPORTED = 64
"""Maximum number of statements in one report: about two kilobytes."""
_MAX_ENDPOINTS = 2048
"""Maximum number of endpoints whose statements are kept."""
_STATEMENT_LIFETIME = datetime.timedelta(minutes=10)
"""Time after which a statement that was not repeated is dropped.

Probes repeat it much sooner unless there are no requests for the endpoint.
"""
_MAX_PROBLEMS = 256
"""Maximum number of unreadable statements that are logged once each."""
_DIGEST_BYTES = 8
_NEVER = -datetime.timedelta(days=10_000)
"""Monotonic time before any other."""


@dataclasses.dataclass(frozen=True)
class RateReport:
    """A statement that a VM reports to its peers.

    Attributes:
        endpoint: Name of the endpoint with the time of its start.
        limit: Requests per second; None if it states no limit any more.
        age: Time since the response with the statement.
    """

    endpoint: str
    limit: float | None
    age: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class RateLimitChange:
    """A change of an endpoint's rate limit, for the log.

    Attributes:
        endpoint: Name of the endpoint with the time of its start.
        limit: The new limit in requests per second; None if it has ended.
        source: The VM that received the statement.
        refusals: Number of times that the old limit kept a request of this VM
            from the endpoint.
    """

    endpoint: str
    limit: float | None
    source: str
    refusals: int


@dataclasses.dataclass
class _State:
    """What is known of an endpoint.

    Attributes:
        limit: The limit in force; None if there is none.
        stated_at: Monotonic time of the last statement.
        changed_at: Monotonic time at which a new limit was learnt here.
        source: The VM that received the statement.
        tokens: Requests that this VM may send now.
        refilled_at: Monotonic time up to which `tokens` was filled; `_NEVER`
            if this VM had no share.
        wanted_tier: Most urgent tier that was refused recently.
        wanted_at: Monotonic time of that refusal.
        refusals: Number of refusals since the limit was learnt.
    """

    limit: float | None
    stated_at: datetime.timedelta
    changed_at: datetime.timedelta
    source: str
    tokens: float = 0.0
    refilled_at: datetime.timedelta = _NEVER
    wanted_tier: int = 0
    wanted_at: datetime.timedelta = _NEVER
    refusals: int = 0


class EndpointRateLimits:
    """Keeps the requests of all VMs within the limits that endpoints state.

    Load pattern: an endpoint in need states how many requests per second it
    accepts. Each VM alone could obey that, and all together would exceed it.
    Equal shares with a burst of one request a VM exceed a small limit, too.

    The limit is therefore divided among a few VMs, as many as it has requests
    per second. All VMs choose the same ones by rendezvous hashing of their
    names. Each of them has a token bucket [1]_ with an equal share, which is
    empty at first. With `n` VMs and a burst of one request each, an endpoint
    gets at most `n + limit * t` requests in a time `t`.

    The newest statement wins, whichever VM received it: VMs report statements
    with their age. An endpoint that restarts is a new one.

    References:
        .. [1] J. Turner, "New directions in communications (or which way to the
           information age?)", IEEE Communications Magazine 24(10), 1986.

    Attributes:
        refusal_count: Number of times that a limit kept a request from an
            endpoint.
    """

    def __init__(
        self,
        vm: str,
        clock: timing.Clock,
        list_vms: collections.abc.Callable[[], collections.abc.Iterable[str]],
        on_change: collections.abc.Callable[[RateLimitChange], None] |
        None = None,
        on_problem: collections.abc.Callable[[str, str], None] | None = None
    ) -> None:
        """Creates a table without limits.

        Args:
            vm: Name of this VM.
            clock: Source of the monotonic time.
            list_vms: Returns the names of the other VMs.
            on_change: Called when the limit of an endpoint has changed.
            on_problem: Called with an endpoint and why its statement can't be
                read, once for each pair.
        """
        self._vm = vm
        self._clock = clock
        self._list_vms = list_vms
        self._on_change = on_change
        self._on_problem = on_problem
        self._problems: set[tuple[str, str]] = set()
        self._states: collections.OrderedDict[
            str, _State] = collections.OrderedDict()
        # The known VMs and whether this one has a share, by endpoint and number
        # of shares.
        self._holders: dict[tuple[str, int], tuple[frozenset[str], bool]] = {}
        self._limited: set[str] = set()
        self._all_reported_at = _NEVER
        self.refusal_count = 0

    @property
    def limited_count(self) -> int:
        """Number of endpoints with a limit in force."""
        return len(self._limited)

    def find_limit(self, endpoint: endpoint_module.Endpoint) -> float | None:
        """Returns the limit of an endpoint; None if there is none."""
        if endpoint.incarnation not in self._limited:
            return None
        return self._states[endpoint.incarnation].limit

    def record_response(self, endpoint: endpoint_module.Endpoint,
                        statement: rate_statement.RateStatement,
                        is_verified: bool) -> None:
        """Records what the head of a response states.

        Args:
            endpoint: The endpoint that sent the response.
            statement: What it states.
            is_verified: Whether the response carries the endpoint's signature;
                without one, a missing limit means nothing.
        """
        if statement.problem:
            self._report_problem(endpoint.incarnation, statement.problem)
        elif statement.limit is not None or is_verified:
            self._record(endpoint.incarnation, statement.limit,
                         self._clock.monotonic(), self._vm)

    def record_peer_report(self, peer: str, report: RateReport) -> None:
        """Records a statement that a peer has reported."""
        self._record(report.endpoint, report.limit,
                     self._clock.monotonic() - report.age, peer)

    def list_allowed(
            self, endpoints: collections.abc.Sequence[endpoint_module.Endpoint],
            tier: int) -> collections.abc.Sequence[endpoint_module.Endpoint]:
        """Returns the endpoints to which a request may be sent now.

        Args:
            endpoints: The endpoints.
            tier: Tier of the request; 0 is the most urgent.
        """
        if not self._limited:
            return endpoints
        return [each for each in endpoints if self._allows(each, tier)]

    def has_share(
            self, endpoints: collections.abc.Iterable[endpoint_module.Endpoint]
    ) -> bool:
        """Returns whether this VM may ever send to one of several endpoints."""
        return any(each.incarnation not in self._limited or self._find_rate(
            each.incarnation, self._states[each.incarnation]) > 0.0
                   for each in endpoints)

    def record_send(self, endpoint: endpoint_module.Endpoint) -> None:
        """Records that a request is sent to an endpoint."""
        if endpoint.incarnation in self._limited:
            state = self._states[endpoint.incarnation]
            state.tokens -= 1.0
            state.wanted_at = _NEVER

    def list_reports(self) -> list[RateReport]:
        """Returns the statements to report to peers."""
        now = self._clock.monotonic()
        names: collections.abc.Iterable[str] = [
            name for name, state in self._states.items()
            if state.source == self._vm and now -
            state.changed_at <= _REPORT_TIME
        ]
        if self._states and now - self._all_reported_at >= _REPORT_INTERVAL:
            self._all_reported_at = now
            ended = [
                name for name, state in self._states.items()
                if state.limit is None and now -
                state.changed_at <= _ENDED_REPORT_TIME
            ]
            names = dict.fromkeys([*names, *sorted(self._limited), *ended])
        return [
            RateReport(name, self._states[name].limit,
                       now - self._states[name].stated_at)
            for name in list(names)[:_MAX_REPORTED]
        ]

    def _allows(self, endpoint: endpoint_module.Endpoint, tier: int) -> bool:
        """Returns whether a request may be sent to an endpoint now.

        While a more urgent request waits for the endpoint, less urgent ones
        yield to it.
        """
        if endpoint.incarnation not in self._limited:
            return True
        state = self._states[endpoint.incarnation]
        now = self._clock.monotonic()
        self._refill(endpoint.incarnation, state, now)
        is_wanted = now - state.wanted_at <= _WANTED_TIME
        if state.tokens >= 1.0 and not (is_wanted and state.wanted_tier < tier):
            return True
        if not is_wanted or tier <= state.wanted_tier:
            state.wanted_tier, state.wanted_at = tier, now
        state.refusals += 1
        self.refusal_count += 1
        return False

    def _report_problem(self, name: str, problem: str) -> None:
        if (name, problem) in self._problems:
            return
        if len(self._problems) >= _MAX_PROBLEMS:
            return
        self._problems.add((name, problem))
        if self._on_problem is not None:
            self._on_problem(name, problem)

    def _record(self, name: str, limit: float | None,
                stated_at: datetime.timedelta, source: str) -> None:
        state = self._states.get(name)
        if state is None:
            if limit is None:
                return
            state = self._states[name] = _State(None, _NEVER, _NEVER, source)
        if stated_at <= state.stated_at:
            return
        state.stated_at = stated_at
        self._states.move_to_end(name)
        self._drop_old()
        if limit == state.limit or name not in self._states:
            return
        refusals, state.refusals = state.refusals, 0
        state.limit, state.source = limit, source
        state.changed_at = self._clock.monotonic()
        if limit is None:
            self._limited.discard(name)
            state.tokens, state.refilled_at = 0.0, _NEVER
        else:
            self._limited.add(name)
        if self._on_change is not None:
            self._on_change(RateLimitChange(name, limit, source, refusals))

    def _drop_old(self) -> None:
        oldest = self._clock.monotonic() - _STATEMENT_LIFETIME
        while self._states:
            name, state = next(iter(self._states.items()))
            if (state.stated_at >= oldest and
                    len(self._states) <= _MAX_ENDPOINTS):
                return
            del self._states[name]
            self._limited.discard(name)

    def _refill(self, name: str, state: _State,
                now: datetime.timedelta) -> None:
        rate = self._find_rate(name, state)
        if rate <= 0.0:
            state.tokens, state.refilled_at = 0.0, _NEVER
            return
        if state.refilled_at == _NEVER:
            state.refilled_at = now
        added = rate * (now - state.refilled_at).total_seconds()
        burst = max(1.0, rate * _BURST_TIME.total_seconds())
        state.tokens = min(state.tokens + added, burst)
        state.refilled_at = now

    def _find_rate(self, name: str, state: _State) -> float:
        """Returns this VM's share of a limit, in requests per second."""
        limit = max(state.limit or 0.0, _MIN_RATE)
        vms = frozenset(self._list_vms()) | {self._vm}
        count = min(math.ceil(limit), len(vms), _MAX_VMS)
        known = self._holders.get((name, count))
        if known is None or known[0] != vms:
            chosen = sorted(vms, key=lambda each: _hash(name, each))[:count]
            known = vms, self._vm in chosen
            if len(self._holders) > _MAX_ENDPOINTS:
                self._holders.clear()
            self._holders[name, count] = known
        return limit / count if known[1] else 0.0


def _hash(endpoint: str, vm: str) -> bytes:
    return hashlib.blake2b(f"{endpoint}\0{vm}".encode(),
                           digest_size=_DIGEST_BYTES).digest()
