"""Tests of leaving endpoints and kept connections with real processes."""

import concurrent.futures
import socket
import threading
import time

import pytest

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet
from mustardwood.platform.tests import process_workload

_APPLY_SECONDS = 2.0
"""Time in which a change of the configuration takes effect."""
_LONG_BODIES = 60
"""Number of long bodies that are sent at the same time."""


class _Fleet:
    """A store, endpoints of both services, and one VM."""

    def __init__(self, folder):
        self.store = fake_servers.FakeStore()
        self.document = documents.make_document()
        self.document["limits"]["max_body_bytes"] = 1_000_000
        self.document["routes"][1]["timeout_ms"] = 20_000
        self.document["routes"][1]["backends"] = [{
            "service": "api",
            "weight": 1
        }]
        self.store.put("op/config", self.document)
        self.endpoints = []
        for index, service in enumerate(("api", "api", "engine")):
            endpoint = fake_servers.FakeEndpoint()
            self.endpoints.append(endpoint)
            self.store.put(
                f"servers/i-{index}",
                documents.make_registration(service=service,
                                            slots=64,
                                            address=endpoint.address))
        self.vm = process_fleet.Vm(folder, "vm-1", self.store)

    def find_lost_requests(self, outcomes):
        """See `process_fleet.find_lost_requests`."""
        return process_fleet.find_lost_requests(outcomes, self.endpoints)


@pytest.fixture(name="fleet")
def _make_fleet(tmp_path):
    fleet = _Fleet(tmp_path)
    fleet.vm.start()
    yield fleet
    fleet.vm.kill()


@pytest.mark.processes
def test_removed_endpoint_gets_no_late_request_after_a_watch_was_cut(fleet):
    process_fleet.wait_until(fleet.store.count_waiting_watches)
    fleet.store.cut_watches()
    process_fleet.wait_until(lambda: fleet.vm.find_events("store_lost"))
    process_fleet.wait_until(fleet.store.count_waiting_watches)
    removed_at = fleet.store.remove("servers/i-0")
    caller = process_fleet.Caller(fleet.vm, "caller")
    while time.monotonic() < removed_at + 2.5:
        assert caller.call("/post/0").is_complete
    assert not process_fleet.find_late_arrivals(fleet.endpoints[0], removed_at)
    assert fleet.endpoints[1].arrivals


@pytest.mark.processes
def test_removed_endpoint_gets_no_late_request_after_silent_store_connections(
        fleet):
    time.sleep(1.0)
    # The watch after a cut one has just begun, and other connections are idle.
    fleet.store.cut_watches()
    time.sleep(0.5)
    silent_since = fleet.store.silence_connections()
    removed_at = fleet.store.remove("servers/i-0")
    caller = process_fleet.Caller(fleet.vm, "caller")
    while time.monotonic() < removed_at + 5.0:
        assert caller.call("/post/0").is_complete
    # Silent connections excuse late news for the contact time.
    in_touch_at = silent_since + process_fleet.CONTACT_SECONDS
    late = process_fleet.find_late_arrivals(fleet.endpoints[0], removed_at)
    assert not [
        each for each in late if fleet.endpoints[0].arrivals[each] > in_touch_at
    ]


@pytest.mark.processes
@pytest.mark.parametrize("is_pipelined", [False, True])
def test_request_after_a_stream_that_began_before_the_stop_is_answered(
        fleet, is_pipelined):
    caller = process_fleet.Caller(fleet.vm, "caller")
    caller.send("/stream/8/100")
    process_fleet.wait_until(lambda: fleet.endpoints[2].arrivals)
    time.sleep(0.3)
    fleet.vm.stop()
    if is_pipelined:
        caller.send("/post/0")
    assert caller.read().is_complete and caller.may_reuse
    if not is_pipelined:
        caller.send("/post/0")
    outcome = caller.read()
    assert not fleet.find_lost_requests([outcome])
    assert outcome.status == 200
    assert not caller.may_reuse
    assert fleet.vm.wait() == 0
    assert not fleet.vm.find_events("request_unanswered")


@pytest.mark.processes
@pytest.mark.parametrize("path, status", [("/stream/60/100", 503),
                                          ("/open/0", 200)])
def test_late_request_of_a_stop_is_answered_or_refused_but_not_cut(
        fleet, path, status):
    """It comes on a kept connection, and the stream outlasts the grace."""
    caller = process_fleet.Caller(fleet.vm, "caller")
    caller.send("/stream/40/100")
    process_fleet.wait_until(lambda: fleet.endpoints[2].arrivals)
    time.sleep(0.3)
    fleet.vm.stop()
    assert caller.read().is_complete and caller.may_reuse
    outcome = caller.call(path)
    assert not fleet.find_lost_requests([outcome])
    assert outcome.status == status
    assert not caller.may_reuse
    is_sent = any(
        outcome.attempt_id in each.arrivals for each in fleet.endpoints)
    assert is_sent == (status == 200)
    assert fleet.vm.wait() == 0


