"""Tests of the real process with a fake store and a fake endpoint."""

import concurrent.futures
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from mustardwood.platform import settings
from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import port_block

pytestmark = pytest.mark.processes

_TIMEOUT_SECONDS = 30.0
"""Time after which a test stops waiting for an expected state."""
_MAX_MEMORY_BYTES = 200 * 1024 * 1024
"""Memory limit of a VM."""
_MAX_RESPONSE_SECONDS = 1.0
"""Time within which a request is answered beside endpoints in trouble.

Callers abandon a VM that has not read their request after one second.
"""
_MAX_CRASHES = 5
"""Number of crashes after which no requests like theirs should be sent."""
_ENDLESS_SECONDS = 10.0
"""Time for which endpoints send without end."""
_SIGNED = (b"HTTP/1.1 200 OK\r\nMustardwood-Attempt-Id: %s\r\n"
           b"Mustardwood-Replica-Signature: signed\r\n")
_ENDLESS_RESPONSES = (
    (b"", b"no answer "),
    (_SIGNED, b"Name: value\r\n"),
    (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
    (b"HTTP/1.1 200 OK\r\n\r\n", b"no answer"),
    (b"HTTP/1.1 500 Fault\r\nMustardwood-Attempt-Id: %s\r\n\r\n", b"x"),
    (_SIGNED + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    (_SIGNED + b"\r\nid: 1\ndata: a\n\nid: 2\ndata: ", b"x"),
)
"""First bytes and repeated bytes of responses without end."""


class _Vm:

    def __init__(self, tmp_path, store, name="vm-1"):
        self.callers, self.ready, self.peers = port_block.find_free_ports(3)
        self._path = tmp_path / f"{name}.toml"
        self._path.write_text(f"""
node_name = "{name}"
zone = "a"
ip = "127.0.0.1"
[listen]
front_addr = "127.0.0.1:{self.callers}"
ready = "127.0.0.1:{self.ready}"
control_plane = "127.0.0.1:{self.peers}"
[bounds]
grace_s = 8
revoke_ms = 3000
fail_closed = true
retry_ratio = 0.2
retry_burst = 10
[platform]
address = "{store.address}"
""",
                              encoding="utf-8")
        self._log = open(tmp_path / f"{name}.log", "wb")  # pylint: disable=consider-using-with
        self.process = None

    def start(self, is_ready=None):
        """Starts the process; waits for `is_ready`, or until it is ready."""
        self.process = subprocess.Popen(  # pylint: disable=consider-using-with
            [sys.executable, "-m", "mustardwood.platform"],
            env={
                **os.environ, settings.PATH_VARIABLE: str(self._path)
            },
            stdout=self._log)
        self.wait_until(is_ready or (lambda: self.read_readiness() == 200))

    def stop(self):
        """Kills the process if it still runs and closes its log."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()

    def read_log(self):
        """Returns the lines of the log."""
        with open(self._log.name, encoding="utf-8") as log:
            return [json.loads(line) for line in log]

    def count_endpoints(self, prefix):
        """Returns how many endpoints with this prefix the VM has found."""
        return len({
            line["endpoint"]
            for line in self.read_log()
            if (line["event"] == "endpoint" and
                line["endpoint"].startswith(prefix))
        })

    def read_readiness(self):
        """Returns the status of the readiness page; 0 without a response."""
        connection = http.client.HTTPConnection("127.0.0.1",
                                                self.ready,
                                                timeout=5)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()

    def wait_until(self, condition):
        """Waits until a condition holds."""
        until = time.monotonic() + _TIMEOUT_SECONDS
        while not condition():
            assert time.monotonic(
            ) < until, "the condition did not hold in time"
            time.sleep(0.05)

    def call(self, path, key="key-1", headers=None):
        """Sends a request; returns the response's status, headers and body."""
        connection = http.client.HTTPConnection("127.0.0.1",
                                                self.callers,
                                                timeout=_TIMEOUT_SECONDS)
        connection.request("POST",
                           path,
                           body=b"body",
                           headers={
                               "Host": documents.HOST,
                               "Mustardwood-Attempt-Id": f"id{path}",
                               "Authorization": f"Bearer {key}",
                               **(headers or {})
                           })
        response = connection.getresponse()
        result = response.status, dict(response.getheaders()), response.read()
        connection.close()
        return result


@pytest.fixture(name="store")
def _make_store():
    return fake_servers.FakeStore()


@pytest.fixture(name="endpoint")
def _make_endpoint(store):
    endpoint = fake_servers.FakeEndpoint()
    document = documents.make_document()
    document["routes"][1]["timeout_ms"] = 20_000
    document["routes"][1]["backends"] = [{"service": "api", "weight": 1}]
    store.put("op/config", document)
    store.put("servers/i-1",
              documents.make_registration(address=endpoint.address))
    return endpoint


@pytest.fixture(name="vm")
def _make_vm(tmp_path, store, endpoint):
    del endpoint
    vm = _Vm(tmp_path, store)
    vm.start()
    yield vm
    vm.stop()


def test_request_is_forwarded_and_its_response_returned(vm, endpoint):
    status, headers, body = vm.call("/post/0")
    assert (status, body) == (200, b"answer to /post/0")
    assert headers["Mustardwood-Replica-Signature"] == "signed"
    sent, = endpoint.received_headers
    assert sent["Mustardwood-Tenant"] == "tatra"
    assert sent["Mustardwood-Expect-Replica"] == "i-1"
    assert "Authorization" not in sent


def test_graceful_shutdown_completes_open_requests_and_exits(vm):
    with concurrent.futures.ThreadPoolExecutor() as pool:
        calls = [pool.submit(vm.call, "/post/3500") for _ in range(4)]
        vm.wait_until(lambda: len(vm.read_log()) > 0)
        time.sleep(0.5)
        vm.process.send_signal(signal.SIGTERM)
        vm.wait_until(lambda: vm.read_readiness() != 200)
        assert [each.result()[0] for each in calls] == [200] * 4
    assert vm.process.wait(_TIMEOUT_SECONDS) == 0
    assert vm.read_log()[-1]["event"] == "stop"


def test_removed_key_is_refused(vm, store):
    document = documents.make_document(version=8)
    document["tenants"] = [{"name": "strih", "api_keys": ["key-3"]}]
    store.put("op/config", document)
    vm.wait_until(lambda: vm.call("/post/0")[0] == 401)


def test_keys_are_refused_during_a_store_outage_and_accepted_after_it(
        vm, store):
    store.is_unavailable = True
    vm.wait_until(lambda: vm.call("/post/0")[0] == 503)
    vm.wait_until(lambda: vm.read_readiness() == 503)
    store.is_unavailable = False
    vm.wait_until(lambda: vm.call("/post/0")[0] == 200)
    events = [line["event"] for line in vm.read_log()]
    assert events.count("store_lost") == 1
    assert "store_regained" in events


def test_malformed_store_entries_are_rejected_and_logged(vm, store):
    store.put("servers/i-2", b"\xff\xfe")
    store.put("op/config", b"{")
    vm.wait_until(lambda: {"endpoint_rejected", "configuration_rejected"} <=
                  {line["event"] for line in vm.read_log()})
    assert vm.call("/post/0")[0] == 200


def test_registrations_of_another_writer_do_not_disturb_the_watch(
        vm, store, endpoint):
    """They made the VM read all keys again, each time they were written."""
    nested = json.dumps(documents.make_registration(models="nested")).replace(
        '"nested"', "[" * 5000 + "]" * 5000)
    for _ in range(2):
        store.put("servers/odd-1", nested.encode())
        store.put(
            "servers/odd-2",
            documents.make_registration(address="192.0.2.5:" + "9" * 5000))
        store.put("servers/odd-3",
                  documents.make_registration(address="192.0.2.5:70000"))
        store.put("servers/odd-4",
                  documents.make_registration(address="..:80", service="api"))
        store.put(
            "servers/sound",
            documents.make_registration(service="api",
                                        address=endpoint.address))
        time.sleep(1.5)
    assert vm.count_endpoints("sound") == 1
    assert not vm.count_endpoints("odd")
    assert [vm.call("/post/0")[0] for _ in range(20)] == [200] * 20
    events = [line["event"] for line in vm.read_log()]
    assert "error" not in events
    assert events.count("store_read") == 1


def _read_peak_memory(pid):
    """Returns the peak of a process's resident memory in bytes."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        line, = (each for each in status if each.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def _call_until(vm, path, until):
    """Sends requests one after the other; returns statuses and durations."""
    results = []
    while time.monotonic() < until:
        started = time.monotonic()
        try:
            status = vm.call(path)[0]
        except (OSError, http.client.HTTPException):
            status = 0
        results.append((status, time.monotonic() - started))
        time.sleep(0.02)
    return results


def test_endpoints_that_send_without_end_take_neither_memory_nor_time(
        vm, store):
    document = documents.make_document(version=8)
    for route, service in zip(document["routes"], ("engine", "api", "engine")):
        route.update({"service": service, "timeout_ms": 6000})
        route.pop("backends", None)
    store.put("op/config", document)
    endpoints = [
        fake_servers.EndlessEndpoint(*each) for each in _ENDLESS_RESPONSES
    ]
    for index, endpoint in enumerate(endpoints):
        store.put(
            f"servers/endless-{index}",
            documents.make_registration(service="engine",
                                        address=endpoint.address))
    vm.wait_until(lambda: vm.count_endpoints("endless") == len(endpoints))
    until = time.monotonic() + _ENDLESS_SECONDS
    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        for _ in range(8):
            pool.submit(_call_until, vm, "/open/0", until)
            pool.submit(_call_until, vm, "/stream/0", until)
        results = _call_until(vm, "/post/0", until)
    print(f"{len(results)} requests, the slowest in "
          f"{max(each[1] for each in results):.2f} s, "
          f"{sum(each.sent_bytes for each in endpoints) >> 20} MiB received, "
          f"peak {_read_peak_memory(vm.process.pid) >> 20} MiB")
    assert all(each.sent_bytes for each in endpoints)
    assert {each[0] for each in results} == {200}
    assert max(each[1] for each in results) < _MAX_RESPONSE_SECONDS
    assert _read_peak_memory(vm.process.pid) < _MAX_MEMORY_BYTES


def test_responses_of_callers_that_never_read_do_not_pile_up(vm, store):
    document = documents.make_document(version=8)
    document["routes"][2].update({"service": "engine", "timeout_ms": 6000})
    store.put("op/config", document)
    endpoint = fake_servers.EndlessEndpoint(_SIGNED + b"\r\n", b"x" * 65_536)
    store.put(
        "servers/endless",
        documents.make_registration(service="engine", address=endpoint.address))
    vm.wait_until(lambda: vm.count_endpoints("endless") == 1)
    callers = [
        socket.create_connection(("127.0.0.1", vm.callers)) for _ in range(20)
    ]
    for index, caller in enumerate(callers):
        caller.sendall(f"POST /open/0 HTTP/1.1\r\nHost: {documents.HOST}\r\n"
                       f"Mustardwood-Attempt-Id: slow-{index}\r\n"
                       "Content-Length: 0\r\n\r\n".encode())
    time.sleep(4)
    print(f"{endpoint.sent_bytes >> 20} MiB sent, "
          f"peak {_read_peak_memory(vm.process.pid) >> 20} MiB")
    assert vm.call("/post/0")[0] == 200
    for caller in callers:
        caller.close()
    assert _read_peak_memory(vm.process.pid) < _MAX_MEMORY_BYTES


def _make_document_without_key_1(version):
    document = documents.make_document(version=version)
    document["tenants"] = [{"name": "strih", "api_keys": ["key-3"]}]
    return document


def test_removed_key_stays_refused_when_a_copy_shows_the_older_version(
        vm, store):
    copy = store.copy()
    store.put("op/config", _make_document_without_key_1(8))
    vm.wait_until(lambda: vm.call("/post/0")[0] == 401)
    store.restore(copy)
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
        assert vm.call("/post/0")[0] in (401, 503)
    store.put("op/config", _make_document_without_key_1(8))
    vm.wait_until(lambda: vm.call("/post/0", "key-3")[0] == 200)
    assert vm.call("/post/0")[0] == 401


def test_newer_version_is_applied_though_its_revision_is_lower(vm, store):
    copy = store.copy()
    for _ in range(20):
        store.put("op/config", documents.make_document(version=8))
    vm.wait_until(
        lambda: "configuration" in
        [line["event"] for line in vm.read_log() if line.get("version") == 8])
    store.restore(copy)
    store.put("op/config", _make_document_without_key_1(9))
    vm.wait_until(lambda: vm.call("/post/0")[0] == 401)
    vm.wait_until(lambda: vm.call("/post/0", "key-3")[0] == 200)


def test_leaving_endpoint_stays_unused_when_a_copy_shows_it_as_ready(
        vm, store, endpoint):
    vm.wait_until(lambda: vm.call("/open/0")[0] == 200)
    copy = store.copy()
    store.put(
        "servers/i-1",
        documents.make_registration(address=endpoint.address, state="draining"))
    vm.wait_until(lambda: vm.call("/open/0")[0] == 503)
    received = len(endpoint.received_headers)
    store.restore(copy)
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
        assert vm.call("/open/0")[0] == 503
    assert len(endpoint.received_headers) == received
    store.put("servers/i-1",
              documents.make_registration(address=endpoint.address, sequence=9))
    vm.wait_until(lambda: vm.call("/open/0")[0] == 200)


def test_vm_registers_again_soon_after_the_store_lost_its_lease(vm, store):
    vm.wait_until(lambda: store.find("vms/vm-1") is not None)
    copy = store.copy()
    items, changes, revision, _ = copy
    store.restore(({
        key: item for key, item in items.items() if key != "vms/vm-1"
    }, changes, revision, {}))
    returned_at = time.monotonic()
    vm.wait_until(lambda: store.find("vms/vm-1") is not None)
    assert time.monotonic() - returned_at < 2.0


def test_vm_that_starts_after_a_restore_does_not_accept_a_removed_key(
        vm, store, tmp_path):
    """It reads the older configuration of the copy, which has the key."""
    copy = store.copy()
    store.put("op/config", _make_document_without_key_1(8))
    vm.wait_until(lambda: vm.call("/post/0")[0] == 401)
    store.restore(copy)
    vm.wait_until(lambda: store.find("vms/vm-1") is not None)
    started = _Vm(tmp_path, store, "vm-2")
    try:
        started.start(is_ready=lambda: "store_read" in
                      [line["event"] for line in started.read_log()])
        until = time.monotonic() + 4.0
        while time.monotonic() < until:
            assert started.call("/post/0")[0] in (401, 503)
        store.put("op/config", _make_document_without_key_1(8))
        vm.wait_until(lambda: started.call("/post/0", "key-3")[0] == 200)
    finally:
        started.stop()


def _add_closing_endpoint(vm, store, body):
    """Makes the stream route use an endpoint that closes after `body`."""
    document = documents.make_document(version=8)
    document["routes"][0]["resumable"] = False
    store.put("op/config", document)
    endpoint = fake_servers.ClosingEndpoint(_SIGNED + b"\r\n" + body)
    store.put(
        "servers/closing",
        documents.make_registration(service="engine", address=endpoint.address))
    vm.wait_until(lambda: vm.count_endpoints("closing") == 1)


def test_stream_closed_inside_an_event_does_not_look_complete_to_its_caller(
        vm, store):
    _add_closing_endpoint(vm, store, b"id: 1\ndata: a\n\nid: 2\nda")
    with pytest.raises((http.client.IncompleteRead, ConnectionResetError)):
        vm.call("/stream/0")


def test_stream_closed_inside_an_event_is_reset_for_a_caller_of_http_1_0(
        vm, store):
    """Such a caller takes a regular close for the end of the response."""
    _add_closing_endpoint(vm, store, b"id: 1\ndata: a\n\nid: 2\nda")
    with socket.create_connection(("127.0.0.1", vm.callers),
                                  _TIMEOUT_SECONDS) as caller:
        caller.sendall(f"POST /stream/0 HTTP/1.0\r\nHost: {documents.HOST}\r\n"
                       "Mustardwood-Attempt-Id: old\r\n"
                       "Authorization: Bearer key-1\r\n"
                       "Content-Length: 0\r\n\r\n".encode())
        with pytest.raises(ConnectionResetError):
            while caller.recv(4096):
                pass


def test_stream_closed_between_two_events_is_complete(vm, store):
    _add_closing_endpoint(vm, store, b"id: 1\ndata: a\n\n")
    status, _, body = vm.call("/stream/0")
    assert (status, body) == (200, b"id: 1\ndata: a\n\n")


def test_stream_closed_before_its_first_event_is_answered_as_lost(vm, store):
    _add_closing_endpoint(vm, store, b"")
    assert vm.call("/stream/0")[0] == 502


def _start_crashing_engines(store, count, events_before_crash=0):
    """Registers engines that crash on the part "bad" and start again."""
    document = documents.make_document(version=8)
    document["routes"][0]["resumable"] = False
    store.put("op/config", document)
    start_times = itertools.count(1_700_000_000_000)
    keys = {}

    def register(engine):
        store.put(
            keys[engine],
            documents.make_registration(service="engine",
                                        address=engine.address,
                                        born=next(start_times)))

    for index in range(count):
        engine = fake_servers.CrashingEndpoint("bad", register,
                                               events_before_crash)
        keys[engine] = f"servers/crashing-{index}"
        register(engine)
    return list(keys)


def _call_with_part(vm, part, number):
    """Returns the status of a stream with a part; 0 if it was broken off."""
    headers = {
        "Mustardwood-Token-Usage":
            "300,40",
        "Mustardwood-Prompt-Prefix":
            f"aa:100,bb:100,{part}:50,{number}{part}:50",
    }
    try:
        return vm.call(f"/stream/{number}{part}", headers=headers)[0]
    except (OSError, http.client.HTTPException):
        return 0


def test_vms_stop_together_sending_a_prompt_part_that_crashes_engines(
        tmp_path, vm, store):
    """Requests come at both VMs; sound ones share all of their other parts."""
    engines = _start_crashing_engines(store, 6)
    other = _Vm(tmp_path, store, "vm-2")
    other.start()
    sound_statuses = []
    try:
        for each in (vm, other):
            each.wait_until(lambda each=each: each.count_endpoints("crashing")
                            == len(engines))
        for number in range(24):
            target = (vm, other)[number % 2]
            _call_with_part(target, "bad", number)
            sound_statuses.append(_call_with_part(target, "sound", number))
            time.sleep(0.6)
    finally:
        other.stop()
    assert sound_statuses == [200] * 24
    assert sum(each.crashes for each in engines) <= _MAX_CRASHES


@pytest.mark.parametrize("events_before_crash", [0, 2])
def test_vms_stop_together_sending_a_repeated_request_that_crashes_engines(
        tmp_path, vm, store, events_before_crash):
    """Its prompt shares no part; its callers repeat it at both VMs."""
    engines = _start_crashing_engines(store, 6, events_before_crash)
    other = _Vm(tmp_path, store, "vm-2")
    other.start()
    sound_statuses = []
    try:
        for each in (vm, other):
            each.wait_until(lambda each=each: each.count_endpoints("crashing")
                            == len(engines))
        for number in range(16):
            target = (vm, other)[number % 2]
            headers = {
                "Mustardwood-Attempt-Id": f"repeat-{number}",
                "Mustardwood-Token-Usage": "300,40",
                "Mustardwood-Prompt-Prefix": "bad:300",
            }
            try:
                status = target.call("/stream/repeated", headers=headers)[0]
            except (OSError, http.client.HTTPException):
                status = 0
            assert status in (0, 502)
            sound_statuses.append(_call_with_part(target, "sound", number))
            time.sleep(0.6)
    finally:
        other.stop()
    assert sound_statuses == [200] * 16
    assert sum(each.crashes for each in engines) == 3
