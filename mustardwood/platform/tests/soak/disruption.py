"""Disruptions of VMs, endpoints, links and the store."""

import asyncio
import collections
import time

from mustardwood.platform.tests.soak import checks

_POLL_SECONDS = 0.005
_MAX_PAUSE_SECONDS = 1.0
_MAX_FAULT_PAUSE_SECONDS = 3.0
_MIN_STOP_SECONDS, _MAX_STOP_SECONDS = 0.05, 2.0
_MAX_LINK_DELAY_SECONDS = 0.1
_CHANGES_IN_SERIES = 24
_CHANGE_INTERVAL_SECONDS = 0.05
_MIN_CHANGE_PAUSE_SECONDS, _MAX_CHANGE_PAUSE_SECONDS = 6.0, 1.0
"""Pauses between changes, of which the first is never shorter."""
_MIN_CUT_SECONDS, _MAX_CUT_SECONDS = 4.0, 6.0
"""Duration of a cut, of which the first seconds are not judged."""


class Disruption:
    """Disturbs the parts of a run in series, which overlap.

    Attributes:
        disturbances: Tuples of the name of a VM or an endpoint and the
            monotonic times at which a disturbance began and ended.
        cuts: Tuples of the names of the VMs that were cut from all endpoints
            and the monotonic times at which that began and ended.
    """

    def __init__(self, plan, vms, endpoints, links, paths, store, source,
                 changes, build):
        """Creates the disruption of a run.

        Args:
            plan: The plan of the run.
            vms: The VMs.
            endpoints: The endpoints.
            links: Links to VMs by the names of these, if there are any.
            paths: Paths of the VMs to be cut to the endpoints.
            store: The store.
            source: Source of random numbers.
            changes: Adds routes to the configuration.
            build: Folder with another build that VMs may run after a restart;
                None for none.
        """
        self._changes = changes
        self._build = build
        self._plan = plan
        self._vms = vms
        self._endpoints = endpoints
        self._links = links
        self._store = store
        self._random = source
        self._last_restart = asyncio.Lock()
        self._paths = paths
        self.disturbances = []
        self.cuts = []

    def list_series(self):
        """Returns the coroutines that disturb the run until cancelled."""
        series = []
        if self._plan.has_signals:
            series += [
                self._repeat(_MAX_PAUSE_SECONDS, self._disturb_vm, each)
                for each in self._vms
            ]
        if self._plan.has_relay_restarts:
            series += [
                self._repeat(_MAX_FAULT_PAUSE_SECONDS, self._restart_vm, each)
                for each in self._vms[self._plan.cut_vms:]
            ]
        if self._plan.has_link_faults:
            series.append(
                self._repeat(_MAX_FAULT_PAUSE_SECONDS, self._disturb_store))
            series += [
                self._repeat(_MAX_FAULT_PAUSE_SECONDS, self._disturb_link, name,
                             link) for name, link in self._links.items()
            ]
            series += [
                self._repeat(_MAX_FAULT_PAUSE_SECONDS, self._disturb_endpoint,
                             each) for each in self._endpoints
            ]
        if self._paths:
            series.append(self._repeat(_MAX_PAUSE_SECONDS, self._cut_vms))
        if self._plan.has_changes:
            series.append(
                self._repeat(_MAX_CHANGE_PAUSE_SECONDS, self._add_routes))
        if self._plan.takeover_stop_seconds:
            series.append(self._stop_during_takeovers())
        return series

    async def _repeat(self, max_pause, disturb, *arguments):
        while True:
            await asyncio.sleep(self._random.uniform(0, max_pause))
            await disturb(*arguments)

    async def _disturb_vm(self, vm):
        kind = self._random.choice(
            ("stop", "stop", "stop", "reload", "restart", "kill"))
        began_at = time.monotonic()
        if kind == "stop":
            await self._suspend(vm)
        elif kind == "reload":
            vm.reload()
        else:
            await self._restart(vm, kind)
        self._record(vm.name, began_at)

    async def _restart_vm(self, vm):
        began_at = time.monotonic()
        await self._restart(vm, self._random.choice(("restart", "kill")))
        self._record(vm.name, began_at)

    async def _restart(self, vm, kind):
        # One VM is left at any time.
        async with self._last_restart:
            if self._build is not None:
                vm.source = self._random.choice((None, self._build))
            if kind == "kill":
                vm.kill()
                await asyncio.to_thread(vm.start)
            else:
                await asyncio.to_thread(vm.restart)

    async def _add_routes(self):
        for _ in range(self._random.choice((1, _CHANGES_IN_SERIES))):
            await asyncio.to_thread(self._changes.add)
            await asyncio.sleep(_CHANGE_INTERVAL_SECONDS)
        # The newest route has to be served before the next changes.
        await asyncio.sleep(_MIN_CHANGE_PAUSE_SECONDS)

    async def _cut_vms(self):
        how = self._random.choice(("refused", "reset", "silent"))
        names = frozenset(each.name for each in self._vms[:self._plan.cut_vms])
        began_at = time.monotonic()
        for each in self._paths:
            each.cut(how)
        try:
            await asyncio.sleep(
                self._random.uniform(_MIN_CUT_SECONDS, _MAX_CUT_SECONDS))
        finally:
            for each in self._paths:
                each.mend()
        self.cuts.append((names, began_at, time.monotonic()))
        for each in names:
            self._record(each, began_at)

    async def _disturb_endpoint(self, endpoint):
        name, began_at = endpoint.name, time.monotonic()
        kind = self._random.choice(("link", "link", "stop", "restart"))
        if kind == "link":
            await self._disturb_link(name, endpoint.link)
        elif kind == "stop":
            await self._suspend(endpoint)
        else:
            await endpoint.restart(self._random.uniform(0, 1),
                                   self._random.random() < 0.5)
            self._record(endpoint.name, began_at)
        self._record(name, began_at)

    async def _disturb_link(self, name, link):
        began_at = time.monotonic()
        kind = self._random.choice(
            ("delay", "reset", "silence", "cut", "cut", "cut both"))
        if kind == "reset":
            link.reset()
        elif kind == "silence":
            link.silence()
        elif kind == "delay":
            link.delay_seconds = self._random.uniform(0,
                                                      _MAX_LINK_DELAY_SECONDS)
        else:
            is_to_target = self._random.random() < 0.5
            link.cut(is_to_target)
            if kind == "cut both":
                link.cut(not is_to_target)
        try:
            await asyncio.sleep(self._draw_stop())
        finally:
            link.mend()
            link.delay_seconds = 0.0
        self._record(name, began_at)

    async def _disturb_store(self):
        began_at = time.monotonic()
        kind = self._random.choice(("away", "cut", "silence", "restore"))
        if kind == "cut":
            self._store.cut_watches()
        elif kind == "silence":
            self._store.silence_connections()
        elif kind == "restore":
            copy = self._store.copy()
            await asyncio.sleep(self._draw_stop())
            registrations = {
                each.name: self._store.find(f"servers/{each.name}")
                for each in self._endpoints
            }
            await asyncio.to_thread(self._store.restore, copy)
            self._write_again(registrations)
        else:
            self._store.is_unavailable = True
            try:
                await asyncio.sleep(self._draw_stop())
            finally:
                self._store.is_unavailable = False
        self._record(checks.STORE, began_at)

    def _write_again(self, registrations):
        """Lets endpoints and the operator write again what the store lost."""
        self._changes.write_again()
        for endpoint in self._endpoints:
            if registrations.get(endpoint.name) is not None:
                endpoint.register()

    async def _stop_during_takeovers(self):
        """Stops the VMs just after a second endpoint has begun a stream."""
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

    async def _suspend(self, process, seconds=None):
        process.suspend()
        try:
            await asyncio.sleep(self._draw_stop() if seconds is
                                None else seconds)
        finally:
            process.resume()

    def _draw_stop(self):
        return self._random.uniform(_MIN_STOP_SECONDS, _MAX_STOP_SECONDS)

    def _record(self, name, began_at):
        self.disturbances.append((name, began_at, time.monotonic()))


def _find_begin(run):
    return run.began_at
