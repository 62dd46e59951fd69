"""Simulation of a load on modelled VMs and engines."""

import collections.abc
import dataclasses
import datetime
import functools
import itertools
import random

from mustardwood import dispatch
from mustardwood.benchmarks import timeline as timeline_module
from mustardwood.benchmarks.streams import engine_parameters
from mustardwood.benchmarks.streams import modelled_caller
from mustardwood.benchmarks.streams import modelled_vm
from mustardwood.benchmarks.streams import scheduler as scheduler_module
from mustardwood.benchmarks.streams import stream_engine
from mustardwood.benchmarks.streams import stream_kind

_PEER_UPDATE_INTERVAL_SECONDS = 0.02
"""Time between two load updates of a VM to its peers, as in `platform`."""
_SIZE_SIGMA = 0.5
"""Standard deviation of the logarithm of sizes; assumed, not from users."""
_DRAIN_SECONDS = 20.0
"""Time after the last arrival until all requests have ended."""


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
class LoadProfile:
    """Traffic, faults and size of a simulated fleet.

    Attributes:
        kinds: Kinds of requests.
        bursts: Periods with a higher arrival rate.
        crashes: Times at which one engine after another crashes and restarts
            at once, in seconds.
        seconds: Time during which requests arrive, in seconds.
        vms: Number of VMs.
        engines: Number of engines.
        parameters: Speed and capacity of the engines.
        max_slowdown: Slowdown factor of the slowest engine; those of the other
            engines are spread evenly from 1.
    """

    kinds: tuple[stream_kind.StreamKind, ...] = stream_kind.ACCOUNTING_TRAFFIC
    bursts: tuple[Burst, ...] = ()
    crashes: tuple[float, ...] = ()
    seconds: float = 20.0
    vms: int = 9
    engines: int = 6
    parameters: engine_parameters.EngineParameters = (
        engine_parameters.EngineParameters())
    max_slowdown: float = 1.15


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Results of a simulation.

    Attributes:
        credit_share: Earned credit divided by the credit of a run in which all
            responses are on time.
        credit_share_by_kind: The same ratio by kind of request.
        late_pauses: Number of complete streams in which a pause between two
            events exceeded the target.
        failed: Number of requests without a complete response.
        prefilled_tokens: Number of prompt tokens that engines prefilled.
    """

    credit_share: float
    credit_share_by_kind: dict[str, float]
    late_pauses: int
    failed: int
    prefilled_tokens: int


def simulate_load(profile: LoadProfile,
                  settings: dispatch.PlacementSettings = (
                      dispatch.PlacementSettings()),
                  seed: int = 1) -> Outcome:
    """Simulates a load with the real code of `dispatch`."""
    return _Simulation(profile, settings, seed).run()


class _Simulation:

    def __init__(self, profile: LoadProfile,
                 settings: dispatch.PlacementSettings, seed: int) -> None:
        self._profile = profile
        self._rng = random.Random(seed)
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
                    self._timeline) for number in range(profile.engines)
        }
        self._vms = [
            modelled_vm.ModelledVm(f"vm-{number}", self._scheduler,
                                   self._engines, profile.parameters, settings,
                                   profile.vms, random.Random(seed + number))
            for number in range(profile.vms)
        ]
        self._callers: list[tuple[stream_kind.StreamKind,
                                  modelled_caller.ModelledCaller]] = []
        self._numbers = itertools.count()

    def run(self) -> Outcome:
        """Runs the simulation until all requests have ended."""
        profile = self._profile
        for kind in profile.kinds:
            self._timeline.call_at(
                0.0, functools.partial(self._handle_arrival, kind))
        for number, crash_time in enumerate(profile.crashes):
            engine = self._engines[f"engine-{number % profile.engines}"]
            self._timeline.call_at(crash_time, engine.crash)
        for vm in self._vms:
            self._timeline.call_at(
                self._rng.uniform(0.0, _PEER_UPDATE_INTERVAL_SECONDS),
                functools.partial(self._send_peer_updates, vm))
        self._timeline.run_until(profile.seconds + _DRAIN_SECONDS)
        return self._compute_outcome()

    def _send_peer_updates(self, vm: modelled_vm.ModelledVm) -> None:
        for other in self._vms:
            if other is not vm:
                vm.send_peer_update(other)
        self._timeline.call_later(_PEER_UPDATE_INTERVAL_SECONDS,
                                  lambda: self._send_peer_updates(vm))

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
        caller = modelled_caller.ModelledCaller(
            kind, self._scheduler, lambda caller, time_left: self._send(
                kind, prompt, caller, time_left))
        self._callers.append((kind, caller))
        caller.send()

    def _send(self, kind: stream_kind.StreamKind, prompt: dispatch.Prompt,
              caller: dispatch.Caller, time_left: datetime.timedelta) -> None:
        now = self._scheduler.monotonic()
        retry_policy = (dispatch.RetryPolicy.RESUMABLE if kind.is_resumable else
                        dispatch.RetryPolicy.AT_MOST_ONCE)
        number = next(self._numbers)
        request = dispatch.ServiceRequest(request_id=f"request-{number}",
                                          route=kind.name,
                                          service=modelled_vm.SERVICE,
                                          organisation="",
                                          api_key="",
                                          tier=kind.tier,
                                          first_byte_target=datetime.timedelta(
                                              seconds=kind.first_byte_target),
                                          inter_event_target=datetime.timedelta(
                                              seconds=kind.inter_event_target),
                                          arrived_at=now,
                                          expires_at=now + time_left,
                                          retry_policy=retry_policy,
                                          is_stream=True,
                                          max_runs=2,
                                          prompt=prompt,
                                          target=f"/{number}")
        vm = self._rng.choice(self._vms)
        dispatch.Forwarding(request, caller, vm.context).start()

    def _draw_size(self, mean: int) -> int:
        spread = self._rng.lognormvariate(-_SIZE_SIGMA**2 / 2, _SIZE_SIGMA)
        return max(1, round(mean * spread))

    def _compute_outcome(self) -> Outcome:
        earned: dict[str, float] = {}
        possible: dict[str, float] = {}
        for kind, caller in self._callers:
            earned[kind.name] = earned.get(kind.name, 0.0) + caller.credit
            possible[kind.name] = possible.get(kind.name,
                                               0.0) + kind.on_time_credit
        callers: collections.abc.Iterable[modelled_caller.ModelledCaller] = [
            caller for _, caller in self._callers
        ]
        return Outcome(
            credit_share=sum(earned.values()) /
            max(1e-9, sum(possible.values())),
            credit_share_by_kind={
                name: earned[name] / each for name, each in possible.items()
            },
            late_pauses=sum(each.is_complete and
                            each.longest_pause > kind.inter_event_target
                            for kind, each in self._callers),
            failed=sum(not each.is_complete for each in callers),
            prefilled_tokens=sum(
                each.prefilled_tokens for each in self._engines.values()))
