"""Tests of rate limits that endpoints state, shared between VMs."""

import random

import pytest

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_WINDOW = ms(4000)
"""Time in which the number of requests is bounded."""
_STEP = ms(10)
"""Interval at which each VM tries to send."""
_ENDPOINT = harness_module.make_endpoint(0)


def _find_bound(limit):
    """Returns how many requests an endpoint may get in `_WINDOW`."""
    return 1.5 * 4 * limit + 5


class _Fleet:
    """VMs that always have requests for one endpoint, in virtual time.

    Attributes:
        sent: Monotonic times at which requests were sent.
    """

    def __init__(self, count, seed=1):
        self.clock = timing.ManualClock()
        self.rng = random.Random(seed)
        self.names = [f"vm-{index}" for index in range(count)]
        self.vms = {name: self._make_vm(name) for name in self.names}
        self.sent = []
        self.limit = None

    def _make_vm(self, name):
        return dispatch.EndpointRateLimits(name, self.clock, lambda: self.names)

    def restart(self, name):
        """Replaces a VM by one that knows nothing."""
        self.vms[name] = self._make_vm(name)

    def state(self, limit, told=None):
        """Lets the endpoint state a limit to some VMs, or to all."""
        self.limit = limit
        for name in self.vms if told is None else told:
            self._respond(self.vms[name])

    def _respond(self, limits):
        limits.record_response(_ENDPOINT, dispatch.RateStatement(self.limit),
                               True)

    def run(self, seconds):
        """Lets all VMs send what they may, and report to each other."""
        for step in range(int(seconds * 1000 / 10)):
            order = list(self.vms.values())
            self.rng.shuffle(order)
            for limits in order:
                if limits.list_allowed([_ENDPOINT], 0):
                    limits.record_send(_ENDPOINT)
                    self.sent.append(self.clock.monotonic())
                    self._respond(limits)
            if step % 25 == 0:
                self.exchange_reports()
            self.clock.advance(_STEP)

    def exchange_reports(self):
        """Lets each VM report to all others."""
        for sender, limits in list(self.vms.items()):
            for report in limits.list_reports():
                for name, receiver in self.vms.items():
                    if name != sender:
                        receiver.record_peer_report(sender, report)

    def count_most_sent(self, since):
        """Returns the largest number of requests in any window."""
        times = [each for each in self.sent if each >= since]
        most, first = 0, 0
        for last, time in enumerate(times):
            while time - times[first] > _WINDOW:
                first += 1
            most = max(most, last - first + 1)
        return most


@pytest.mark.parametrize("vms", [1, 9, 60, 400])
@pytest.mark.parametrize("limit", [0.0, 0.3, 2.3, 2.8, 7.5, 40.0])
def test_vms_together_keep_within_a_limit_and_use_most_of_it(vms, limit):
    fleet = _Fleet(vms)
    fleet.state(limit)
    seconds = 3 if vms == 400 else 12
    fleet.run(seconds)
    assert fleet.count_most_sent(ms(0)) <= _find_bound(limit)
    assert len(fleet.sent) >= 0.7 * limit * (seconds - 1) - 2


def test_peers_tell_each_other_of_a_limit():
    fleet = _Fleet(9)
    fleet.state(2.3, told=["vm-3"])
    fleet.exchange_reports()
    known_at = fleet.clock.monotonic()
    fleet.run(12)
    assert fleet.count_most_sent(known_at) <= _find_bound(2.3)


@pytest.mark.parametrize("seed", range(5))
def test_limit_is_kept_while_vms_restart_and_change(seed):
    fleet = _Fleet(9, seed)
    fleet.state(2.3)
    for index in range(20):
        fleet.run(1)
        if index % 2:
            fleet.names.remove(fleet.rng.choice(fleet.names))
            fleet.names.append(f"vm-new-{index}")
            fleet.vms = {
                name:
                    fleet.vms.get(name)
                    or fleet._make_vm(name)  # pylint: disable=protected-access
                for name in fleet.names
            }
        else:
            fleet.restart(fleet.rng.choice(fleet.names))
        fleet.exchange_reports()
        # A new VM learns of the limit by its first response.
        for limits in fleet.vms.values():
            fleet._respond(limits)  # pylint: disable=protected-access
    assert fleet.count_most_sent(ms(0)) <= _find_bound(2.3)


def test_endpoint_that_accepts_nothing_is_probed_now_and_then():
    fleet = _Fleet(9)
    fleet.state(0.0)
    fleet.run(65)
    assert 4 <= len(fleet.sent) <= 7
    fleet.limit = None
    fleet.run(12)
    assert not any(each.limited_count for each in fleet.vms.values())


def test_all_vms_learn_that_a_limit_has_ended():
    fleet = _Fleet(60)
    fleet.state(1.0)
    fleet.run(2)
    fleet.limit = None
    fleet.run(4)
    assert not any(each.limited_count for each in fleet.vms.values())


