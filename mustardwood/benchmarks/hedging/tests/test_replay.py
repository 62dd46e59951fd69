"""Tests of replays with an endpoint that is slow or stalls."""

import dataclasses

from mustardwood import hedging
from mustardwood.benchmarks.hedging import replay
from mustardwood.benchmarks.hedging import replay_profiles

_OFF = hedging.HedgeSettings()
_ON = hedging.HedgeSettings(share=0.05)


def _replay(profile, settings, seconds=45.0):
    short = dataclasses.replace(profile, seconds=seconds)
    return replay.replay_load(short, settings, 1)


def test_replay_without_hedging_sends_no_second_request():
    result = _replay(replay_profiles.PLAIN_TAIL, _OFF, 20.0)
    assert result.hedges == 0
    assert result.unanswered == 0


def test_same_seed_gives_the_same_result():
    profile = replay_profiles.PLAIN_SLOW
    assert _replay(profile, _ON, 25.0) == _replay(profile, _ON, 25.0)


def test_hedged_requests_shorten_the_tail_while_an_endpoint_is_slow():
    """Failure: the slow endpoint gets requests until its period ends."""
    off = _replay(replay_profiles.PLAIN_SLOW, _OFF)
    on = _replay(replay_profiles.PLAIN_SLOW, _ON)
    assert on.find_quantile(0.99) < 0.8 * off.find_quantile(0.99)
    assert 0 < on.hedges <= 0.05 * 1.3 * on.requests


def test_lost_attempts_show_that_an_endpoint_stalls():
    """Failure: attempts are cancelled before the stall timeout, so that the
    endpoint that stalls seems to be idle and gets most requests."""
    off = _replay(replay_profiles.PLAIN_STALLING, _OFF)
    on = _replay(replay_profiles.PLAIN_STALLING, _ON)
    assert on.find_quantile(0.99) < 0.8 * off.find_quantile(0.99)
    assert on.busy_seconds < off.busy_seconds
