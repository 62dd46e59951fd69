"""Tests of endpoints that answer before they have read a body."""

import http.client
import threading

import pytest

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

pytestmark = pytest.mark.processes

_UPLOAD_BYTES = 4 * 1024 * 1024
_PART_BYTES = 30_000
_CALLERS = 8
_UPLOADS_PER_CALLER = 15


def _upload(vm, name, complete):
    """Sends long bodies; records the responses that look complete."""
    for number in range(_UPLOADS_PER_CALLER):
        connection = http.client.HTTPConnection("127.0.0.1",
                                                vm.callers,
                                                timeout=20)
        try:
            connection.request(
                "POST", "/post/0", bytes(_UPLOAD_BYTES), {
                    "Host": documents.HOST,
                    "Mustardwood-Attempt-Id": f"{name}-{number}",
                    "Authorization": "Bearer key-1"
                })
            response = connection.getresponse()
            response.read()
            if response.status == 200:
                complete.append(f"{name}-{number}")
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()


def test_early_responses_of_reset_connections_look_incomplete(tmp_path):
    store = fake_servers.FakeStore()
    document = documents.make_document()
    document["limits"]["max_body_bytes"] = _UPLOAD_BYTES
    document["routes"][1].update(backends=[{
        "service": "api",
        "weight": 1
    }],
                                 timeout_ms=10_000)
    store.put("op/config", document)
    endpoints = [
        fake_servers.ResettingEndpoint(bytes(_PART_BYTES), 0.1)
        for _ in range(2)
    ]
    for number, each in enumerate(endpoints):
        store.put(f"servers/i-{number}",
                  documents.make_registration(slots=64, address=each.address))
    vm = process_fleet.Vm(tmp_path, "vm-1", store)
    complete = []
    try:
        vm.start()
        threads = [
            threading.Thread(target=_upload,
                             args=(vm, f"caller-{number}", complete))
            for number in range(_CALLERS)
        ]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
    finally:
        vm.kill()
    assert sum(each.resets for each in endpoints) > _CALLERS
    assert not complete
