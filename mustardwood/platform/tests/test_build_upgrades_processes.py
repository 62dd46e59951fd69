"""Tests of VMs of two builds side by side, with real processes."""

import http.client
import random
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

_EARLIER_BUILDS = ("aad01d3", "97eff80")
"""The last two landings, the second of which has no tunnels."""
_VMS = 3
_CALLERS = 6
_PAUSE_SECONDS = 0.05
_REQUESTS = (("/post/{}", "key-1"), ("/open/{}", "key-1"),
             ("/stream/8/{}", "key-3"), ("/stream/2/300", "key-3"))


def _extract(commit, folder):
    source = None
    try:
        source = earlier_builds.extract_build(commit, folder / commit)
    except earlier_builds.BuildError as error:
        pytest.skip(str(error))
    return source


class _Fleet:
    """VMs, all of an earlier build at first, and callers of all kinds.

    Attributes:
        vms: The VMs.
        endpoints: The endpoints of both services.
        outcomes: The outcomes of all requests.
    """

    def __init__(self, folder, source):
        self._source = source
        self._document = documents.make_document()
        self._document["routes"][1]["backends"] = [{
            "service": "api",
            "weight": 1
        }]
        self._store = fake_servers.FakeStore()
        self._store.put("op/config", self._document)
        self.endpoints = []
        for number, service in enumerate(("api", "api", "engine", "engine")):
            self.endpoints.append(fake_servers.FakeEndpoint())
            self._store.put(
                f"servers/i-{number}",
                documents.make_registration(service=service,
                                            slots=64,
                                            address=self.endpoints[-1].address))
        self.vms = [
            process_fleet.Vm(folder, f"vm-{number}", self._store, source=source)
            for number in range(_VMS)
        ]
        self.outcomes = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(_CALLERS)
        ]

    def start(self):
        """Starts the VMs and the callers."""
        for each in self.vms:
            each.start()
        for each in self._threads:
            each.start()

    def close(self):
        """Ends the callers and the VMs."""
        self._stop.set()
        for each in self._threads:
            if each.ident is not None:
                each.join()
        for each in self.vms:
            each.kill()

    def replace_vms(self, source):
        """Replaces one VM after the other, with a change for each."""
        for each in self.vms:
            each.source = source
            each.restart()
            self._document["version"] += 1
            self._store.put("op/config", self._document)

    def resume_elsewhere(self, first, second):
        """Reads a part of a stream at one VM and the rest at another.

        Returns the body of both parts.
        """
        body = b""
        for vm, attempt, headers in ((first, "begun", {}), (second, "resumed", {
                "Last-Event-Id": "3",
                "Resumes": "begun"
        })):
            connection = http.client.HTTPConnection("127.0.0.1",
                                                    vm.callers,
                                                    timeout=20)
            connection.request(
                "POST", "/stream/9/100", b"body", {
                    "Host": documents.HOST,
                    "Mustardwood-Attempt-Id": attempt,
                    "Authorization": "Bearer key-3",
                    **headers
                })
            response = connection.getresponse()
            assert response.status == 200
            part = b""
            while part.count(b"\n\n") < (6 if headers else 3):
                part += response.read1()
            body += part
            connection.close()
        return body

    def _call(self, number):
        rng = random.Random(number)
        count = 0
        while not self._stop.is_set():
            vms = [each for each in self.vms if each.is_in_service]
            count += 1
            try:
                caller = process_fleet.Caller(rng.choice(vms),
                                              f"caller-{number}-{count}")
            except OSError:
                continue
            for _ in range(rng.randrange(1, 10)):
                path, key = rng.choice(_REQUESTS)
                self.outcomes.append(
                    caller.call(path.format(rng.randrange(50)), key))
                self._stop.wait(rng.uniform(0, 2 * _PAUSE_SECONDS))
                if not caller.may_reuse:
                    break
            caller.close()


@pytest.mark.parametrize("commit", _EARLIER_BUILDS)
def test_vms_are_replaced_by_another_build_and_back_without_a_lost_request(
        tmp_path, commit):
    earlier = _extract(commit, tmp_path)
    fleet = _Fleet(tmp_path, earlier)
    try:
        fleet.start()
        time.sleep(1.0)
        for source in (None, earlier):
            fleet.replace_vms(source)
    finally:
        fleet.close()
    assert len(fleet.outcomes) > 200
    assert not process_fleet.find_lost_requests(fleet.outcomes, fleet.endpoints)
    assert {each.status for each in fleet.outcomes if each.is_complete} == {200}
    for each in fleet.vms:
        assert not each.find_events("error")


@pytest.mark.parametrize("commit", _EARLIER_BUILDS)
def test_stream_is_resumed_at_a_vm_of_another_build(tmp_path, commit):
    earlier = _extract(commit, tmp_path)
    fleet = _Fleet(tmp_path, earlier)
    whole = b"".join(fake_servers.make_event(each) for each in range(1, 10))
    try:
        fleet.vms[1].source = None
        for each in fleet.vms[:2]:
            each.start()
        # The VMs hear of each other.
        time.sleep(1.5)
        assert fleet.resume_elsewhere(*fleet.vms[:2]) == whole
    finally:
        for each in fleet.vms[:2]:
            each.kill()


def _make_vm(folder, name, build, servers):
    """Returns a VM that knows servers, and its store."""
    store = fake_servers.FakeStore()
    store.put("op/config", documents.make_document())
    for number, each in enumerate(servers):
        store.put(f"servers/api-{number}",
                  documents.make_registration(address=each.address))
    source = build and _extract(build, folder)
    return process_fleet.Vm(folder, name, store, source=source), store


def _call_open(vm, name):
    caller = process_fleet.Caller(vm, name)
    outcome = caller.call("/open/0")
    caller.close()
    return outcome.status


@pytest.mark.parametrize("entry_build, relay_build, has_tunnels",
                         [(None, "aad01d3", True), ("aad01d3", None, True),
                          (None, "97eff80", False)])
def test_cut_vm_asks_another_build_for_tunnels(tmp_path, entry_build,
                                               relay_build, has_tunnels):
    endpoints = [fake_servers.FakeEndpoint() for _ in range(3)]
    paths = [cut_path.CutPath(each.address) for each in endpoints]
    entry, entry_store = _make_vm(tmp_path, "entry", entry_build, paths)
    relay, relay_store = _make_vm(tmp_path, "relay", relay_build, endpoints)
    for store in (entry_store, relay_store):
        for vm in (entry, relay):
            store.put(store_watcher.VM_PREFIX + vm.name,
                      vm.peer_address.encode())
    try:
        entry.start()
        relay.start()
        for each in paths:
            each.cut("reset")
        time.sleep(2.0)
        statuses = {
            _call_open(entry, f"caller-{number}") for number in range(20)
        }
        # A VM without tunnels serves its own callers as before.
        assert _call_open(relay, "other") == 200
    finally:
        entry.kill()
        relay.kill()
    assert statuses == {200} if has_tunnels else statuses <= {502, 503, 504}
