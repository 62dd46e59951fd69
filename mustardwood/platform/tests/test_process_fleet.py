"""Tests of leaving endpoints and kept connections with real processes."""

from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet


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
