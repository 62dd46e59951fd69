"""Tests of profiles that are learned from responses."""

import dataclasses
import datetime
import math
import random

import pytest

from mustardwood import profiles
from mustardwood import timing

_FAST = profiles.EngineProfile(prefill_rate=140_000.0,
                               base_time=0.055,
                               step_time=0.0022,
                               stream_step_time=0.00005,
                               context_step_time=0.0000175,
                               chunk_time=2_048 / 140_000.0,
                               output_share=0.4)


class _Case:
    """A table of profiles, fed with the responses of modelled engines."""

    def __init__(self):
        self.clock = timing.ManualClock()
        self.changes = []
        self.rejections = []
        self.table = profiles.EngineProfiles(
            self.clock, self.changes.append,
            lambda peer, problem: self.rejections.append((peer, problem)))
        self._rng = random.Random(3)

    def make_engine(self, number=0, version="v1"):
        """Returns an engine of the service."""
        return profiles.ProfiledEngine("engines", f"engine-{number}/1", version)

    def run(self, truth, seconds, engine=None, event_tokens=9):
        """Feeds ten gaps and two first events in each second."""
        engine = engine or self.make_engine()
        for step in range(round(seconds * 10)):
            self.clock.advance(datetime.timedelta(milliseconds=100))
            requests = self._rng.randrange(1, 32)
            state = profiles.EngineState(
                requests, requests * self._rng.randrange(1_000, 9_000), 0, 32)
            is_prefilling = not step % 4
            elapsed = event_tokens * (truth.find_step_time(
                requests, state.held_tokens) + is_prefilling * truth.chunk_time)
            self.table.record_events(engine, event_tokens, state, is_prefilling,
                                     datetime.timedelta(seconds=elapsed))
            if not step % 5:
                tokens = self._rng.choice((600, 1_800, 6_600))
                self.table.record_first_event(
                    engine, tokens, 0, profiles.EngineState(requests, 0, 0, 32),
                    truth.estimate_first_token(tokens, requests))
                self.table.record_end(engine, round(500 * truth.output_share),
                                      500)


def test_engine_without_samples_has_the_prior():
    case = _Case()
    assert case.table.find_profile("engines", "x") == profiles.PRIOR


def test_profile_is_learned_with_a_wrong_prior():
    # With the prior, demand is overestimated by a factor of three, and tiers
    # are refused while engines are half empty.
    case = _Case()
    case.run(_FAST, 10)
    found = case.table.find_profile("engines", "engine-7/1")
    assert found.prefill_rate == pytest.approx(_FAST.prefill_rate, rel=0.1)
    assert found.base_time == pytest.approx(_FAST.base_time, rel=0.15)
    for requests, held in ((4, 20_000), (24, 150_000)):
        assert found.estimate_step(requests,
                                   held).total_seconds() == pytest.approx(
                                       _FAST.find_step_time(requests, held),
                                       rel=0.1)
    assert found.chunk_time == pytest.approx(_FAST.chunk_time, rel=0.15)
    assert found.output_share == pytest.approx(0.4, abs=0.15)
    assert found.step_error < 0.1 and found.prefill_error < 0.3


def test_third_of_the_engines_that_is_slower_has_its_own_profile():
    case = _Case()
    for _ in range(20):
        for number in range(3):
            truth = _FAST.slow_down(1.3) if number == 2 else _FAST
            case.run(truth, 0.5, case.make_engine(number))
    fast, other, slow = [
        case.table.find_profile("engines", f"engine-{number}/1")
        for number in range(3)
    ]
    assert slow.prefill_rate < 0.87 * fast.prefill_rate
    assert slow.estimate_step(8, 0) > 1.15 * fast.estimate_step(8, 0)
    assert other.prefill_rate == pytest.approx(fast.prefill_rate, rel=0.07)


def test_learning_starts_again_with_other_software():
    case = _Case()
    case.run(_FAST, 5)
    case.run(_FAST.slow_down(4.0), 5, case.make_engine(1))
    slow = case.table.find_profile("engines", "engine-1/1")
    assert slow.slowdown > 2.0
    case.run(_FAST, 0.1, case.make_engine(1, "v2"))
    assert case.table.find_profile("engines", "engine-1/1").slowdown < 1.2
    assert profiles.ChangeKind.RESTART in [each.kind for each in case.changes]
    # A restarted engine has another incarnation, which is not known.
    assert case.table.find_profile("engines", "engine-1/2").slowdown == 1.0


