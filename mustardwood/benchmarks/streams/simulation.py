"""Simulation of a load on modelled VMs and engines."""

import collections.abc
import dataclasses
import datetime
import functools
import itertools
import math
import random

from mustardwood import dispatch
from mustardwood import profiles
from mustardwood.benchmarks import timeline as timeline_module
from mustardwood.benchmarks.streams import engine_parameters
from mustardwood.benchmarks.streams import modelled_caller
from mustardwood.benchmarks.streams import modelled_vm
from mustardwood.benchmarks.streams import scheduler as scheduler_module
from mustardwood.benchmarks.streams import stream_engine
from mustardwood.benchmarks.streams import stream_kind

_SIZE_SIGMA = 0.5
"""Standard deviation of the logarithm of sizes; assumed, not from users."""
_DRAIN_SECONDS = 20.0
"""Time after the last arrival until all requests have ended."""
_LARGEST_SHARE = 0.1
"""Share of the requests of a kind that count as its largest."""
_STARVATION_WINDOW = 5.0
"""Length of a starvation window in seconds, from the users' rules."""
_STARVATION_STEP = 0.5
"""Time between the starts of two windows, in seconds."""
_MIN_STARVED = 10
"""Minimum number of unserved requests in a starvation window."""
_MIN_STARVED_SHARE = 1 / 12
"""Share of the requests of a kind that has to be exceeded."""
_LARGER_FACTOR = 2.0
"""Size from which a less urgent request counts, relative to the kind's mean."""


@dataclasses.dataclass(frozen=True)
class Burst:
    """A period in which requests of one kind arrive more often.

    Attributes:
        kind: Name of the kind.
        start: Start of the burst, in seconds.
        end: End of the burst, in seconds.
        factor: Factor on the arrival rate of the kind.
    """

    kind: str
    start: float
    end: float
    factor: float


@dataclasses.dataclass(frozen=True)
class SpeedChange:
    """A period in which an engine runs at another speed.

    Attributes:
        engine: Number of the engine.
        start: Start of the period, in seconds.
        end: End of the period, in seconds.
        speed: Speed relative to that before and after.
    """

    engine: int
    start: float
    end: float
    speed: float


