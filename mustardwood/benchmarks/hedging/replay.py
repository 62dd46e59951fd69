"""Replay of a load while endpoints are slow or stall."""

import collections.abc
import dataclasses
import datetime
import functools
import itertools
import random

from mustardwood import dispatch
from mustardwood import hedging
from mustardwood.benchmarks import timeline as timeline_module
from mustardwood.benchmarks.hedging import plain_endpoint
from mustardwood.benchmarks.hedging import replay_result
from mustardwood.benchmarks.streams import disturbance as disturbance_module
from mustardwood.benchmarks.streams import engine_parameters
from mustardwood.benchmarks.streams import modelled_endpoint
from mustardwood.benchmarks.streams import modelled_vm
from mustardwood.benchmarks.streams import scheduler as scheduler_module
from mustardwood.benchmarks.streams import stream_engine

_DRAIN_SECONDS = 20.0
"""Time after the last arrival until all requests have ended."""
_WARM_UP_SECONDS = 10.0
"""Time from which requests count; before, no usual times are known."""


@dataclasses.dataclass(frozen=True)
class ReplayKind:
    """A kind of requests.

    Attributes:
        name: Name of the kind and of its route.
        rate: Mean arrival rate, in requests per second.
        first_byte_target: Target for the time to the first byte, in seconds.
        shared_tokens: Length of the shared part of its prompts, in tokens; 0
            for a plain service.
        own_tokens: Length of the rest, in tokens.
        output_tokens: Length of a response, in tokens.
        is_repeatable: Whether a request may run twice.
        tier: Tier; 0 is the most urgent.
    """

    name: str
    rate: float
    first_byte_target: float
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    is_repeatable: bool = True
    tier: int = 0


@dataclasses.dataclass(frozen=True)
class ReplayProfile:
    """Load, endpoints and disturbances of a replay.

    Attributes:
        kinds: Kinds of requests, all for plain services or all for engines.
        endpoints: Number of endpoints.
        disturbance: When endpoints are slow or stall; None for never.
        seconds: Time during which requests arrive, in seconds.
        vms: Number of VMs.
        peer_update_interval: Time between two load updates, in seconds.
        parameters: Slots of an endpoint and speed of an engine.
    """

    kinds: tuple[ReplayKind, ...]
    endpoints: int
    disturbance: disturbance_module.Disturbance | None = None
    seconds: float = 120.0
    vms: int = 9
    peer_update_interval: float = 0.05
    parameters: engine_parameters.EngineParameters = (
        engine_parameters.EngineParameters())


def replay_load(profile: ReplayProfile, settings: hedging.HedgeSettings,
                seed: int) -> replay_result.ReplayResult:
    """Replays a load, which depends on the seed only."""
    return _Replay(profile, settings, seed).run()