@pytest.mark.processes
def test_request_that_outlasts_the_grace_is_answered_before_the_exit(fleet):
    """Without an answer, its caller can't tell a lost one from a refusal."""
    caller = process_fleet.Caller(fleet.vm, "caller")
    caller.send("/post/15000")
    process_fleet.wait_until(
        lambda: any(each.arrivals for each in fleet.endpoints))
    fleet.vm.stop()
    outcome = caller.read()
    assert (outcome.status, outcome.is_complete) == (502, True)
    assert fleet.vm.wait() == 0


@pytest.mark.processes
@pytest.mark.parametrize("body_bytes, pause_seconds", [(4_000_000, 0.08),
                                                       (12_000_000, 0.02)])
def test_slowly_read_response_is_whole_although_the_vm_stops(
        fleet, body_bytes, pause_seconds):
    for endpoint in fleet.endpoints:
        endpoint.padding = bytes(body_bytes)
    caller = process_fleet.Caller(fleet.vm, "caller", 64 * 1024)
    caller.send("/post/500")
    process_fleet.wait_until(
        lambda: any(each.arrivals for each in fleet.endpoints))
    fleet.vm.stop()
    outcome = caller.read(pause_seconds)
    assert outcome.seconds > 2.0
    assert not fleet.find_lost_requests([outcome])
    assert fleet.vm.wait() == 0


@pytest.mark.processes
def test_caller_that_pauses_reading_gets_its_whole_response(fleet):
    """Its receive window stays closed for longer than a lost peer's timeout."""
    for endpoint in fleet.endpoints:
        endpoint.padding = bytes(400_000)
    caller = process_fleet.Caller(fleet.vm, "caller", 4096)
    caller.send("/post/0")
    time.sleep(6.0)
    outcome = caller.read()
    assert outcome.seconds > 6.0
    assert not fleet.find_lost_requests([outcome])
    assert outcome.is_complete


@pytest.mark.processes
def test_endpoint_that_pauses_reading_gets_the_whole_body(fleet):
    """A reset would leave it open whether the request has run."""
    slow = _PausingEndpoint(pause_seconds=4.0)
    fleet.store.put(
        "servers/slow",
        documents.make_registration(service="slow",
                                    slots=64,
                                    address=slow.address))
    fleet.document["routes"][1]["backends"] = [{"service": "slow", "weight": 1}]
    fleet.store.put("op/config", {**fleet.document, "version": 8})
    process_fleet.wait_until(lambda: any(
        each["version"] == 8 for each in fleet.vm.find_events("configuration")))
    caller = process_fleet.Caller(fleet.vm, "caller")
    caller.send("/post/0", body=bytes(900_000))
    assert caller.read().status == 200
    assert slow.received_bytes > 900_000


@pytest.mark.processes
@pytest.mark.parametrize("is_chunked", [False, True])
def test_bodies_of_the_allowed_size_do_not_exceed_the_memory(
        fleet, tmp_path, is_chunked):
    """The platform kills a process over its memory, with all its requests."""
    memory_mb = 200
    vm = process_fleet.Vm(tmp_path, "vm-2", fleet.store,
                          f"[limits]\nmemory_mb = {memory_mb}\n")
    limits = {**fleet.document["limits"], "max_body_bytes": 4_194_304}
    fleet.store.put("op/config", {
        **fleet.document, "version": 8,
        "limits": limits
    })
    vm.start()
    try:
        with concurrent.futures.ThreadPoolExecutor(_LONG_BODIES) as pool:
            outcomes = list(
                pool.map(lambda number: _send_long_body(vm, number, is_chunked),
                         range(_LONG_BODIES)))
        peak_mb = vm.read_peak_memory() >> 20
        statuses = [each.status for each in outcomes]
        print(f"peak {peak_mb} MiB, {statuses.count(200)} answered, "
              f"{statuses.count(503)} refused")
        assert peak_mb < memory_mb
        assert all(each.is_complete for each in outcomes)
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 10
        # The room is free again.
        assert _send_long_body(vm, _LONG_BODIES, is_chunked).status == 200
    finally:
        vm.kill()


def _send_long_body(vm, number, is_chunked):
    caller = process_fleet.Caller(vm, f"long-{number}")
    caller.send("/post/1500", body=bytes(4_000_000), is_chunked=is_chunked)
    outcome = caller.read()
    caller.close()
    return outcome