def test_newer_statement_wins_whichever_arrives_last():
    clock = timing.ManualClock()
    limits = dispatch.EndpointRateLimits("vm", clock, lambda: ())
    clock.advance(ms(10_000))
    limits.record_response(_ENDPOINT, dispatch.RateStatement(3.0), True)
    limits.record_peer_report(
        "peer", dispatch.RateReport(_ENDPOINT.incarnation, None, ms(500)))
    assert limits.find_limit(_ENDPOINT) == 3.0
    clock.advance(ms(1000))
    limits.record_peer_report(
        "peer", dispatch.RateReport(_ENDPOINT.incarnation, None, ms(500)))
    assert limits.find_limit(_ENDPOINT) is None


def test_limit_ends_with_a_restart_under_the_same_name():
    clock = timing.ManualClock()
    limits = dispatch.EndpointRateLimits("vm", clock, lambda: ())
    limits.record_response(_ENDPOINT, dispatch.RateStatement(0.0), True)
    restarted = harness_module.make_endpoint(0, started=1)
    assert not limits.list_allowed([_ENDPOINT], 0)
    assert limits.list_allowed([restarted], 0)


def test_unverified_response_without_a_limit_does_not_end_it():
    limits = dispatch.EndpointRateLimits("vm", timing.ManualClock(), lambda: ())
    limits.record_response(_ENDPOINT, dispatch.RateStatement(2.0), False)
    limits.record_response(_ENDPOINT, dispatch.RateStatement(), False)
    assert limits.find_limit(_ENDPOINT) == 2.0


def test_unreadable_statement_changes_nothing_and_is_reported_once():
    problems = []
    limits = dispatch.EndpointRateLimits(
        "vm",
        timing.ManualClock(),
        lambda: (),
        on_problem=lambda *problem: problems.append(problem))
    limits.record_response(_ENDPOINT, dispatch.RateStatement(2.0), True)
    for _ in range(3):
        limits.record_response(_ENDPOINT,
                               dispatch.RateStatement(problem="no number"),
                               True)
    assert problems == [(_ENDPOINT.incarnation, "no number")]
    assert limits.find_limit(_ENDPOINT) == 2.0


def test_less_urgent_requests_yield_to_one_that_waits():
    fleet = _Fleet(1)
    fleet.state(2.0)
    limits = fleet.vms["vm-0"]
    assert not limits.list_allowed([_ENDPOINT], 0)
    for _ in range(50):
        fleet.clock.advance(_STEP)
        if limits.list_allowed([_ENDPOINT], 0):
            break
        assert not limits.list_allowed([_ENDPOINT], 3)
    limits.record_send(_ENDPOINT)
    fleet.clock.advance(ms(600))
    assert limits.list_allowed([_ENDPOINT], 3)


def _limit_endpoints(harness, count, limit):
    for index in range(count):
        harness.rate_limits.record_response(harness_module.make_endpoint(index),
                                            dispatch.RateStatement(limit), True)


def test_requests_beyond_the_limit_go_to_other_endpoints():
    harness = harness_module.Harness(endpoints=3)
    _limit_endpoints(harness, 1, 2.0)
    for _ in range(100):
        _, caller = harness.start()
        attempt = harness.client.sent[-1]
        is_limited = attempt.endpoint.name == "endpoint-0"
        attempt.begin(rate=dispatch.RateStatement(2.0 if is_limited else None))
        attempt.listener.receive_data(b"whole")
        attempt.listener.receive_end()
        assert caller.status == 200
        harness.scheduler.advance(_STEP)
    names = [each.endpoint.name for each in harness.client.sent]
    assert 1 <= names.count("endpoint-0") <= 3


def test_request_waits_while_all_endpoints_are_at_their_limits():
    harness = harness_module.Harness(endpoints=2)
    _limit_endpoints(harness, 2, 5.0)
    _, caller = harness.start()
    assert not harness.client.sent
    harness.scheduler.advance(ms(250))
    harness.client.sent[-1].respond(body=b"whole")
    assert caller.status == 200


def test_request_without_a_chance_is_refused_at_once():
    """Other VMs have all shares of the limits."""
    harness = harness_module.Harness(endpoints=2)
    harness.vms.extend(f"vm-{index}" for index in range(2, 400))
    _limit_endpoints(harness, 2, 0.5)
    _, caller = harness.start()
    assert caller.status == 503
    assert not harness.client.sent


def test_misdirected_request_says_nothing_of_a_limit():
    harness = harness_module.Harness(endpoints=1)
    harness.start()
    harness.client.sent[-1].begin(status=421,
                                  not_run=True,
                                  rate=dispatch.RateStatement(1.0))
    assert not harness.rate_limits.limited_count


def test_rejected_request_may_state_a_limit():
    harness = harness_module.Harness(endpoints=1)
    harness.start()
    harness.client.sent[-1].begin(status=503,
                                  verified=False,
                                  not_run=True,
                                  rate=dispatch.RateStatement(1.0))
    assert harness.rate_limits.limited_count == 1