@dataclasses.dataclass(frozen=True)
class LoadProfile:
    """Traffic, faults and size of a simulated fleet.

    Attributes:
        kinds: Kinds of requests.
        bursts: Periods with a higher arrival rate.
        organisation_tiers: Priorities of the organisations, which send equal
            shares of the requests; None for an organisation without its own.
        crashes: Times at which one engine after another crashes and restarts
            at once, in seconds.
        departures: Times at which one engine after another leaves, in seconds;
            it completes the requests that it has.
        vm_losses: Times at which one VM after another loses its requests and
            its state and restarts at once, in seconds.
        versions: Software versions, which the engines have in turn.
        seconds: Time during which requests arrive, in seconds.
        vms: Number of VMs.
        engines: Number of engines.
        peer_update_interval: Time between two load updates of a VM to its
            peers, in seconds.
        parameters: Speed and capacity of the engines.
        max_slowdown: Slowdown factor of the slowest engine; those of the other
            engines are spread evenly from 1.
        speeds: Speeds relative to the parameters, which the engines have in
            turn.
        speed_changes: Periods in which engines run at another speed.
    """

    kinds: tuple[stream_kind.StreamKind, ...] = stream_kind.ACCOUNTING_TRAFFIC
    bursts: tuple[Burst, ...] = ()
    organisation_tiers: tuple[int | None, ...] = (None,)
    crashes: tuple[float, ...] = ()
    departures: tuple[float, ...] = ()
    vm_losses: tuple[float, ...] = ()
    versions: tuple[str, ...] = ("v1",)
    seconds: float = 20.0
    vms: int = 9
    engines: int = 6
    peer_update_interval: float = 0.02
    parameters: engine_parameters.EngineParameters = (
        engine_parameters.EngineParameters())
    max_slowdown: float = 1.15
    speeds: tuple[float, ...] = (1.0,)
    speed_changes: tuple[SpeedChange, ...] = ()


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Results of a simulation.

    Attributes:
        credit_share: Earned credit divided by the credit of a run in which all
            responses are on time.
        credit_share_by_kind: The same ratio by kind of request.
        late_pauses: Number of complete streams in which a pause between two
            events exceeded the target.
        completed: Number of requests with a complete response.
        failed: Number of requests without one.
        prefilled_tokens: Number of prompt tokens that engines prefilled.
        prefilled_by_engine: The same of each engine.
        preemptions: Number of requests that engines preempted.
        inverted_preemptions: Number of them while a less urgent request ran.
        served_share_by_kind: Share of the requests of a kind with a complete
            response.
        served_share_of_largest: The same for the tenth of them with the
            longest prompts.
        mixed_streams: Number of streams with events of two software versions.
        resumptions: Number of times that a caller resumed a stream.
        continuations: Number of them that brought an event.
        starved: Kinds and start times in seconds of the windows in which many
            requests of the kind brought nothing while larger and less urgent
            ones began.
    """

    credit_share: float
    credit_share_by_kind: dict[str, float]
    late_pauses: int
    completed: int
    failed: int
    prefilled_tokens: int
    prefilled_by_engine: tuple[int, ...]
    preemptions: int
    inverted_preemptions: int
    served_share_by_kind: dict[str, float]
    served_share_of_largest: dict[str, float]
    mixed_streams: int
    resumptions: int
    continuations: int
    starved: tuple[tuple[str, float], ...]


def simulate_load(
        profile: LoadProfile,
        settings: dispatch.PlacementSettings = (dispatch.PlacementSettings()),
        seed: int = 1,
        fixed_profile: profiles.EngineProfile | None = profiles.PRIOR
) -> Outcome:
    """Simulates a load with the real code of `dispatch`.

    Args:
        profile: The load.
        settings: Settings of the placement.
        seed: Seed of the random numbers.
        fixed_profile: Speed that the VMs assume of all engines; None if they
            learn it from the responses.
    """
    return _Simulation(profile, settings, seed, fixed_profile).run()


class _Simulation:

    def __init__(self, profile: LoadProfile,
                 settings: dispatch.PlacementSettings, seed: int,
                 fixed_profile: profiles.EngineProfile | None) -> None:
        self._fixed_profile = fixed_profile
        self._profile = profile
        self._rng = random.Random(seed)
        self._organisation_rng = random.Random(seed)
        self._timeline = timeline_module.Timeline()
        self._scheduler = scheduler_module.Scheduler(self._timeline)
        steps = max(1, profile.engines - 1)
        self._engines = {
            f"engine-{number}":
                stream_engine.StreamEngine(
                    dataclasses.replace(
                        profile.parameters,
                        slowdown=1.0 +
                        (profile.max_slowdown - 1.0) * number / steps),
                    self._timeline,
                    profile.versions[number % len(profile.versions)])
            for number in range(profile.engines)
        }
        for number in range(profile.engines):
            self._set_speed(number, 1.0)
        self._settings = settings
        self._seed = seed
        self._vms = [self._make_vm(number) for number in range(profile.vms)]
        self._open: list[list[_OpenRequest]] = [[] for _ in self._vms]
        self._routes = {each.name: _make_route(each) for each in profile.kinds}
        self._organisations = [
            dispatch.Organisation(f"organisation-{number}", frozenset(), tier)
            for number, tier in enumerate(profile.organisation_tiers)
        ]
        self._table = dispatch.RouteTable(1, self._routes.values(),
                                          self._organisations)
        self._callers: list[_SentRequest] = []
        self._attempts: list[_SentAttempt] = []
        self._numbers = itertools.count()

    def _make_vm(self, number: int) -> modelled_vm.ModelledVm:
        profile = self._profile
        return modelled_vm.ModelledVm(f"vm-{number}", self._scheduler,
                                      self._engines, profile.parameters,
                                      self._settings, profile.vms,
                                      random.Random(self._seed + number),
                                      self._fixed_profile)

    def run(self) -> Outcome:
        """Runs the simulation until all requests have ended."""
        profile = self._profile
        for kind in profile.kinds:
            self._timeline.call_at(
                0.0, functools.partial(self._handle_arrival, kind))
        for number, crash_time in enumerate(profile.crashes):
            engine = self._engines[f"engine-{number % profile.engines}"]
            self._timeline.call_at(crash_time, engine.crash)
        for number, departure_time in enumerate(profile.departures):
            self._timeline.call_at(
                departure_time,
                functools.partial(self._remove_engine, f"engine-{number}"))
        for change in profile.speed_changes:
            for at, speed in ((change.start, change.speed), (change.end, 1.0)):
                self._timeline.call_at(
                    at, functools.partial(self._set_speed, change.engine,
                                          speed))
        for number, loss_time in enumerate(profile.vm_losses):
            self._timeline.call_at(
                loss_time, functools.partial(self._lose_vm,
                                             number % profile.vms))
        for number in range(profile.vms):
            self._timeline.call_at(
                self._rng.uniform(0.0, profile.peer_update_interval),
                functools.partial(self._send_peer_updates, number))
        self._timeline.run_until(profile.seconds + _DRAIN_SECONDS)
        return self._compute_outcome()

    def _set_speed(self, number: int, speed: float) -> None:
        speeds = self._profile.speeds
        self._engines[f"engine-{number}"].set_speed(
            speeds[number % len(speeds)] * speed)

    def _remove_engine(self, name: str) -> None:
        for vm in self._vms:
            vm.context.directory.remove_endpoint(name)

    def _lose_vm(self, number: int) -> None:
        interrupted = self._open[number]
        self._open[number] = []
        self._vms[number] = self._make_vm(number)
        for each in interrupted:
            if not each.forwarding.is_done:
                each.forwarding.handle_caller_disconnect()
                each.caller.abort()

    def _send_peer_updates(self, number: int) -> None:
        vm = self._vms[number]
        streams = vm.context.streams.take_new_streams()
        questions = vm.context.streams.take_questions()
        for other in self._vms:
            if other is not vm:
                vm.send_peer_update(other, streams, questions)
        self._timeline.call_later(self._profile.peer_update_interval,
                                  lambda: self._send_peer_updates(number))

    def _handle_arrival(self, kind: stream_kind.StreamKind) -> None:
        now = self._timeline.seconds
        if now >= self._profile.seconds:
            return
        factor = 1.0
        for burst in self._profile.bursts:
            if burst.kind == kind.name and burst.start <= now < burst.end:
                factor *= burst.factor
        if now:
            self._start_caller(kind)
        self._timeline.call_later(self._rng.expovariate(kind.rate * factor),
                                  lambda: self._handle_arrival(kind))

    def _start_caller(self, kind: stream_kind.StreamKind) -> None:
        shared = self._draw_size(kind.shared_tokens)
        own = self._draw_size(kind.own_tokens)
        prefix_key = f"{kind.name}-{self._rng.randrange(kind.prefixes)}"
        events = self._draw_size(kind.events)
        prompt = dispatch.Prompt(
            (dispatch.PromptPart(prefix_key, shared),
             dispatch.PromptPart(f"own-{next(self._numbers)}", own)),
            shared + own, events * self._profile.parameters.event_tokens)
        organisation = self._organisation_rng.choice(self._organisations)
        caller = modelled_caller.ModelledCaller(
            kind, self._scheduler, lambda caller, time_left: self._send(
                kind, organisation, prompt, caller, time_left))
        self._callers.append(_SentRequest(kind, caller, prompt.input_tokens))
        caller.send()

    def _send(self, kind: stream_kind.StreamKind,
              organisation: dispatch.Organisation, prompt: dispatch.Prompt,
              caller: modelled_caller.ModelledCaller,
              time_left: datetime.timedelta) -> None:
        now = self._scheduler.monotonic()
        number = next(self._numbers)
        route = self._routes[kind.name]
        caller.request_id = f"request-{number}"
        request = dispatch.ServiceRequest(
            request_id=caller.request_id,
            route=route.name,
            service=modelled_vm.SERVICE,
            organisation=organisation.name,
            api_key="",
            tier=self._table.find_tier(route, organisation),
            first_byte_target=route.first_byte_target,
            inter_event_target=route.inter_event_target,
            arrived_at=now,
            expires_at=now + time_left,
            retry_policy=route.retry_policy,
            is_stream=True,
            max_runs=route.max_runs,
            prompt=prompt,
            target=f"/{number}",
            tier_count=self._table.tier_count,
            route_tier=route.tier,
            organisation_tier=organisation.tier,
            last_event_id=caller.last_event_id,
            resumed_request_id=caller.first_request_id)
        self._attempts.append(
            _SentAttempt(kind, request.tier, prompt.input_tokens, now,
                         caller.request_id, caller))
        vm_number = self._rng.randrange(len(self._vms))
        forwarding = dispatch.Forwarding(request, caller,
                                         self._vms[vm_number].context)
        self._open[vm_number].append(_OpenRequest(forwarding, caller))
        forwarding.start()

    def _draw_size(self, mean: int) -> int:
        spread = self._rng.lognormvariate(-_SIZE_SIGMA**2 / 2, _SIZE_SIGMA)
        return max(1, round(mean * spread))

    def _compute_outcome(self) -> Outcome:
        earned: dict[str, float] = {}
        possible: dict[str, float] = {}
        by_kind: dict[str, list[_SentRequest]] = {}
        for each in self._callers:
            kind, name = each.kind, each.kind.name
            earned[name] = earned.get(name, 0.0) + each.caller.credit
            possible[name] = possible.get(name, 0.0) + kind.on_time_credit
            by_kind.setdefault(name, []).append(each)
        return Outcome(
            credit_share=sum(earned.values()) /
            max(1e-9, sum(possible.values())),
            credit_share_by_kind={
                name: earned[name] / each for name, each in possible.items()
            },
            late_pauses=sum(
                each.caller.is_complete and
                each.caller.longest_pause > each.kind.inter_event_target
                for each in self._callers),
            completed=sum(each.caller.is_complete for each in self._callers),
            failed=sum(not each.caller.is_complete for each in self._callers),
            prefilled_tokens=sum(
                each.prefilled_tokens for each in self._engines.values()),
            prefilled_by_engine=tuple(
                each.prefilled_tokens for each in self._engines.values()),
            preemptions=sum(
                each.preemptions for each in self._engines.values()),
            inverted_preemptions=sum(
                each.inverted_preemptions for each in self._engines.values()),
            served_share_by_kind={
                name: _compute_served_share(sent)
                for name, sent in by_kind.items()
            },
            served_share_of_largest={
                name: _compute_served_share(_list_largest(sent))
                for name, sent in by_kind.items()
            },
            mixed_streams=sum(
                len(each.caller.versions) > 1 for each in self._callers),
            resumptions=sum(each.caller.resumptions for each in self._callers),
            continuations=sum(
                each.caller.continuations for each in self._callers),
            starved=tuple(self._find_starved()))

    def _find_starved(self) -> collections.abc.Iterator[tuple[str, float]]:
        steps = round(self._profile.seconds / _STARVATION_STEP)
        for kind in self._profile.kinds:
            for start in (step * _STARVATION_STEP for step in range(steps)):
                if self._is_starved(kind, start):
                    yield kind.name, start

    def _is_starved(self, kind: stream_kind.StreamKind, start: float) -> bool:
        """Returns whether a kind of requests starves in the window at a time.

        A request counts if a less urgent one, larger than its kind by
        `_LARGER_FACTOR`, began in the window.
        """
        first = datetime.timedelta(seconds=start)
        last = first + datetime.timedelta(seconds=_STARVATION_WINDOW)
        size = _LARGER_FACTOR * (kind.shared_tokens + kind.own_tokens)
        began_tier = max(
            (each.tier for each in self._attempts if
             each.prompt_tokens > size and first <= each.first_event_at < last),
            default=-1)
        sent = [
            each for each in self._attempts
            if each.kind is kind and first <= each.sent_at < last
        ]
        unserved = sum(each.first_event_at == datetime.timedelta.max and
                       each.tier < began_tier for each in sent)
        return (unserved >= _MIN_STARVED and
                unserved > _MIN_STARVED_SHARE * len(sent))


@dataclasses.dataclass(frozen=True)
class _SentAttempt:
    kind: stream_kind.StreamKind
    tier: int
    prompt_tokens: int
    sent_at: datetime.timedelta
    request_id: str
    caller: modelled_caller.ModelledCaller

    @property
    def first_event_at(self) -> datetime.timedelta:
        """Monotonic time of the first event; the maximum if none arrived."""
        return self.caller.first_events.get(self.request_id,
                                            datetime.timedelta.max)


@dataclasses.dataclass(frozen=True)
class _OpenRequest:
    forwarding: dispatch.Forwarding
    caller: modelled_caller.ModelledCaller


@dataclasses.dataclass(frozen=True)
class _SentRequest:
    kind: stream_kind.StreamKind
    caller: modelled_caller.ModelledCaller
    prompt_tokens: int


def _make_route(kind: stream_kind.StreamKind) -> dispatch.Route:
    retry_policy = (dispatch.RetryPolicy.RESUMABLE
                    if kind.is_resumable else dispatch.RetryPolicy.AT_MOST_ONCE)
    return dispatch.Route(kind.name, "host", f"/{kind.name}/",
                          (dispatch.RouteTarget(modelled_vm.SERVICE, 1.0),),
                          kind.tier,
                          datetime.timedelta(seconds=kind.first_byte_target),
                          datetime.timedelta(seconds=kind.inter_event_target),
                          datetime.timedelta(seconds=kind.deadline),
                          retry_policy, True, 2, True)


def _list_largest(
        sent: collections.abc.Sequence[_SentRequest]) -> list[_SentRequest]:
    by_size = sorted(sent, key=lambda each: each.prompt_tokens, reverse=True)
    return by_size[:math.ceil(len(by_size) * _LARGEST_SHARE)]


def _compute_served_share(
        sent: collections.abc.Collection[_SentRequest]) -> float:
    return sum(each.caller.is_complete for each in sent) / max(1, len(sent))
