"""Tests of VMs that are cut from all endpoints, with real processes."""

import threading
import time

import pytest

from mustardwood.platform import store_watcher
from mustardwood.platform.tests import cut_path
from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

pytestmark = pytest.mark.processes

_MIN_SHARE = 2 / 3
"""Share of the requests served at the other VMs that a cut VM has to serve."""
_INTERVAL_SECONDS = 0.1


class _Fleet:
    """Two VMs, the first of which reaches the endpoints by paths of its own.

    Attributes:
        vms: The VMs.
        paths: The paths of the first one.
    """

    def __init__(self, folder):
        endpoints = [fake_servers.FakeEndpoint() for _ in range(3)]
        self.paths = [cut_path.CutPath(each.address) for each in endpoints]
        stores = [_make_store(self.paths), _make_store(endpoints)]
        self.vms = [
            process_fleet.Vm(folder, f"vm-{number}", store)
            for number, store in enumerate(stores)
        ]
        for store in stores:
            for each in self.vms:
                store.put(store_watcher.VM_PREFIX + each.name,
                          each.peer_address.encode())
        for each in self.vms:
            each.start()
        self._stop = threading.Event()
        self._threads = []
        self.first_tries = [[], []]

    def start_callers(self):
        """Starts to send requests to both VMs, on new and kept connections."""
        for number, vm in enumerate(self.vms):
            thread = threading.Thread(target=self._call, args=(number, vm))
            thread.start()
            self._threads.append(thread)

    def close(self):
        """Ends the callers and the VMs."""
        self._stop.set()
        for each in self._threads:
            each.join()
        for each in self.vms:
            each.kill()

    def count_served(self, number, since):
        """Returns the numbers of served and of all first tries at a VM."""
        tries = [each for at, each in self.first_tries[number] if at >= since]
        return sum(each.status == 200 for each in tries), len(tries)

    def _call(self, number, vm):
        kept = process_fleet.Caller(vm, f"kept-{number}")
        count = 0
        while not self._stop.wait(_INTERVAL_SECONDS):
            count += 1
            for path in ("/post/0", "/open/0"):
                fresh = process_fleet.Caller(vm, f"new-{number}-{path}-{count}")
                for caller in (kept, fresh):
                    sent_at = time.monotonic()
                    self.first_tries[number].append(
                        (sent_at, caller.call(path)))
                fresh.close()
            if not kept.may_reuse:
                kept.close()
                kept = process_fleet.Caller(vm, f"kept-{number}-{count}")
        kept.close()


def _make_store(servers):
    store = fake_servers.FakeStore()
    document = documents.make_document()
    document["routes"][1]["backends"] = [{"service": "api", "weight": 1}]
    store.put("op/config", document)
    for number, each in enumerate(servers):
        store.put(f"servers/api-{number}",
                  documents.make_registration(address=each.address))
    return store


@pytest.mark.parametrize("how", ["refused", "reset", "silent"])
def test_vm_cut_from_all_endpoints_serves_its_callers(tmp_path, how):
    fleet = _Fleet(tmp_path)
    try:
        fleet.start_callers()
        time.sleep(1.0)
        for each in fleet.paths:
            each.cut(how)
        since = time.monotonic() + process_fleet.CONTACT_SECONDS
        time.sleep(process_fleet.CONTACT_SECONDS + 2.0)
        cut_served, cut_sent = fleet.count_served(0, since)
        served, sent = fleet.count_served(1, since)
    finally:
        fleet.close()
    assert sent > 20
    assert cut_sent > 10
    assert cut_served / cut_sent >= _MIN_SHARE * served / sent


def test_vm_uses_its_own_path_again_when_it_is_mended(tmp_path):
    fleet = _Fleet(tmp_path)
    try:
        fleet.start_callers()
        for each in fleet.paths:
            each.cut("reset")
        time.sleep(2.0)
        for each in fleet.paths:
            each.mend()
        since = time.monotonic() + process_fleet.CONTACT_SECONDS
        time.sleep(process_fleet.CONTACT_SECONDS + 2.0)
        served, sent = fleet.count_served(0, since)
    finally:
        fleet.close()
    assert served == sent > 20
