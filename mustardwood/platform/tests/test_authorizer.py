"""Whether keys are honoured at the moment of a send."""

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import authorizer
from mustardwood.platform import configuration_decoder

ms = harness_module.ms


class _Follower:

    def __init__(self, keys):
        organisation = dispatch.Organisation("organisation", frozenset(keys))
        self.configuration = configuration_decoder.Configuration(
            dispatch.RouteTable(7, (), (organisation,)), None)


def _make(keys=("key",), fails_closed=True):
    clock = timing.ManualClock()
    proof = dispatch.FreshnessProof(clock, ms(5000), ms(500))
    proof.record(clock.monotonic())
    return clock, authorizer.Authorizer(_Follower(keys), proof, fails_closed)


def _check(checker, **changes):
    harness = harness_module.Harness()
    found = checker.find_denial(harness_module.make_request(harness, **changes))
    return None if found is None else int(found.status)


def test_known_key_with_a_young_proof_is_honoured():
    _, checker = _make()
    assert _check(checker) is None


def test_key_without_a_young_proof_is_refused_as_not_run():
    clock, checker = _make()
    clock.advance(ms(4500))
    assert _check(checker) == 503


def test_key_that_was_taken_away_is_unauthorized():
    _, checker = _make(keys=())
    assert _check(checker) == 401


def test_key_that_moved_to_another_organisation_is_unauthorized():
    _, checker = _make()
    assert _check(checker, organisation="other") == 401


def test_routes_without_keys_need_no_proof():
    clock, checker = _make()
    clock.advance(ms(60_000))
    assert _check(checker, api_key="") is None


def test_open_deployment_honours_keys_without_a_proof():
    clock, checker = _make(fails_closed=False)
    clock.advance(ms(60_000))
    assert _check(checker) is None
    checker.set_fails_closed(True)
    assert _check(checker) == 503


def test_log_names_version_and_age_of_the_proof():
    clock, checker = _make()
    clock.advance(ms(300))
    assert checker.describe() == {"version": 7, "proof_age_ms": 300}
