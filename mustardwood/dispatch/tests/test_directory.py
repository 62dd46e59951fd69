"""Tests of the endpoint directory and of the freshness proof."""

import datetime

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def _make_directory():
    clock = timing.ManualClock()
    directory = dispatch.EndpointDirectory(clock)
    for index in range(2):
        directory.set_endpoint(harness_module.make_endpoint(index))
    return clock, directory


def test_removal_takes_effect_immediately_without_a_store_outage():
    _, directory = _make_directory()
    assert directory.remove_endpoint("endpoint-0")
    assert [each.name for each in directory.list_usable("engine")
           ] == ["endpoint-1"]


def test_expired_registrations_stay_until_the_grace_period_ends():
    clock, directory = _make_directory()
    directory.record_store_recovery()
    directory.remove_endpoint("endpoint-0")
    directory.remove_endpoint("endpoint-1")
    clock.advance(ms(1000))
    directory.set_endpoint(harness_module.make_endpoint(1))
    assert len(directory.list_usable("engine")) == 2
    clock.advance(ms(1500))
    assert [each.name for each in directory.list_usable("engine")
           ] == ["endpoint-1"]


def test_leaving_endpoint_gets_no_new_requests():
    _, directory = _make_directory()
    directory.set_endpoint(harness_module.make_endpoint(0, is_leaving=True))
    assert [each.name for each in directory.list_usable("engine")
           ] == ["endpoint-1"]
    assert directory.find_endpoint("endpoint-0") is not None


def test_keep_only_removes_the_endpoints_missing_in_a_listing():
    _, directory = _make_directory()
    assert directory.keep_only({"endpoint-1"}) == ["endpoint-0"]
    assert len(directory.list_usable("engine")) == 1


def test_proof_age_is_counted_from_the_request_to_the_store():
    clock = timing.ManualClock()
    proof = dispatch.FreshnessProof(clock, datetime.timedelta(seconds=5),
                                    ms(500))
    assert not proof.is_current()
    asked = clock.monotonic()
    clock.advance(ms(2000))
    proof.record(asked)
    assert proof.get_age() == ms(2000)
    clock.advance(ms(2499))
    assert proof.is_current()
    clock.advance(ms(1))
    assert not proof.is_current()


def test_older_proof_does_not_replace_a_newer_one():
    clock = timing.ManualClock()
    proof = dispatch.FreshnessProof(clock, datetime.timedelta(seconds=5),
                                    ms(500))
    clock.advance(ms(3000))
    proof.record(ms(2500))
    proof.record(ms(1000))
    assert proof.get_age() == ms(500)
