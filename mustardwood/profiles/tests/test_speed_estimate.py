"""Tests of the estimate of one engine's speed."""

import datetime
import random

import pytest

from mustardwood.profiles import engine_profile
from mustardwood.profiles import speed_estimate

_SECOND = datetime.timedelta(seconds=1)
_STEP = datetime.timedelta(milliseconds=100)


def _feed(speed, ratios, start):
    """Adds a sample every 100 ms; returns the times of changes and the end."""
    changes, now = [], start
    for ratio in ratios:
        now += _STEP
        if speed.add(ratio, now):
            changes.append((now - start).total_seconds())
    return changes, now


def test_engine_without_samples_is_as_fast_as_its_service():
    assert speed_estimate.SpeedEstimate("v1", _SECOND).slowdown == 1.0


def test_moderately_slow_engine_is_learned_without_a_change():
    speed = speed_estimate.SpeedEstimate("v1", _SECOND)
    changes, _ = _feed(speed, [1.3] * 100, _SECOND)
    assert not changes
    assert speed.slowdown == pytest.approx(1.25, abs=0.06)


def test_engine_that_is_five_times_slower_for_six_seconds_is_seen_and_returns():
    speed = speed_estimate.SpeedEstimate("v1", _SECOND)
    _, now = _feed(speed, [1.0] * 50, _SECOND)
    slow, now = _feed(speed, [5.0] * 60, now)
    assert len(slow) == 1 and slow[0] <= 2.0
    assert speed.slowdown > 4.0
    fast, now = _feed(speed, [1.0] * 50, now)
    assert len(fast) == 1 and fast[0] <= 2.0
    assert speed.slowdown == pytest.approx(1.0, abs=0.1)


def test_noise_of_an_engine_is_no_change():
    rng = random.Random(4)
    speed = speed_estimate.SpeedEstimate("v1", _SECOND)
    changes, _ = _feed(speed,
                       [rng.lognormvariate(-0.08, 0.4) for _ in range(1000)],
                       _SECOND)
    assert not changes
    assert speed.slowdown == pytest.approx(1.0, abs=0.2)


def test_prompt_of_which_the_vm_does_not_know_is_no_change():
    # All streams on the engine show the same long gap within half a second.
    speed = speed_estimate.SpeedEstimate("v1", _SECOND)
    _, now = _feed(speed, [1.0] * 50, _SECOND)
    for _ in range(20):
        now += datetime.timedelta(milliseconds=20)
        assert not speed.add(8.0, now)
    changes, _ = _feed(speed, [1.0] * 30, now)
    assert not changes
    assert speed.slowdown < 1.5


def test_slow_engine_without_samples_counts_like_its_service_again():
    # It gets few requests, and only these can show that it is fast again.
    speed = speed_estimate.SpeedEstimate("v1", _SECOND)
    _, now = _feed(speed, [1.0] * 20 + [5.0] * 30, _SECOND)
    service = engine_profile.EngineProfile(prefill_rate=90_000.0)
    assert speed.find_profile(service, now).prefill_rate < 30_000.0
    assert speed.find_profile(service, now + 30 * _SECOND) == service
