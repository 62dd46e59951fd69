"""Tests of rate limits that endpoints state, with real processes."""

import concurrent.futures
import itertools
import time

import pytest

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

pytestmark = pytest.mark.processes

_WINDOW_SECONDS = 4.0
"""Time in which the number of requests is bounded."""
_LIMIT_TOLERANCE = 1.5
"""Factor by which an endpoint may get more requests than its limit allows."""
_SPARE_REQUESTS = 5
"""Number of requests in excess of that."""


def _count_most_arrivals(endpoint, since):
    """Returns the largest number of arrivals in any window after a time."""
    times = sorted(each for each in endpoint.arrivals.values() if each >= since)
    return max((sum(start <= each <= start + _WINDOW_SECONDS
                    for each in times)
                for start in times),
               default=0)


class _Fleet:
    """A store, endpoints of one service, and three VMs."""

    def __init__(self, folder):
        store = fake_servers.FakeStore()
        document = documents.make_document()
        document["routes"][1]["backends"] = [{"service": "api", "weight": 1}]
        store.put("op/config", document)
        self.endpoints = []
        for index in range(3):
            endpoint = fake_servers.FakeEndpoint()
            self.endpoints.append(endpoint)
            store.put(
                f"servers/i-{index}",
                documents.make_registration(slots=64, address=endpoint.address))
        self.vms = [
            process_fleet.Vm(folder, f"vm-{index}", store) for index in range(3)
        ]

    def call_for(self, seconds, is_done=lambda: False):
        """Sends requests at all VMs, about 30 a second at each.

        Returns:
            The outcomes.
        """
        until = time.monotonic() + seconds

        def call(vm, prefix):
            caller = process_fleet.Caller(vm, f"{prefix}-{time.monotonic()}")
            outcomes = []
            while time.monotonic() < until and not is_done():
                outcomes.append(caller.call("/post/20"))
                if not caller.may_reuse:
                    break
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


def test_vms_together_keep_within_the_limit_that_an_endpoint_states(fleet):
    limited, *others = fleet.endpoints
    fleet.call_for(1.0)
    limited.rate_limit = "2.3"
    stated_at = time.monotonic()
    outcomes = fleet.call_for(process_fleet.CONTACT_SECONDS + 8.0)
    assert {each.status for each in outcomes} == {200}
    most = _count_most_arrivals(limited,
                                stated_at + process_fleet.CONTACT_SECONDS)
    assert most <= 2.3 * _WINDOW_SECONDS * _LIMIT_TOLERANCE + _SPARE_REQUESTS
    assert most >= 2.3 * _WINDOW_SECONDS / 2
    assert all(len(each.arrivals) > 100 for each in others)
    assert all(vm.find_events("rate_limit") for vm in fleet.vms)


def test_endpoint_that_states_no_limit_any_more_gets_its_share_again(fleet):
    limited = fleet.endpoints[0]
    limited.rate_limit = "2.0"
    fleet.call_for(4.0)
    limited.rate_limit = None
    fleet.call_for(3.0)
    freed_at = time.monotonic()
    fleet.call_for(2.0)
    assert _count_most_arrivals(limited, freed_at) > 20
