"""Tests of the endpoint directory and of the freshness proof."""

import dataclasses
import datetime

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def _make_directory():
    clock = timing.ManualClock()
    directory = dispatch.EndpointDirectory(
        clock, dispatch.EndpointNotices("vm-1", clock))
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


def _list_usable(directory):
    return [each.name for each in directory.list_usable("engine")]


def test_endpoints_that_a_copy_lacks_stay_until_the_grace_period_ends():
    clock, directory = _make_directory()
    directory.record_store_restore()
    directory.keep_only({"endpoint-1"})
    assert len(_list_usable(directory)) == 2
    clock.advance(ms(2300))
    assert _list_usable(directory) == ["endpoint-1"]


def test_leaving_endpoint_stays_so_when_a_copy_shows_it_as_ready():
    clock, directory = _make_directory()
    directory.set_endpoint(harness_module.make_endpoint(0, is_leaving=True))
    directory.record_store_restore()
    ready = harness_module.make_endpoint(0)
    assert directory.find_restore_conflict(ready)
    assert not directory.set_endpoint(ready, is_confirmed=False)
    clock.advance(ms(60_000))
    assert _list_usable(directory) == ["endpoint-1"]
    directory.set_endpoint(ready)
    assert len(_list_usable(directory)) == 2


def test_restarted_endpoint_in_a_copy_is_used_at_once():
    _, directory = _make_directory()
    directory.set_endpoint(harness_module.make_endpoint(0, is_leaving=True))
    directory.record_store_restore()
    directory.set_endpoint(dataclasses.replace(harness_module.make_endpoint(0),
                                               started=9),
                           is_confirmed=False)
    assert len(_list_usable(directory)) == 2


def test_removed_endpoint_in_a_copy_is_used_once_it_has_written_again():
    _, directory = _make_directory()
    directory.remove_endpoint("endpoint-0")
    directory.record_store_restore()
    directory.set_endpoint(harness_module.make_endpoint(0), is_confirmed=False)
    assert _list_usable(directory) == ["endpoint-1"]
    directory.set_endpoint(harness_module.make_endpoint(0), is_confirmed=True)
    assert len(_list_usable(directory)) == 2


def test_removed_endpoint_in_a_copy_is_used_once_its_registration_has_lasted():
    clock, directory = _make_directory()
    directory.remove_endpoint("endpoint-0")
    directory.record_store_restore()
    directory.set_endpoint(harness_module.make_endpoint(0), is_confirmed=False)
    clock.advance(ms(6000))
    directory.record_store_recovery()
    clock.advance(ms(6000))
    assert _list_usable(directory) == ["endpoint-1"]
    clock.advance(ms(5000))
    assert len(_list_usable(directory)) == 2


def test_endpoint_whose_removal_was_pending_is_used_when_a_copy_shows_it():
    _, directory = _make_directory()
    directory.record_store_recovery()
    directory.remove_endpoint("endpoint-0")
    directory.record_store_restore()
    directory.set_endpoint(harness_module.make_endpoint(0), is_confirmed=False)
    assert len(_list_usable(directory)) == 2


def test_earlier_start_of_an_endpoint_in_a_copy_is_ignored():
    _, directory = _make_directory()
    restarted = dataclasses.replace(harness_module.make_endpoint(0), started=9)
    directory.set_endpoint(restarted)
    directory.record_store_restore()
    assert not directory.set_endpoint(harness_module.make_endpoint(0),
                                      is_confirmed=False)
    assert directory.find_endpoint("endpoint-0") == restarted


def test_endpoint_that_a_copy_lacked_is_used_when_the_next_copy_shows_it():
    clock, directory = _make_directory()
    directory.record_store_restore()
    directory.keep_only(set(), registered_since={"endpoint-0"})
    clock.advance(ms(2300))
    assert not _list_usable(directory)
    directory.record_store_restore()
    for index in range(2):
        directory.set_endpoint(harness_module.make_endpoint(index),
                               is_confirmed=False)
    assert _list_usable(directory) == ["endpoint-0"]


def test_leaving_endpoint_that_a_copy_lacked_stays_unused():
    clock, directory = _make_directory()
    directory.set_endpoint(harness_module.make_endpoint(0, is_leaving=True))
    directory.record_store_restore()
    directory.keep_only({"endpoint-1"}, registered_since={"endpoint-0"})
    clock.advance(ms(2300))
    assert directory.find_endpoint("endpoint-0") is None
    directory.record_store_restore()
    directory.set_endpoint(harness_module.make_endpoint(0), is_confirmed=False)
    assert _list_usable(directory) == ["endpoint-1"]