class _PausingEndpoint:
    """Accepts one connection and pauses before it reads the request.

    Attributes:
        address: IP address and port.
        received_bytes: Number of bytes received.
    """

    def __init__(self, pause_seconds):
        self._pause_seconds = pause_seconds
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.received_bytes = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        connection, _ = self._listener.accept()
        received = bytearray(connection.recv(1024))
        time.sleep(self._pause_seconds)
        while b"Attempt-Id: " not in received or len(received) < 900_000:
            received += connection.recv(64 * 1024)
        attempt_id = received.split(b"Attempt-Id: ")[1].split(b"\r\n")[0]
        while not received.endswith(b"\0" * 1000) or len(received) <= 900_000:
            received += connection.recv(64 * 1024)
        self.received_bytes = len(received)
        connection.sendall(b"HTTP/1.1 200 OK\r\nMustardwood-Attempt-Id: " +
                           attempt_id +
                           b"\r\nMustardwood-Replica-Signature: signed\r\n"
                           b"Content-Length: 0\r\n\r\n")
        connection.close()
        self._listener.close()


@pytest.mark.processes
def test_requests_in_the_backlog_are_answered_when_the_listener_closes(fleet):
    # Twisted accepts as many connections at once as in the last burst.
    assert process_fleet.Caller(fleet.vm, "first").call("/post/0").is_complete
    fleet.vm.stop()
    time.sleep(2.0)
    # The VM is busy when its listener is due to close.
    fleet.vm.suspend()
    callers = [
        process_fleet.Caller(fleet.vm, f"caller-{index}") for index in range(20)
    ]
    for caller in callers:
        caller.send("/post/0")
    time.sleep(0.5)
    fleet.vm.resume()
    outcomes = [caller.read() for caller in callers]
    assert not fleet.find_lost_requests(outcomes)
    assert [each.status for each in outcomes] == [200] * len(outcomes)


@pytest.mark.processes
def test_idle_connection_is_kept_for_a_raised_limit(fleet):
    _set_idle_timeout(fleet, 8, 1500)
    caller = process_fleet.Caller(fleet.vm, "caller")
    assert caller.call("/post/0").is_complete
    _set_idle_timeout(fleet, 9, 3000)
    time.sleep(2.2)
    assert caller.call("/post/0").status == 200


def _set_idle_timeout(fleet, version, milliseconds):
    """Changes the idle timeout and waits until the VM applies it."""
    limits = {**fleet.document["limits"], "idle_timeout_ms": milliseconds}
    fleet.store.put("op/config", {
        **fleet.document, "version": version,
        "limits": limits
    })
    process_fleet.wait_until(lambda: any(each["version"] == version for each in
                                         fleet.vm.find_events("configuration")))


@pytest.mark.processes
def test_vm_that_may_be_behind_denies_no_request_for_a_new_route(fleet):
    """Callers got 404 for routes that had been acknowledged long before."""
    caller = process_fleet.Caller(fleet.vm, "caller")
    assert caller.call("/new/0").status == 404
    fleet.store.is_unavailable = True
    route = {**fleet.document["routes"][2], "name": "new"}
    fleet.document["routes"].append({**route, "path_prefix": "/new/"})
    fleet.store.put("op/config", {**fleet.document, "version": 8})
    time.sleep(_APPLY_SECONDS)
    outcome = process_fleet.Caller(fleet.vm, "behind").call("/new/0")
    assert outcome.status == 503 and outcome.retry_after > 0
    fleet.store.is_unavailable = False
    process_fleet.wait_until(lambda: process_fleet.Caller(fleet.vm, "served").
                             call("/new/0").status == 200)


def _make_endpoint(arrivals):
    endpoint = fake_servers.FakeEndpoint()
    endpoint.arrivals.update(arrivals)
    return endpoint


def test_check_of_leaving_endpoints_finds_a_late_arrival():
    endpoint = _make_endpoint({"early": 11.9, "late": 12.5})
    assert process_fleet.find_late_arrivals(endpoint, 10.0) == {"late": 2.5}


def test_check_of_losses_finds_each_kind_of_lost_request():
    endpoint = _make_endpoint({"cut": 1.0, "reset": 1.0, "whole": 1.0})
    outcomes = [
        process_fleet.Outcome("cut", 200, False, 0.1),
        process_fleet.Outcome("reset", 0, False, 0.1),
        process_fleet.Outcome("discarded", 0, False, 1.0),
        process_fleet.Outcome("whole", 200, True, 1.0),
        process_fleet.Outcome("refused", 503, True, 1.0),
        process_fleet.Outcome("crossed the close", 0, False, 0.1),
    ]
    lost = process_fleet.find_lost_requests(outcomes, [endpoint])
    assert [each.attempt_id for each in lost] == ["cut", "reset", "discarded"]


@pytest.mark.processes
def test_no_request_is_lost_or_late_while_endpoints_leave_and_vms_restart(
        tmp_path):
    workload = process_workload.Workload(tmp_path, seed=4)
    workload.run(seconds=8)
    assert len(workload.outcomes) > 100
    assert len(workload.left_at) > 4
    assert not workload.find_late_arrivals()
    assert not workload.find_lost_requests()
    assert not workload.unexpected
