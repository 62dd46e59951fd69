"""One run of VMs under disruptions that a seed decides."""

import asyncio
import base64
import collections
import dataclasses
import json
import pathlib
import random
import time

from mustardwood.platform import store_watcher
from mustardwood.platform.tests import cut_path
from mustardwood.platform.tests import documents
from mustardwood.platform.tests import earlier_builds
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet
from mustardwood.platform.tests import rated_link
from mustardwood.platform.tests.soak import caller as caller_module
from mustardwood.platform.tests.soak import checks
from mustardwood.platform.tests.soak import disruption as disruption_module
from mustardwood.platform.tests.soak import endpoint as endpoint_module
from mustardwood.platform.tests.soak import endpoint_process
from mustardwood.platform.tests.soak import links
from mustardwood.platform.tests.soak import plants
from mustardwood.platform.tests.soak import route_changes

_DRAIN_SECONDS = 3.0
"""Time after which VMs have aborted the requests of callers that have left."""
_API_ENDPOINTS = 3
_CANCEL_SECONDS = 1.0
"""Time after which a task that goes on is cancelled again."""


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
        has_link_faults: Whether endpoints are processes behind links, and
            these, the links to VMs and the store are disturbed.
        takeover_stop_seconds: Time for which a VM stands still whenever a
            second endpoint has begun one of its streams; 0 for none.
        takeover_delay_seconds: Time from that beginning to the stop.
        close_seconds: Time for which endpoints work on after the connection of
            a request has closed.
        has_impatient_callers: Whether callers resume silent streams elsewhere.
        copied_refusals: Probability that an endpoint refuses a request and
            sends a copy of the refusal later.
        has_repeating_callers: Whether callers send refused requests again at
            once, under the same id.
        cut_vms: Number of VMs that are cut from all endpoints again and again;
            these can't be behind links.
        unframed: Probability that a stream ends with its connection, without a
            length or chunks.
        has_relay_restarts: Whether the VMs that are not cut are restarted and
            killed, one at a time.
        has_changes: Whether routes are added to the configuration, many in
            quick succession.
        store_megabits: Rate in Mbit/s of the link from the store to each VM,
            with which the configuration is large; 0 for no limit.
        build: Commit of another build, which every second VM runs at first and
            VMs may run after a restart; empty for none.
        plant: Name of the fault that is planted into the VMs of this build; see
            `plants`.
    """

    seed: int
    seconds: float = 20.0
    vms: int = 3
    callers: int = 40
    engines: int = 4
    misbehavior: float = 0.2
    has_signals: bool = False
    has_link_faults: bool = False
    takeover_stop_seconds: float = 0.0
    takeover_delay_seconds: float = 0.0
    close_seconds: float = 0.0
    has_impatient_callers: bool = False
    copied_refusals: float = 0.0
    has_repeating_callers: bool = False
    cut_vms: int = 0
    unframed: float = 0.0
    has_relay_restarts: bool = False
    has_changes: bool = False
    store_megabits: float = 0.0
    build: str = ""
    plant: str = ""


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What the checks of a run have found.

    Attributes:
        breaches: Names of the broken rules with the requests, a line each.
        requests: Number of requests.
        sent: Number of requests that an endpoint has begun to run.
        runs: Number of runs at endpoints.
        takeovers: Number of streams that a second endpoint has continued.
    """

    breaches: tuple[str, ...]
    requests: int
    sent: int
    runs: int
    takeovers: int


