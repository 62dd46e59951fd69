"""Tests of responses that come through another VM, with real processes."""

import contextlib
import http.client
import signal
import threading
import time

import pytest

from mustardwood.platform import store_watcher
from mustardwood.platform.tests import cut_path
from mustardwood.platform.tests import documents
from mustardwood.platform.tests import earlier_builds
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

pytestmark = pytest.mark.processes

_BUILD_WITHOUT_CHUNKS = "aad01d3"
"""Commit of a build whose tunnels end like the process that relays them."""
_STREAMS = 16
_EVENTS = 45
_EVENT_MS = 100
_WHOLE = b"".join(
    fake_servers.make_event(each) for each in range(1, _EVENTS + 1))
_CUTS = 4
_BATCHES, _BATCH_SIZE = 9, 10
_MANY_TUNNELS = 300
"""Number of tunnels; a VM bears 256 at the same time."""


def _make_store(servers):
    store = fake_servers.FakeStore()
    store.put("op/config", documents.make_document())
    for number, each in enumerate(servers):
        store.put(
            f"servers/engine-{number}",
            documents.make_registration(service="engine",
                                        slots=64,
                                        address=each.address))
    return store


def _find_source(commit, folder):
    if commit is None:
        return None
    source = None
    try:
        source = earlier_builds.extract_build(commit, folder / commit)
    except earlier_builds.BuildError as error:
        pytest.skip(str(error))
    return source


def _read_stream(vm, number, responses, events=_EVENTS, interval_ms=_EVENT_MS):
    """Records the body of a stream and whether it was complete."""
    connection = http.client.HTTPConnection("127.0.0.1", vm.callers, timeout=20)
    body, is_complete = b"", False
    with contextlib.suppress(OSError, http.client.HTTPException):
        connection.request(
            "POST", f"/stream/{events}/{interval_ms}", b"body", {
                "Host": documents.HOST,
                "Mustardwood-Attempt-Id": f"stream-{number}",
                "Authorization": "Bearer key-3"
            })
        response = connection.getresponse()
        if response.status == 200:
            with contextlib.suppress(http.client.IncompleteRead):
                while data := response.read1():
                    body += data
                is_complete = True
    connection.close()
    responses.append((body, is_complete))


def _read_batch(vm, name, responses):
    """Reads streams of one event at the same time."""
    threads = [
        threading.Thread(target=_read_stream,
                         args=(vm, f"{name}-{number}", responses, 1, 0))
        for number in range(_BATCH_SIZE)
    ]
    for each in threads:
        each.start()
    for each in threads:
        each.join()


class _Fleet:
    """An entry VM, cut from the endpoints, and one that relays for it.

    Attributes:
        entry: The VM that is cut.
        relay: The other one.
    """

    def __init__(self,
                 folder,
                 entry_build=None,
                 relay_build=None,
                 idle_seconds=None):
        endpoints = [fake_servers.FakeEndpoint() for _ in range(3)]
        for each in endpoints:
            each.is_unframed = idle_seconds is None
            each.idle_seconds = idle_seconds
        self._paths = [cut_path.CutPath(each.address) for each in endpoints]
        stores = [_make_store(self._paths), _make_store(endpoints)]
        self.entry = process_fleet.Vm(folder,
                                      "entry",
                                      stores[0],
                                      source=_find_source(entry_build, folder))
        self.relay = process_fleet.Vm(folder,
                                      "relay",
                                      stores[1],
                                      source=_find_source(relay_build, folder))
        for store in stores:
            for vm in (self.entry, self.relay):
                store.put(store_watcher.VM_PREFIX + vm.name,
                          vm.peer_address.encode())

    def start(self):
        """Starts the VMs and cuts the first one."""
        self.entry.start()
        self.relay.start()
        self.cut()

    def cut(self):
        """Cuts the first VM and waits until it knows that."""
        for each in self._paths:
            each.cut("reset")
        time.sleep(2.0)

    def mend(self):
        """Ends the cut and waits until the first VM uses its own path."""
        for each in self._paths:
            each.mend()
        time.sleep(1.0)

    def close(self):
        """Ends the VMs."""
        self.entry.kill()
        self.relay.kill()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize("entry_build, relay_build",
                         [(None, None), (_BUILD_WITHOUT_CHUNKS, None),
                          (None, _BUILD_WITHOUT_CHUNKS)])
def test_responses_cut_off_by_the_end_of_a_relaying_vm_look_incomplete(
        tmp_path, entry_build, relay_build, number):
    # The responses have no length, and the system closes the connections of
    # the process that relays them.
    fleet = _Fleet(tmp_path, entry_build, relay_build)
    responses, threads = [], []
    try:
        fleet.start()
        for each in range(_STREAMS):
            threads.append(
                threading.Thread(target=_read_stream,
                                 args=(fleet.entry, each, responses)))
            threads[-1].start()
            time.sleep(0.03)
        fleet.relay.send_signal(number)
        for each in threads:
            each.join()
    finally:
        fleet.close()
    assert sum(b"id: 2" in body for body, _ in responses) > _STREAMS / 2
    assert not [
        body for body, is_complete in responses
        if is_complete and body != _WHOLE
    ]


def test_planned_stop_of_a_relaying_vm_waits_for_the_responses(tmp_path):
    # It has no callers of its own, and exited under the other VM's responses.
    fleet = _Fleet(tmp_path)
    responses, threads = [], []
    try:
        fleet.start()
        for each in range(_STREAMS):
            threads.append(
                threading.Thread(target=_read_stream,
                                 args=(fleet.entry, each, responses)))
            threads[-1].start()
        time.sleep(0.5)
        fleet.relay.stop()
        for each in threads:
            each.join()
        assert fleet.relay.wait() == 0
    finally:
        fleet.close()
    assert responses == [(_WHOLE, True)] * _STREAMS


def test_tunnels_that_endpoints_closed_are_free_again(tmp_path):
    # After 256 of them all requests of VMs that are cut failed.
    fleet = _Fleet(tmp_path)
    responses = []
    try:
        fleet.start()
        for each in range(_MANY_TUNNELS):
            _read_stream(fleet.entry, each, responses, events=1, interval_ms=0)
    finally:
        fleet.close()
    assert sum(is_complete for _, is_complete in responses) == _MANY_TUNNELS


@pytest.mark.parametrize("idle_seconds", [None, 0.2])
def test_vm_that_is_cut_again_and_again_is_served_as_often(
        tmp_path, idle_seconds):
    # Endpoints end each tunnel, with a stream or when it is idle, and after 256
    # of them no more were opened.
    fleet = _Fleet(tmp_path, idle_seconds=idle_seconds)
    served = []
    try:
        fleet.start()
        for number in range(_CUTS):
            if number:
                fleet.cut()
            responses = []
            for batch in range(_BATCHES):
                _read_batch(fleet.entry, f"{number}-{batch}", responses)
                time.sleep(0.0 if idle_seconds is None else 2 * idle_seconds)
            served.append(
                sum(is_complete and body == fake_servers.make_event(1)
                    for body, is_complete in responses))
            fleet.mend()
    finally:
        fleet.close()
    print(served)
    assert min(served) >= 0.98 * _BATCHES * _BATCH_SIZE
