"""Tests of resumptions after all VMs were killed at once, as real processes."""

import concurrent.futures
import http.client
import itertools
import re
import time

import pytest

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

pytestmark = pytest.mark.processes

_EVENTS = 40
_INTERVAL_MS = 100
_PATH = f"/stream/{_EVENTS}/{_INTERVAL_MS}"
_STREAMS = 24
_IDS = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class _Stream:
    """A stream of a caller, which ends with the loss of its VM.

    Attributes:
        attempt_id: Id of the request.
        last_id: Id of the last event that was received; 0 before the first.
        status: Status of the response; 0 if none was received.
    """

    def __init__(self, vm, attempt_id, last_id=0, resumes=""):
        self.attempt_id = attempt_id
        self.last_id = last_id
        self.status = 0
        self._connection = http.client.HTTPConnection("127.0.0.1",
                                                      vm.callers,
                                                      timeout=20)
        self._headers = {
            "Host": documents.HOST,
            "Mustardwood-Attempt-Id": attempt_id,
            "Authorization": "Bearer key-1",
            "Mustardwood-Deadline-Ms": "11000",
        }
        if resumes:
            self._headers["Last-Event-Id"] = str(last_id)
            self._headers["Resumes"] = resumes

    def read(self):
        """Reads the stream until it ends or is lost."""
        try:
            self._connection.request("POST", _PATH, b"body", self._headers)
            response = self._connection.getresponse()
            self.status = response.status
            while data := response.read1(4096):
                for number in _IDS.findall(data):
                    self.last_id = int(number)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            self._connection.close()
        return self


class _Fleet:
    """A store, endpoints of two software versions, and three VMs."""

    def __init__(self, folder):
        self.store = fake_servers.FakeStore()
        self.store.put("op/config", documents.make_document())
        self.endpoints = {}
        for index in range(4):
            endpoint = fake_servers.FakeEndpoint()
            version = f"v{index % 2}"
            self.endpoints[f"engine-{index}"] = endpoint, version
            self.store.put(
                f"servers/engine-{index}",
                documents.make_registration(service="engine",
                                            slots=64,
                                            version=version,
                                            address=endpoint.address))
        self.vms = [
            process_fleet.Vm(folder, f"vm-{index}", self.store)
            for index in range(3)
        ]
        for vm in self.vms:
            vm.start()

    def find_version(self, attempt_id):
        """Returns the version of the endpoint that got a request, or None."""
        for endpoint, version in self.endpoints.values():
            if attempt_id in endpoint.arrivals:
                return version
        return None


@pytest.fixture(name="fleet")
def _make_fleet(tmp_path):
    fleet = _Fleet(tmp_path)
    yield fleet
    for vm in fleet.vms:
        vm.kill()


def test_streams_of_two_versions_go_on_after_all_vms_were_killed(fleet):
    vms = itertools.cycle(fleet.vms)
    with concurrent.futures.ThreadPoolExecutor(2 * _STREAMS) as pool:
        started = [
            pool.submit(_Stream(next(vms), f"stream-{index}").read)
            for index in range(_STREAMS)
        ]
        time.sleep(2.5)
        for vm in fleet.vms:
            vm.kill()
        broken_off = [each.result() for each in started]
        assert all(0 < each.last_id < _EVENTS for each in broken_off)
        for vm in fleet.vms:
            vm.start()
        resumed = list(
            pool.map(
                lambda each: _Stream(next(vms), f"{each.attempt_id}-again", each
                                     .last_id, each.attempt_id).read(),
                broken_off))
    versions = {
        each.attempt_id: fleet.find_version(each.attempt_id)
        for each in broken_off
    }
    assert set(versions.values()) == {"v0", "v1"}
    for first, again in zip(broken_off, resumed):
        if again.status == 200:
            assert (fleet.find_version(
                again.attempt_id) == versions[first.attempt_id])
            assert again.last_id == _EVENTS
    assert sum(each.status == 200 for each in resumed) >= 0.9 * _STREAMS
