"""Tests of configurations that take a VM's link long to carry."""

import threading
import time

import pytest

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet
from mustardwood.platform.tests import rated_link

pytestmark = pytest.mark.processes

_APPLY_SECONDS = 3.0
"""Time in which a change takes effect, as the deployment with such links has
it."""
_ROUTES = 1400
_LINK_MEGABITS = 10.0
_CALL_SECONDS = 0.1


def _make_document(changes):
    """Returns a configuration with many routes, and one for each change."""
    document = documents.make_document()
    names = [f"big-{number}" for number in range(_ROUTES)]
    names += [f"new-{number}" for number in range(1, changes + 1)]
    document["version"] += changes
    document["routes"] += [{
        **document["routes"][2], "name": name,
        "path_prefix": f"/open/{name}/",
        "anonymous": False
    } for name in names]
    return document


class _Fleet:
    """VMs behind slow links to one store.

    Attributes:
        store: The store.
        endpoints: Two endpoints of one service.
        outcomes: What callers got, each with the time at which it was sent, the
            VM's number and the number of the newest change.
    """

    def __init__(self, folder, vm_count):
        self.store = fake_servers.FakeStore()
        self._acknowledged = 0
        self.store.put("op/config", _make_document(0))
        self.endpoints = [fake_servers.FakeEndpoint() for _ in range(2)]
        for number, each in enumerate(self.endpoints):
            self.store.put(f"servers/api-{number}",
                           documents.make_registration(address=each.address))
        self.links = [
            rated_link.RatedLink(self.store.address, _LINK_MEGABITS)
            for _ in range(vm_count)
        ]
        self.vms = [
            process_fleet.Vm(folder, f"vm-{number}", link)
            for number, link in enumerate(self.links)
        ]
        self.outcomes = []
        self._stop = threading.Event()
        self._threads = []

    def start(self):
        """Starts the VMs and a caller at each."""
        for each in self.vms:
            each.start()
        for number in range(len(self.vms)):
            self._threads.append(
                threading.Thread(target=self._call, args=(number,)))
            self._threads[-1].start()

    def change(self):
        """Adds a route."""
        self.store.put("op/config", _make_document(self._acknowledged + 1))
        self._acknowledged += 1

    def close(self):
        """Ends the callers and the VMs."""
        self._stop.set()
        for each in self._threads:
            each.join()
        for each in self.vms:
            each.kill()

    def find_statuses(self, since, change):
        """Returns the statuses of requests for the route of a change.

        Args:
            since (float): Monotonic time from which they were sent.
            change (int): Number of the change.
        """
        return [[
            status
            for at, vm, newest, status in self.outcomes
            if at >= since and (vm, newest) == (number, change)
        ]
                for number in range(len(self.vms))]

    def _call(self, number):
        count = 0
        while not self._stop.wait(_CALL_SECONDS):
            count += 1
            newest = self._acknowledged
            path = f"/open/new-{newest}/0" if newest else "/open/0"
            sent_at = time.monotonic()
            try:
                caller = process_fleet.Caller(self.vms[number],
                                              f"caller-{number}-{count}")
            except OSError:
                continue
            self.outcomes.append(
                (sent_at, number, newest, caller.call(path).status))
            caller.close()


@pytest.mark.parametrize("changes, interval_seconds", [(12, 0.33), (24, 0.05)])
def test_changes_in_quick_succession_take_effect_over_slow_links(
        tmp_path, changes, interval_seconds):
    fleet = _Fleet(tmp_path, vm_count=1)
    try:
        fleet.start()
        for _ in range(changes):
            fleet.change()
            time.sleep(interval_seconds)
        since = time.monotonic() + _APPLY_SECONDS
        time.sleep(_APPLY_SECONDS + 5.0)
    finally:
        fleet.close()
    for statuses in fleet.find_statuses(since, changes):
        assert len(statuses) > 5
        assert set(statuses) == {200}


def test_endpoint_that_leaves_after_many_changes_gets_no_late_request(tmp_path):
    # Its removal came after all versions of the configuration over the link.
    fleet = _Fleet(tmp_path, vm_count=1)
    try:
        fleet.start()
        time.sleep(1.0)
        for _ in range(24):
            fleet.change()
            time.sleep(0.05)
        left_at = fleet.store.remove("servers/api-0")
        time.sleep(process_fleet.DRAIN_SECONDS + 4.0)
    finally:
        fleet.close()
    assert fleet.endpoints[0].arrivals
    assert not process_fleet.find_late_arrivals(fleet.endpoints[0], left_at)


def test_changes_take_effect_after_an_outage_and_a_restart_of_all_vms(tmp_path):
    # All VMs read all keys at the same time, while callers ask for new routes.
    fleet = _Fleet(tmp_path, vm_count=3)
    try:
        fleet.start()
        for _ in range(3):
            fleet.change()
        fleet.store.is_unavailable = True
        time.sleep(3.0)
        for each in fleet.vms:
            each.kill()
        fleet.store.is_unavailable = False
        fleet.change()
        for each in fleet.vms:
            each.start()
        for _ in range(3):
            fleet.change()
            time.sleep(0.33)
        since = time.monotonic() + _APPLY_SECONDS
        time.sleep(_APPLY_SECONDS + 4.0)
    finally:
        fleet.close()
    for statuses in fleet.find_statuses(since, 7):
        assert len(statuses) > 5
        assert set(statuses) == {200}