class _Fleet:
    """The VMs, endpoints, links and callers of a run."""

    def __init__(self, plan, folder):
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._folder = folder
        self._servers = []
        self._links = {}
        self._paths = []
        self.store = fake_servers.FakeStore()
        self._cut_store = (fake_servers.FakeStore()
                           if plan.cut_vms else self.store)
        self.changes = route_changes.RouteChanges({self.store, self._cut_store},
                                                  _make_document(),
                                                  bool(plan.store_megabits))
        command = (plants.__name__, plan.plant) if plan.plant else None
        self._build = (earlier_builds.extract_build(
            plan.build, folder / "build") if plan.build else None)
        self.vms = [
            process_fleet.Vm(folder, f"vm-{number}", self._find_store(number),
                             "", command, self._build if number % 2 else None)
            for number in range(plan.vms)
        ]
        services = ["engine"] * plan.engines + ["api"] * _API_ENDPOINTS
        if plan.has_link_faults:
            self.endpoints = [
                endpoint_process.EndpointProcess(plan, self.store, service,
                                                 folder, number)
                for number, service in enumerate(services)
            ]
        else:
            self.endpoints = [
                endpoint_module.Endpoint(self.store,
                                         service,
                                         self._random,
                                         plan.misbehavior,
                                         close_seconds=plan.close_seconds,
                                         copied_refusals=plan.copied_refusals,
                                         unframed=plan.unframed)
                for service in services
            ]
        self.callers = []
        self.disruption = None

    async def start(self):
        """Starts the processes and the links."""
        if self._plan.has_link_faults:
            await asyncio.gather(
                *(each.start(self._make_link) for each in self.endpoints))
            for vm in self.vms:
                self._links[vm.name] = await self._make_link(vm.callers)
        else:
            self._servers += [await each.start() for each in self.endpoints]
        if self._plan.cut_vms:
            self._open_paths()
        ports = {name: link.port for name, link in self._links.items()}
        self.callers = [
            caller_module.Caller(f"caller-{number}", self.vms,
                                 random.Random(self._random.random()), ports,
                                 self._plan.has_impatient_callers,
                                 self._plan.has_repeating_callers, self.changes)
            for number in range(self._plan.callers)
        ]
        self.disruption = disruption_module.Disruption(
            self._plan, self.vms, self.endpoints,
            self._links, self._paths, self.store,
            random.Random(self._random.random()), self.changes, self._build)
        await asyncio.gather(*(asyncio.to_thread(vm.start) for vm in self.vms))

    def _find_store(self, number):
        """Returns the store of a VM, or the link that leads to it."""
        store = (self._cut_store if number < self._plan.cut_vms else self.store)
        if not self._plan.store_megabits:
            return store
        return rated_link.RatedLink(store.address, self._plan.store_megabits)

    def _open_paths(self):
        """Registers the endpoints with the VMs to be cut, behind paths."""
        for each in self.endpoints:
            entry = json.loads(
                base64.b64decode(
                    self.store.find(f"servers/{each.name}")["value"]))
            path = cut_path.CutPath(entry["address"])
            self._paths.append(path)
            self._cut_store.put(f"servers/{each.name}", {
                **entry, "address": path.address
            })
        for store in (self.store, self._cut_store):
            for vm in self.vms:
                store.put(store_watcher.VM_PREFIX + vm.name,
                          vm.peer_address.encode())

    def stop(self):
        """Ends the processes and the links."""
        for vm in self.vms:
            vm.kill()
        if self._plan.has_link_faults:
            for each in self.endpoints:
                each.kill()
        for each in self._servers:
            each.close()

    def list_runs(self):
        """Returns the runs of all endpoints."""
        if self._plan.has_link_faults:
            return [run for each in self.endpoints for run in each.read_runs()]
        return [run for each in self.endpoints for run in each.runs]

    async def _make_link(self, port):
        link = links.Link(port)
        await link.start()
        self._servers.append(link)
        return link


def _make_document():
    """Returns a configuration."""
    document = documents.make_document()
    document["routes"][1].pop("backends")
    document["routes"][1]["service"] = "api"
    return document


async def play(plan: Plan, folder: pathlib.Path) -> Verdict:
    """Plays a run and returns its verdict.

    Args:
        plan: Size and disruptions.
        folder: Folder for settings and logs of the VMs.

    Raises:
        earlier_builds.BuildError: The plan's build can't be used.
    """
    fleet = _Fleet(plan, folder)
    tasks = []
    try:
        await fleet.start()
        disruption = fleet.disruption
        tasks += [
            asyncio.create_task(each) for each in disruption.list_series()
        ]
        ends_at = time.monotonic() + plan.seconds
        await asyncio.gather(
            *(each.call_until(ends_at) for each in fleet.callers))
        await asyncio.sleep(_DRAIN_SECONDS)
        for each in tasks:
            if each.done():
                await each
    finally:
        await _cancel(tasks)
        fleet.stop()
    return _judge(
        fleet.list_runs(),
        [each for caller in fleet.callers for each in caller.outcomes],
        disruption.disturbances, disruption.cuts)


async def _cancel(tasks):
    """Cancels tasks until all have ended.

    `asyncio.wait_for` may drop a cancellation that comes just when what it
    waits for ends.
    """
    while pending := [each for each in tasks if not each.done()]:
        for each in pending:
            each.cancel()
        await asyncio.wait(pending, timeout=_CANCEL_SECONDS)


def _judge(runs, outcomes, disturbances, cuts):
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
    breaches += [
        f"MIXED: {each} ended early and looks complete"
        for each in checks.find_cut_off_streams(runs, outcomes)
    ]
    breaches += [
        f"RECOVER: {each}"
        for each in checks.find_unserved_cuts(outcomes, cuts)
    ]
    breaches += [
        f"CONFIG: {each}"
        for each in checks.find_unapplied_changes(outcomes, disturbances)
    ]
    counts = collections.Counter(run.attempt_id for run in runs)
    return Verdict(tuple(breaches), len(outcomes), len(counts), len(runs),
                   sum(count > 1 for count in counts.values()))
