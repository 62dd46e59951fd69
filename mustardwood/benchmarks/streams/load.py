"""One load on modelled VMs and engines."""

import collections.abc
import dataclasses
import datetime
import functools
import itertools
import random

from mustardwood import dispatch
from mustardwood.benchmarks import timeline as timeline_module
from mustardwood.benchmarks.streams import engine_figures
from mustardwood.benchmarks.streams import modelled_caller
from mustardwood.benchmarks.streams import modelled_vm
from mustardwood.benchmarks.streams import scheduler as scheduler_module
from mustardwood.benchmarks.streams import stream_engine
from mustardwood.benchmarks.streams import stream_kind

_NEWS_INTERVAL = 0.02
"""Seconds between the news of a VM, as the platform's process sends them."""
_SIZE_SPREAD = 0.5
"""Standard deviation of the logarithm of sizes; an assumption."""
_LONG_AFTER = 20.0
"""Seconds after the last arrival in which requests end."""


@dataclasses.dataclass(frozen=True)
class Burst:
    """A time in which a kind comes more often.

    Attributes:
        kind: Name of the kind.
        start: First second.
        end: Last second.
        factor: Multiple of its rate.
    """

    kind: str
    start: float
    end: float
    factor: float


@dataclasses.dataclass(frozen=True)
class Load:
    """What is played.

    Attributes:
        kinds: Kinds of requests.
        bursts: Times with more of them.
        crashes: Seconds at which an engine crashes and is back at once.
        seconds: Length of the traffic.
        vms: Number of VMs.
        engines: Number of engines.
        figures: Sizes and speeds of the engines.
        slowest: Slowness of the slowest engine; the others lie between.
    """

    kinds: tuple[stream_kind.StreamKind, ...] = stream_kind.ACCOUNTANTS
    bursts: tuple[Burst, ...] = ()
    crashes: tuple[float, ...] = ()
    seconds: float = 20.0
    vms: int = 9
    engines: int = 6
    figures: engine_figures.EngineFigures = engine_figures.EngineFigures()
    slowest: float = 1.15


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What callers got.

    Attributes:
        share: Credit earned of the credit owed.
        shares: The same by kind.
        late_pauses: Complete streams with a pause over their aim.
        failed: Requests without a whole answer.
        read_tokens: Prompt tokens that engines read.
    """

    share: float
    shares: dict[str, float]
    late_pauses: int
    failed: int
    read_tokens: int


def play_load(load: Load,
              settings: dispatch.PlacementSettings = (
                  dispatch.PlacementSettings()),
              seed: int = 1) -> Outcome:
    """Plays a load with the real decisions in virtual time."""
    return _Play(load, settings, seed).run()


class _Play:

    def __init__(self, load: Load, settings: dispatch.PlacementSettings,
                 seed: int) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self._timeline = timeline_module.Timeline()
        self._scheduler = scheduler_module.Scheduler(self._timeline)
        steps = max(1, load.engines - 1)
        self._engines = {
            f"engine-{number}":
                stream_engine.StreamEngine(
                    dataclasses.replace(load.figures,
                                        slowness=1.0 +
                                        (load.slowest - 1.0) * number / steps),
                    self._timeline) for number in range(load.engines)
        }
        self._vms = [
            modelled_vm.ModelledVm(f"vm-{number}", self._scheduler,
                                   self._engines, load.figures, settings,
                                   load.vms, random.Random(seed + number))
            for number in range(load.vms)
        ]
        self._callers: list[tuple[stream_kind.StreamKind,
                                  modelled_caller.ModelledCaller]] = []
        self._numbers = itertools.count()

    def run(self) -> Outcome:
        """Plays it to the end."""
        load = self._load
        for kind in load.kinds:
            self._timeline.call_at(0.0, functools.partial(self._arrive, kind))
        for number, at in enumerate(load.crashes):
            engine = self._engines[f"engine-{number % load.engines}"]
            self._timeline.call_at(at, engine.crash)
        for vm in self._vms:
            self._timeline.call_at(self._rng.uniform(0.0, _NEWS_INTERVAL),
                                   functools.partial(self._tell, vm))
        self._timeline.run_until(load.seconds + _LONG_AFTER)
        return self._sum_up()

    def _tell(self, vm: modelled_vm.ModelledVm) -> None:
        for other in self._vms:
            if other is not vm:
                vm.tell(other)
        self._timeline.call_later(_NEWS_INTERVAL, lambda: self._tell(vm))

    def _arrive(self, kind: stream_kind.StreamKind) -> None:
        now = self._timeline.seconds
        if now >= self._load.seconds:
            return
        factor = 1.0
        for burst in self._load.bursts:
            if burst.kind == kind.name and burst.start <= now < burst.end:
                factor *= burst.factor
        if now:
            self._begin(kind)
        self._timeline.call_later(self._rng.expovariate(kind.rate * factor),
                                  lambda: self._arrive(kind))

    def _begin(self, kind: stream_kind.StreamKind) -> None:
        shared = self._draw(kind.shared_tokens)
        own = self._draw(kind.own_tokens)
        subject = f"{kind.name}-{self._rng.randrange(kind.subjects)}"
        pieces = self._draw(kind.pieces)
        prompt = dispatch.Prompt(
            (dispatch.PromptPart(subject, shared),
             dispatch.PromptPart(f"own-{next(self._numbers)}", own)),
            shared + own, pieces * self._load.figures.event_tokens)
        caller = modelled_caller.ModelledCaller(
            kind, self._scheduler,
            lambda caller, rest: self._send(kind, prompt, caller, rest))
        self._callers.append((kind, caller))
        caller.send()

    def _send(self, kind: stream_kind.StreamKind, prompt: dispatch.Prompt,
              caller: dispatch.Caller, rest: datetime.timedelta) -> None:
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
                                          expires_at=now + rest,
                                          retry_policy=retry_policy,
                                          is_stream=True,
                                          max_runs=2,
                                          prompt=prompt,
                                          target=f"/{number}")
        vm = self._rng.choice(self._vms)
        dispatch.Forwarding(request, caller, vm.context).start()

    def _draw(self, mean: int) -> int:
        spread = self._rng.lognormvariate(-_SIZE_SPREAD**2 / 2, _SIZE_SPREAD)
        return max(1, round(mean * spread))

    def _sum_up(self) -> Outcome:
        earned: dict[str, float] = {}
        owed: dict[str, float] = {}
        for kind, caller in self._callers:
            earned[kind.name] = earned.get(kind.name, 0.0) + caller.credit
            owed[kind.name] = owed.get(kind.name, 0.0) + kind.worth
        callers: collections.abc.Iterable[modelled_caller.ModelledCaller] = [
            caller for _, caller in self._callers
        ]
        return Outcome(
            share=sum(earned.values()) / max(1e-9, sum(owed.values())),
            shares={
                name: earned[name] / each for name, each in owed.items()
            },
            late_pauses=sum(
                each.is_complete and each.worst_pause > kind.inter_event_target
                for kind, each in self._callers),
            failed=sum(not each.is_complete for each in callers),
            read_tokens=sum(
                each.read_tokens for each in self._engines.values()))
