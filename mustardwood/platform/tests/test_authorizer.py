"""Tests of the check of API keys at each send, and of denials."""

import http

import pytest

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import authorizer
from mustardwood.platform import configuration_decoder

ms = harness_module.ms


class _FakeWatcher:

    def __init__(self, keys):
        organisation = dispatch.Organisation("organisation", frozenset(keys))
        self.configuration = configuration_decoder.Configuration(
            dispatch.RouteTable(7, (), (organisation,)), None)


def _make(keys=("key",), fails_closed=True):
    clock = timing.ManualClock()
    proof = dispatch.FreshnessProof(clock, ms(5000), ms(500))
    proof.record(clock.monotonic())
    return clock, authorizer.Authorizer(_FakeWatcher(keys), proof, fails_closed,
                                        ms(2000))


def _check(checker, **changes):
    harness = harness_module.Harness()
    found = checker.find_denial(harness_module.make_request(harness, **changes))
    return None if found is None else int(found.status)


def test_valid_key_is_accepted_while_the_proof_is_current():
    _, checker = _make()
    assert _check(checker) is None


def test_valid_key_is_refused_when_the_proof_is_too_old():
    clock, checker = _make()
    clock.advance(ms(4500))
    assert _check(checker) == 503


def test_removed_key_is_unauthorized():
    _, checker = _make(keys=())
    assert _check(checker) == 401


def test_key_that_moved_to_another_organisation_is_unauthorized():
    _, checker = _make()
    assert _check(checker, organisation="other") == 401


def test_request_without_a_key_needs_no_proof():
    clock, checker = _make()
    clock.advance(ms(60_000))
    assert _check(checker, api_key="") is None


def test_key_is_accepted_with_an_old_proof_unless_it_fails_closed():
    clock, checker = _make(fails_closed=False)
    clock.advance(ms(60_000))
    assert _check(checker) is None
    checker.set_bounds(True, ms(2000))
    assert _check(checker) == 503


def test_description_holds_version_and_age_of_the_proof():
    clock, checker = _make()
    clock.advance(ms(300))
    assert checker.describe() == {"version": 7, "proof_age_ms": 300}


@pytest.mark.parametrize("status", [401, 403, 404])
def test_vm_that_may_be_behind_does_not_deny_what_it_does_not_know(status):
    # A route or key that was added is unknown to it.
    clock, checker = _make()
    refusal = dispatch.Refusal(http.HTTPStatus(status), "Unknown.")
    clock.advance(ms(1999))
    assert checker.confirm_refusal(refusal) is refusal
    clock.advance(ms(1))
    confirmed = checker.confirm_refusal(refusal)
    assert confirmed.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    assert "Unknown." in confirmed.message
    assert confirmed.retry_after


def test_other_refusals_need_no_proof():
    clock, checker = _make()
    clock.advance(ms(60_000))
    refusal = dispatch.Refusal(http.HTTPStatus.BAD_REQUEST, "No id.")
    assert checker.confirm_refusal(refusal) is refusal


def test_key_that_is_unknown_with_an_old_proof_may_be_a_new_one():
    clock, checker = _make(keys=())
    clock.advance(ms(2500))
    assert _check(checker) == 503
