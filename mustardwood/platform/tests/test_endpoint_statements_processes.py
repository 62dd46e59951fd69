"""Tests of what endpoints state in their responses, with real processes."""

import concurrent.futures
import itertools
import time

import pytest

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

pytestmark = pytest.mark.processes

_VM_COUNT = 3
_LEAVING = ("Server-Leaving", "1")


class _Fleet:
    """A store, endpoints of two services, and several VMs."""

    def __init__(self, folder):
        store = fake_servers.FakeStore()
        document = documents.make_document()
        document["routes"][1]["backends"] = [{"service": "api", "weight": 1}]
        store.put("op/config", document)
        self.store = store
        self.endpoints = {"api": [], "engine": []}
        for service, endpoints in self.endpoints.items():
            for index in range(2):
                endpoint = fake_servers.FakeEndpoint()
                endpoints.append(endpoint)
                store.put(
                    f"servers/{service}-{index}",
                    documents.make_registration(service=service,
                                                slots=64,
                                                address=endpoint.address))
        self.vms = [
            process_fleet.Vm(folder, f"vm-{index}", store)
            for index in range(_VM_COUNT)
        ]

    def call_for(self, seconds, path="/post/20", is_done=lambda: False):
        """Sends requests at all VMs, about 30 a second at each.

        Returns:
            The outcomes.
        """
        until = time.monotonic() + seconds

        def call(vm, prefix):
            outcomes = []
            while time.monotonic() < until and not is_done():
                caller = process_fleet.Caller(vm,
                                              f"{prefix}-{time.monotonic()}")
                while time.monotonic() < until and not is_done():
                    outcomes.append(caller.call(path))
                    if not caller.may_reuse:
                        break
                caller.close()
            return outcomes

        with concurrent.futures.ThreadPoolExecutor() as pool:
            started = [
                pool.submit(call, vm, f"{vm.name}-{number}")
                for vm in self.vms
                for number in range(2)
            ]
            return list(
                itertools.chain.from_iterable(
                    each.result() for each in started))


@pytest.fixture(name="fleet")
def _make_fleet(tmp_path):
    fleet = _Fleet(tmp_path)
    for vm in fleet.vms:
        vm.start()
    yield fleet
    for vm in fleet.vms:
        vm.kill()


@pytest.mark.parametrize(("service", "path", "is_full"), [
    ("api", "/post/20", False),
    ("api", "/post/20", True),
    ("engine", "/stream/2/10", False),
])
def test_endpoint_that_says_it_leaves_gets_no_more_requests(
        fleet, service, path, is_full):
    leaving, other = fleet.endpoints[service]
    assert {each.status for each in fleet.call_for(1.0, path)} == {200}
    assert leaving.arrivals
    leaving.is_full = is_full
    leaving.stated_headers = [_LEAVING]
    stated_at = time.monotonic()
    outcomes = fleet.call_for(process_fleet.DRAIN_SECONDS + 2.0, path)
    assert {each.status for each in outcomes} == {200}
    assert not process_fleet.find_late_arrivals(leaving, stated_at)
    assert len([each for each in other.arrivals.values() if each > stated_at
               ]) > 50
    for vm in fleet.vms:
        learnt = vm.find_events("endpoint_notice")
        assert {each["kind"] for each in learnt} == {"leaving"}
        assert {each["source"] for each in learnt
               } <= {each.name for each in fleet.vms}


def test_leaving_endpoint_that_restarts_under_its_name_gets_requests(fleet):
    leaving = fleet.endpoints["api"][0]
    leaving.stated_headers = [_LEAVING]
    fleet.call_for(1.0)
    leaving.stated_headers = []
    restarted_at = time.monotonic()
    fleet.store.put(
        "servers/api-0",
        documents.make_registration(slots=64,
                                    born=1700000001000,
                                    address=leaving.address))
    fleet.call_for(2.0)
    assert max(leaving.arrivals.values()) > restarted_at + 1.0


@pytest.mark.parametrize("value", ["0", "yes", ""])
def test_other_values_of_the_header_change_nothing(fleet, value):
    endpoint = fleet.endpoints["api"][0]
    endpoint.stated_headers = [("Server-Leaving", value)]
    stated_at = time.monotonic()
    fleet.call_for(1.5)
    assert max(endpoint.arrivals.values()) > stated_at + 1.0


def _count_most_arrivals_in_pauses(endpoint, vm, pause_seconds):
    """Returns the largest number of a VM's requests in any of its pauses.

    A pause begins with each arrival, which is answered at once; the first half
    second does not count.
    """
    times = [
        time for attempt_id, time in endpoint.arrivals.items()
        if attempt_id.startswith(vm.name)
    ]
    return max(
        sum(start + 0.5 < each < start + pause_seconds
            for each in times)
        for start in times)


@pytest.mark.parametrize(("service", "path"), [("api", "/post/20"),
                                               ("engine", "/stream/2/10")])
def test_endpoint_that_asks_for_a_pause_gets_no_requests_during_it(
        fleet, service, path):
    full = fleet.endpoints[service][0]
    full.is_full = True
    full.stated_headers = [("Retry-After", "2.5")]
    outcomes = fleet.call_for(6.0, path)
    assert {each.status for each in outcomes} == {200}
    for vm in fleet.vms:
        assert _count_most_arrivals_in_pauses(full, vm, 2.5) <= 2
    # A pause ends: some VM has tried again.
    assert len(full.arrivals) > len(fleet.vms)


def test_request_is_refused_at_once_if_all_endpoints_ask_for_a_pause(fleet):
    for endpoint in fleet.endpoints["api"]:
        endpoint.is_full = True
        endpoint.stated_headers = [("Retry-After", "4")]
    fleet.call_for(0.5)
    outcomes = fleet.call_for(1.0)
    assert {each.status for each in outcomes} == {503}
    assert max(each.seconds for each in outcomes) < 0.2
    assert min(each.retry_after for each in outcomes) > 2.0
