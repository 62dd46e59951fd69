"""Tests of refusals whose request has run or runs later, with a real VM."""

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
    servers = [fake_servers.FakeEndpoint() for _ in range(endpoints)]
    for each in servers:
        each.status = status
    store = _make_store(servers)
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


@pytest.mark.parametrize("endpoints", [1, 2])
def test_copy_of_a_refusal_is_no_response_to_the_repeated_request(
        tmp_path, endpoints):
    """The caller sends the refused request again under the same id."""
    servers = [fake_servers.CopyingEndpoint() for _ in range(endpoints)]
    vm = process_fleet.Vm(tmp_path, "vm-1", _make_store(servers))
    vm.start()
    try:
        caller = process_fleet.Caller(vm, "caller")
        outcomes = [caller.call("/post/0")]
        while outcomes[-1].status == 503 and len(outcomes) < 10:
            outcomes.append(caller.call("/post/0", is_repeated=True))
        caller.close()
    finally:
        vm.kill()
    runs = sum(len(each.run_ids) for each in servers)
    assert (runs, outcomes[-1].status) == (1, 200)


def _make_store(servers):
    """Returns a store with a route for posts to the endpoints."""
    store = fake_servers.FakeStore()
    document = documents.make_document()
    document["routes"][1]["backends"] = [{"service": "api", "weight": 1}]
    store.put("op/config", document)
    for number, each in enumerate(servers):
        store.put(f"servers/api-{number}",
                  documents.make_registration(address=each.address))
    return store
