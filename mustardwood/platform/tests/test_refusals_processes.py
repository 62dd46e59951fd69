"""Tests of refusals by endpoints that have run the request, with a real VM."""

import pytest

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("endpoints", [1, 2])
@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_request_that_has_run_is_neither_refused_nor_run_again(
        tmp_path, status, endpoints):
    """The endpoint does not state that the request has not run."""
    store = fake_servers.FakeStore()
    document = documents.make_document()
    document["routes"][1]["backends"] = [{"service": "api", "weight": 1}]
    store.put("op/config", document)
    servers = [fake_servers.FakeEndpoint() for _ in range(endpoints)]
    for number, each in enumerate(servers):
        each.status = status
        store.put(f"servers/api-{number}",
                  documents.make_registration(address=each.address))
    vm = process_fleet.Vm(tmp_path, "vm-1", store)
    vm.start()
    try:
        caller = process_fleet.Caller(vm, "caller")
        outcome = caller.call("/post/10")
        caller.close()
    finally:
        vm.kill()
    assert outcome.status == 502
    assert sum(len(each.arrivals) for each in servers) == 1
