"""Tests of usage reports of a real process, with a fake store and API."""

import time

import pytest

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_duty_api
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

pytestmark = pytest.mark.processes

_REQUESTS = 12


def _start_vm(tmp_path, store, api):
    vm = process_fleet.Vm(tmp_path, "vm-1", store)
    path = tmp_path / "vm-1.toml"
    host, port = api.address
    path.write_text(path.read_text(encoding="utf-8").replace(
        "[bounds]\n", "[bounds]\nreport_window_s = 1\nusage_delay_s = 5\n"
        "fencing_enforced = true\n") + f"""
[cloud_api]
address = "{host}:{port}"
duties = ["usage_report"]
""",
                    encoding="utf-8")
    vm.start()
    return vm


def test_usage_of_a_process_reaches_the_platform(tmp_path):
    """Failure: parts of the process that count and report do not fit."""
    store = fake_servers.FakeStore()
    endpoint = fake_servers.FakeEndpoint()
    api = fake_duty_api.FakeDutyApi()
    store.put("op/config", documents.make_document())
    store.put("servers/i-1",
              documents.make_registration(address=endpoint.address))
    store.put(
        "servers/i-2",
        documents.make_registration(address=endpoint.address, service="engine"))
    vm = _start_vm(tmp_path, store, api)
    try:
        caller = process_fleet.Caller(vm, "caller")
        for number in range(_REQUESTS):
            path = "/stream/2/20" if number % 2 else "/post/10"
            assert caller.call(path).status == 200
            time.sleep(0.1)
        caller.close()
        process_fleet.wait_until(lambda: sum(
            each.get("tatra", 0) for each in list(api.accepted.values())) ==
                                 _REQUESTS)
        # Windows without requests are reported, too.
        process_fleet.wait_until(lambda: {} in list(api.accepted.values()))
        lines = vm.find_events("usage_accepted")
        assert lines and not lines[-1]["late"]
        assert vm.find_events("usage_finalized")
        assert not vm.find_events("error")
    finally:
        vm.kill()
        api.stop()
