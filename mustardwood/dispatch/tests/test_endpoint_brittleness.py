"""Tests of endpoints that fail if they turn too many requests away."""

import collections
import datetime
import random

import pytest

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_SLOTS = 6
_REFUSED = {"status": 503, "not_run": True}


def _refuse(harness, max_refusals=2):
    """Lets the only endpoint turn a request away; returns its caller."""
    _, caller = harness.start()
    harness.client.sent[-1].respond(max_refusals=max_refusals, **_REFUSED)
    return caller


@pytest.mark.parametrize("vms, seconds", [(1, 0.5), (9, 4.5)])
def test_refusal_of_a_brittle_endpoint_keeps_this_vm_away_for_its_part(
        vms, seconds):
    harness = harness_module.Harness(endpoints=1)
    harness.vm_count = vms
    assert _refuse(harness).status == 503
    usable = harness.list_usable()
    harness.clock.advance(datetime.timedelta(seconds=seconds - 0.01))
    assert not harness.pauses.list_allowed(usable)
    harness.clock.advance(datetime.timedelta(seconds=5 * seconds + 1))
    assert harness.pauses.list_allowed(usable)


def test_refusal_of_another_endpoint_keeps_nobody_away():
    harness = harness_module.Harness(endpoints=1)
    _refuse(harness, max_refusals=None)
    assert harness.pauses.list_allowed(harness.list_usable())


def test_brittle_endpoint_gets_no_more_requests_than_it_has_slots():
    """Its queue may be shorter than it was; the requests wait here."""
    harness = harness_module.Harness(endpoints=1, slots=_SLOTS)
    harness.start()
    harness.client.sent[0].begin(max_refusals=2)
    for _ in range(2 * _SLOTS):
        harness.start()
    assert len(harness.client.sent) == _SLOTS
    harness.client.sent[0].respond(max_refusals=2)
    harness.scheduler.advance(ms(20))
    assert len(harness.client.sent) == _SLOTS + 1


def test_endpoint_that_is_not_brittle_any_more_gets_requests_as_before():
    harness = harness_module.Harness(endpoints=1, slots=1)
    harness.start()
    harness.client.sent[0].begin(max_refusals=2)
    harness.start()
    assert len(harness.client.sent) == 1
    harness.client.sent[0].respond()
    harness.scheduler.advance(ms(20))
    harness.start()
    assert len(harness.client.sent) == 3


def test_statement_of_an_endpoint_that_is_not_heard_expires():
    harness = harness_module.Harness(endpoints=1, slots=1)
    changes = []
    brittleness = dispatch.EndpointBrittleness(
        harness.clock, harness.pauses, lambda: 1, random.Random(1),
        lambda *change: changes.append(change))
    endpoint, = harness.list_usable()
    brittleness.record_response(endpoint, 3, False)
    brittleness.record_response(endpoint, 3, False)
    assert not brittleness.has_room(endpoint, 1)
    harness.clock.advance(ms(10_000))
    assert brittleness.has_room(endpoint, 1)
    assert changes == [(endpoint.incarnation, 3), (endpoint.incarnation, None)]


class _Vm:
    """Sends requests to one endpoint, with loads of peers that are old."""

    def __init__(self, name, clock, vms):
        notices = dispatch.EndpointNotices(name, clock)
        self.pauses = dispatch.EndpointPauses(clock, random.Random(name),
                                              notices)
        self.brittleness = dispatch.EndpointBrittleness(clock, self.pauses,
                                                        lambda: vms,
                                                        random.Random(name))
        self.running = []
        self.reported = 0


@pytest.mark.parametrize("vms, max_refusals", [(9, 4), (60, 8), (86, 20)])
def test_all_vms_together_keep_the_refusals_of_an_endpoint_within_its_bound(
        vms, max_refusals):
    """Ten times as many requests arrive as the endpoint can run."""
    clock, rng = timing.ManualClock(), random.Random(vms)
    endpoint = harness_module.make_endpoint(0, _SLOTS)
    fleet = [_Vm(f"vm-{number}", clock, vms) for number in range(vms)]
    refusals = collections.Counter()
    for tick in range(2000):
        now = clock.monotonic()
        if tick % 50 == 0:
            for each in fleet:
                each.reported = len(each.running)
        for vm in rng.sample(fleet, vms):
            vm.running = [end for end in vm.running if end > now]
            known = len(vm.running) + sum(
                each.reported for each in fleet if each is not vm)
            if (not vm.pauses.list_allowed([endpoint]) or
                    not vm.brittleness.has_room(endpoint, known) or
                    rng.random() > 6 / vms):
                continue
            vm.pauses.record_send(endpoint)
            is_full = sum(len(each.running) for each in fleet) >= _SLOTS + 1
            if is_full:
                refusals[tick // 100] += 1
            else:
                vm.running.append(now + ms(100))
            vm.brittleness.record_response(endpoint, max_refusals, is_full)
        clock.advance(ms(10))
    late = [count for second, count in refusals.items() if second >= 3]
    assert max(late, default=0) <= max_refusals
