"""Tests of the check of API keys at each send."""

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
    return clock, authorizer.Authorizer(_FakeWatcher(keys), proof, fails_closed)


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
    checker.set_fails_closed(True)
    assert _check(checker) == 503


def test_description_holds_version_and_age_of_the_proof():
    clock, checker = _make()
    clock.advance(ms(300))
    assert checker.describe() == {"version": 7, "proof_age_ms": 300}