def test_changes_are_reported_and_not_repeated():
    # A line for each new estimate would be four in a second and service.
    case = _Case()
    case.run(_FAST, 90)
    kinds = {each.kind for each in case.changes}
    assert kinds == {profiles.ChangeKind.SERVICE}
    assert len(case.changes) <= 8
    case.changes.clear()
    case.run(_FAST, 60)
    assert len(case.changes) <= 1


def test_impossible_samples_do_not_count():
    case = _Case()
    engine, state = case.make_engine(), profiles.EngineState(1, 0, 0, 8)
    for elapsed in (0.0, -1.0, 3600.0):
        case.table.record_events(engine, 9, state, False,
                                 datetime.timedelta(seconds=elapsed))
    case.table.record_events(engine, 0, state, False, datetime.timedelta(1))
    case.table.record_first_event(engine, 100, 0, state, datetime.timedelta())
    case.table.record_end(engine, 5, 0)
    case.clock.advance(datetime.timedelta(seconds=1))
    assert case.table.find_profile("engines") == profiles.PRIOR


def test_values_stay_within_bounds_with_nonsense_samples():
    case = _Case()
    rng = random.Random(6)
    for _ in range(2_000):
        case.clock.advance(datetime.timedelta(milliseconds=20))
        state = profiles.EngineState(rng.randrange(10**6), rng.randrange(10**9),
                                     0, rng.randrange(1, 99))
        elapsed = datetime.timedelta(seconds=10**rng.uniform(-6, 1))
        case.table.record_events(case.make_engine(), rng.randrange(1, 10**6),
                                 state,
                                 rng.random() < 0.5, elapsed)
        case.table.record_first_event(case.make_engine(), rng.randrange(10**7),
                                      0, state, elapsed)
        found = case.table.find_profile("engines")
        report = profiles.ProfileReport("engines", found, 1.0, 1.0, 1.0)
        assert not report.find_problem()
        assert case.table.find_profile("engines", "engine-0/1").prefill_rate > 0


def test_vm_that_starts_knows_what_its_peers_have_learned():
    old, new = _Case(), _Case()
    old.run(_FAST, 20)
    new.table.set_peer_reports("vm-1", old.table.list_reports())
    found = new.table.find_profile("engines", "engine-0/1")
    assert found.prefill_rate > 100_000.0
    assert found.estimate_step(8, 0) < datetime.timedelta(milliseconds=3.2)
    assert found.output_share < 0.6
    # It reports only what it has learned itself, or errors would circulate.
    assert not new.table.list_reports()


def test_wrong_report_of_one_peer_does_not_count_beside_two_others():
    case = _Case()
    for name, rate in (("vm-1", 90_000.0), ("vm-2", 92_000.0), ("vm-3",
                                                                900_000.0)):
        case.table.set_peer_reports(name, [_make_report(prefill_rate=rate)])
    assert case.table.find_profile("engines").prefill_rate == pytest.approx(
        92_000.0, rel=0.02)


@pytest.mark.parametrize("changes", (
    {
        "prefill_rate": math.nan
    },
    {
        "prefill_rate": 0.0
    },
    {
        "step_time": math.inf
    },
    {
        "step_time": -1.0
    },
    {
        "output_share": 7.0
    },
))
def test_impossible_report_of_a_peer_is_ignored_with_one_log_line(changes):
    case = _Case()
    for _ in range(3):
        case.table.set_peer_reports("vm-1", [_make_report(**changes)])
    assert [peer for peer, _ in case.rejections] == ["vm-1"]
    assert case.table.rejection_count == 3
    assert case.table.find_profile("engines") == profiles.PRIOR
    case.table.set_peer_reports("vm-1", [_make_report()])
    case.table.set_peer_reports("vm-1", [_make_report(**changes)])
    assert len(case.rejections) == 2


def test_report_has_a_limited_size():
    case = _Case()
    for number in range(400):
        engine = profiles.ProfiledEngine(f"service-{number}", "engine/1")
        for _ in range(20):
            case.clock.advance(datetime.timedelta(milliseconds=100))
            case.table.record_events(engine, 9,
                                     profiles.EngineState(1, 0, 0, 8), False,
                                     datetime.timedelta(milliseconds=20))
    assert len(case.table.list_reports()) == 16


def _make_report(weight=100.0, **changes):
    return profiles.ProfileReport("engines",
                                  dataclasses.replace(_FAST, **changes), weight,
                                  weight, weight)
