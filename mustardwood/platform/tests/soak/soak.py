"""One run of VMs under disruptions that a seed decides."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import time

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet
from mustardwood.platform.tests.soak import caller as caller_module
from mustardwood.platform.tests.soak import checks
from mustardwood.platform.tests.soak import endpoint as endpoint_module

_POLL_SECONDS = 0.005
_MAX_PAUSE_SECONDS = 1.0
_MIN_STOP_SECONDS, _MAX_STOP_SECONDS = 0.05, 2.0
_DRAIN_SECONDS = 3.0
"""Time after which VMs have aborted the requests of callers that have left."""


@dataclasses.dataclass(frozen=True)
class Plan:
    """Size and disruptions of a run.

    Attributes:
        seed: Decides all draws.
        seconds: Duration of the traffic.
        vms: Number of VMs.
        callers: Number of callers.
        engines: Number of endpoints for streams.
        misbehavior: Probability that an endpoint does not answer a request.
        has_signals: Whether VMs are stopped, reloaded, restarted and killed.
        takeover_stop_seconds: Time for which a VM stands still whenever a
            second endpoint has begun one of its streams; 0 for none.
        takeover_delay_seconds: Time from that beginning to the stop.
        close_seconds: Time for which endpoints work on after the connection of
            a request has closed.
    """

    seed: int
    seconds: float = 20.0
    vms: int = 3
    callers: int = 40
    engines: int = 4
    misbehavior: float = 0.2
    has_signals: bool = False
    takeover_stop_seconds: float = 0.0
    takeover_delay_seconds: float = 0.0
    close_seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What the checks of a run have found.

    Attributes:
        breaches: Names of the broken rules with the requests, a line each.
        requests: Number of requests.
        runs: Number of requests that endpoints began to run.
        takeovers: Number of streams that a second endpoint has continued.
    """

    breaches: tuple[str, ...]
    requests: int
    runs: int
    takeovers: int


class _Disruption:
    """Sends signals to VMs.

    Attributes:
        disturbances: Tuples of a VM's name and the monotonic times at which a
            disturbance began and ended.
    """

    def __init__(self, plan, vms, endpoints, source):
        self._plan = plan
        self._vms = vms
        self._endpoints = endpoints
        self._random = source
        self._last_restart = asyncio.Lock()
        self.disturbances = []

    async def send_signals(self):
        """Sends signals in series, which overlap between VMs."""
        await asyncio.gather(*(self._disturb(each) for each in self._vms))

    async def _disturb(self, vm):
        while True:
            await asyncio.sleep(self._random.uniform(0, _MAX_PAUSE_SECONDS))
            kind = self._random.choice(
                ("stop", "stop", "stop", "reload", "restart", "kill"))
            began_at = time.monotonic()
            if kind == "stop":
                await self._suspend(
                    vm,
                    self._random.uniform(_MIN_STOP_SECONDS, _MAX_STOP_SECONDS))
            elif kind == "reload":
                vm.reload()
            else:
                # One VM is left at any time.
                async with self._last_restart:
                    if kind == "kill":
                        vm.kill()
                        await asyncio.to_thread(vm.start)
                    else:
                        await asyncio.to_thread(vm.restart)
            self.disturbances.append((vm.name, began_at, time.monotonic()))

    async def stop_during_takeovers(self):
        """Stops a VM just after a second endpoint has begun its stream."""
        seen = set()
        while True:
            counts = collections.defaultdict(list)
            for each in self._endpoints:
                for run in each.runs:
                    if run.path == "/stream/":
                        counts[run.attempt_id].append(run)
            for attempt_id, runs in counts.items():
                if len(runs) > 1 and attempt_id not in seen:
                    seen.add(attempt_id)
                    if any(run.ended_at == float("inf")
                           for run in sorted(runs, key=_find_begin)[:-1]):
                        await asyncio.sleep(self._plan.takeover_delay_seconds)
                        await asyncio.gather(*(
                            self._suspend(vm, self._plan.takeover_stop_seconds)
                            for vm in self._vms))
            await asyncio.sleep(_POLL_SECONDS)

    async def _suspend(self, vm, seconds):
        vm.suspend()
        try:
            await asyncio.sleep(seconds)
        finally:
            vm.resume()


def _make_store():
    """Returns a store with a configuration."""
    store = fake_servers.FakeStore()
    document = documents.make_document()
    document["routes"][1].pop("backends")
    document["routes"][1]["service"] = "api"
    store.put("op/config", document)
    return store


async def play(plan: Plan, folder: pathlib.Path) -> Verdict:
    """Plays a run and returns its verdict.

    Args:
        plan: Size and disruptions.
        folder: Folder for settings and logs of the VMs.
    """
    source = random.Random(plan.seed)
    store = _make_store()
    endpoints = [
        endpoint_module.Endpoint(store,
                                 service,
                                 source,
                                 plan.misbehavior,
                                 close_seconds=plan.close_seconds)
        for service in ["engine"] * plan.engines + ["api"] * 3
    ]
    servers = [await each.start() for each in endpoints]
    vms = [
        process_fleet.Vm(folder, f"vm-{number}", store)
        for number in range(plan.vms)
    ]
    callers = [
        caller_module.Caller(f"caller-{number}", vms,
                             random.Random(source.random()))
        for number in range(plan.callers)
    ]
    disruption = _Disruption(plan, vms, endpoints,
                             random.Random(source.random()))
    tasks = []
    try:
        await asyncio.gather(*(asyncio.to_thread(vm.start) for vm in vms))
        if plan.has_signals:
            tasks.append(asyncio.create_task(disruption.send_signals()))
        if plan.takeover_stop_seconds:
            tasks.append(asyncio.create_task(
                disruption.stop_during_takeovers()))
        ends_at = time.monotonic() + plan.seconds
        await asyncio.gather(*(each.call_until(ends_at) for each in callers))
        await asyncio.sleep(_DRAIN_SECONDS)
        for each in tasks:
            if each.done():
                await each
    finally:
        for each in tasks:
            each.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for vm in vms:
            vm.kill()
        for each in servers:
            each.close()
    return _judge([run for each in endpoints for run in each.runs],
                  [each for caller in callers for each in caller.outcomes],
                  disruption.disturbances)


def _judge(runs, outcomes, disturbances):
    breaches = [
        f"TWICE: {each} may run once and ran again"
        for each in checks.find_repeated_runs(runs)
    ]
    breaches += [
        f"TWICE: two endpoints worked on {stream_id} for {overlap:.3f} s" for
        stream_id, overlap in checks.find_overlaps(runs, outcomes, disturbances)
    ]
    breaches += [
        f"REFUSED: {each} ran"
        for each in checks.find_broken_promises(runs, outcomes)
    ]
    breaches += [
        f"{each} waited without an endpoint"
        for each in checks.find_waiting_requests(runs, outcomes, disturbances)
    ]
    breaches += [
        f"ORDER: {each}" for each in checks.find_disordered_streams(outcomes)
    ]
    counts = collections.Counter(run.attempt_id for run in runs)
    return Verdict(tuple(breaches), len(outcomes), len(runs),
                   sum(count > 1 for count in counts.values()))


def _find_begin(run):
    return run.began_at