class _Replay:

    def __init__(self, profile: ReplayProfile, settings: hedging.HedgeSettings,
                 seed: int) -> None:
        self._profile = profile
        self._rng = random.Random(seed)
        self._timeline = timeline_module.Timeline()
        self._scheduler = scheduler_module.Scheduler(self._timeline)
        self._endpoints = {
            f"endpoint-{number}":
                self._make_endpoint(random.Random(seed * 100 + number))
            for number in range(profile.endpoints)
        }
        self._vms = [
            modelled_vm.ModelledVm(f"vm-{number}", self._scheduler,
                                   self._endpoints, profile.parameters,
                                   dispatch.PlacementSettings(), profile.vms,
                                   random.Random(seed + number), None, settings)
            for number in range(profile.vms)
        ]
        self._callers: list[_Caller] = []
        self._numbers = itertools.count()

    def _make_endpoint(
            self, rng: random.Random) -> modelled_endpoint.ModelledEndpoint:
        parameters = self._profile.parameters
        if self._profile.kinds[0].own_tokens:
            return stream_engine.StreamEngine(parameters, self._timeline)
        return plain_endpoint.PlainEndpoint(parameters.slots, rng,
                                            self._timeline)

    def run(self) -> replay_result.ReplayResult:
        """Runs the replay until all requests have ended."""
        profile = self._profile
        for kind in profile.kinds:
            self._timeline.call_at(
                0.0, functools.partial(self._handle_arrival, kind))
        for number in range(profile.vms):
            self._timeline.call_at(
                self._rng.uniform(0.0, profile.peer_update_interval),
                functools.partial(self._send_peer_updates, number))
        self._schedule_disturbances()
        self._timeline.run_until(profile.seconds + _DRAIN_SECONDS)
        return self._compute_result()

    def _schedule_disturbances(self) -> None:
        disturbance = self._profile.disturbance
        if disturbance is None:
            return
        start = disturbance.start
        for name in itertools.cycle(self._endpoints):
            if start >= self._profile.seconds:
                return
            endpoint = self._endpoints[name]
            if disturbance.factor:
                self._timeline.call_at(
                    start,
                    functools.partial(endpoint.slow_down, disturbance.factor))
                self._timeline.call_at(
                    start + disturbance.duration,
                    functools.partial(endpoint.slow_down,
                                      1 / disturbance.factor))
            else:
                self._timeline.call_at(
                    start,
                    functools.partial(endpoint.stall, disturbance.duration))
            start += disturbance.interval

    def _send_peer_updates(self, number: int) -> None:
        vm = self._vms[number]
        for other in self._vms:
            if other is not vm:
                vm.send_peer_update(other, {}, b"")
        self._timeline.call_later(self._profile.peer_update_interval,
                                  lambda: self._send_peer_updates(number))

    def _handle_arrival(self, kind: ReplayKind) -> None:
        if self._timeline.seconds >= self._profile.seconds:
            return
        if self._timeline.seconds:
            self._send(kind)
        self._timeline.call_later(self._rng.expovariate(kind.rate),
                                  lambda: self._handle_arrival(kind))

    def _send(self, kind: ReplayKind) -> None:
        now = self._scheduler.monotonic()
        number = next(self._numbers)
        caller = _Caller(now, self._scheduler)
        if kind.is_repeatable:
            self._callers.append(caller)
        is_stream = kind.own_tokens > 0
        repeatable = (dispatch.RetryPolicy.RESUMABLE
                      if is_stream else dispatch.RetryPolicy.IDEMPOTENT)
        prompt = dispatch.Prompt()
        if is_stream:
            prompt = dispatch.Prompt(
                (dispatch.PromptPart(f"{kind.name}-{self._rng.randrange(60)}",
                                     kind.shared_tokens),
                 dispatch.PromptPart(f"own-{number}", kind.own_tokens)),
                kind.shared_tokens + kind.own_tokens, kind.output_tokens)
        request = dispatch.ServiceRequest(
            request_id=f"request-{number}",
            route=kind.name,
            service=modelled_vm.SERVICE,
            organisation="organisation",
            api_key="",
            tier=kind.tier,
            first_byte_target=datetime.timedelta(
                seconds=kind.first_byte_target),
            inter_event_target=datetime.timedelta(
                seconds=0.25 if is_stream else 0.0),
            arrived_at=now,
            expires_at=now + datetime.timedelta(seconds=12),
            retry_policy=(repeatable if kind.is_repeatable else
                          dispatch.RetryPolicy.AT_MOST_ONCE),
            is_stream=is_stream,
            max_runs=2,
            prompt=prompt,
            target=f"/{number}",
            tier_count=1 + max(each.tier for each in self._profile.kinds))
        vm = self._vms[self._rng.randrange(len(self._vms))]
        dispatch.Forwarding(request, caller, vm.context).start()

    def _compute_result(self) -> replay_result.ReplayResult:
        warm_up = datetime.timedelta(seconds=_WARM_UP_SECONDS)
        counted = [each for each in self._callers if each.arrived_at >= warm_up]
        times = [
            each.first_byte_seconds
            for each in counted
            if each.first_byte_seconds is not None
        ]
        counts = [each.hedging for each in self._vms]
        return replay_result.ReplayResult(
            tuple(sorted(times)),
            len(counted) - len(times), sum(each.sent for each in counts),
            sum(each.wins for each in counts),
            sum(each.wasted.total_seconds() for each in counts),
            sum(each.busy_seconds for each in self._endpoints.values()))


class _Caller:
    """Measures the time to the first byte.

    Attributes:
        arrived_at: Monotonic time of its request.
        first_byte_seconds: Time to the first byte, in seconds; None before it.
    """

    def __init__(self, arrived_at: datetime.timedelta,
                 scheduler: scheduler_module.Scheduler) -> None:
        self.arrived_at = arrived_at
        self.first_byte_seconds: float | None = None
        self._scheduler = scheduler

    def begin(self, status: int, headers: dispatch.Headers,
              length: int | None) -> None:
        """See `dispatch.Caller`."""
        del headers, length
        if 200 <= status < 300:
            waited = self._scheduler.monotonic() - self.arrived_at
            self.first_byte_seconds = waited.total_seconds()

    def write(self, data: bytes) -> None:
        """See `dispatch.Caller`."""

    def finish(self) -> None:
        """See `dispatch.Caller`."""

    def abort(self) -> None:
        """See `dispatch.Caller`."""

    def refuse(self, response: dispatch.Refusal) -> None:
        """See `dispatch.Caller`."""


def replay_seeds(
        profile: ReplayProfile, settings: hedging.HedgeSettings,
        seeds: collections.abc.Iterable[int]) -> replay_result.ReplayResult:
    """Replays a load with several seeds and returns the sum of the results."""
    return replay_result.ReplayResult.from_parts(
        [replay_load(profile, settings, seed) for seed in seeds])
