"""Tests of the regression behind the estimates of engines' speeds."""

import datetime
import random

import pytest

from mustardwood.profiles import bounded_regression

_SECOND = datetime.timedelta(seconds=1)
_STEP = datetime.timedelta(milliseconds=20)


def _make_regression(upper_weight=1.0):
    return bounded_regression.BoundedRegression(
        (bounded_regression.Coefficient(0.003, 0.004, 0.0001, 1.0),
         bounded_regression.Coefficient(0.0001, 0.0002, 0.0, 0.02)), 0.0002,
        20 * _SECOND, upper_weight)


def _feed(regression, step, stream, count, start=_SECOND, noise=lambda: 1.0):
    rng = random.Random(5)
    now = start
    for number in range(count):
        now += _STEP
        requests = float(rng.randrange(1, 17))
        regression.add((1.0, requests), (step + stream * requests) * noise(),
                       now)
        if number % 10 == 0:
            regression.solve()
    return now


def test_prior_holds_without_samples():
    regression = _make_regression()
    assert regression.solve() == (0.003, 0.0001)
    assert regression.error == 1.0


@pytest.mark.parametrize("factor", (1 / 3, 0.5, 2.0, 5.0))
def test_wrong_prior_is_overruled_by_samples(factor):
    regression = _make_regression()
    _feed(regression, 0.003 * factor, 0.00012 * factor, 500)
    step, stream = regression.solve()
    assert step == pytest.approx(0.003 * factor, rel=0.05)
    assert stream == pytest.approx(0.00012 * factor, rel=0.2)
    assert regression.error < 0.05


def test_outliers_hardly_move_the_estimate():
    # A stream that is preempted in a gap, or a prompt that the VM does not
    # know of, makes a sample ten times as long.
    rng = random.Random(8)
    regression = _make_regression()
    _feed(regression,
          0.003,
          0.0001,
          800,
          noise=lambda: 1.0 if rng.random() < 0.8 else 10.0)
    assert regression.find_expected((1.0, 8.0)) == pytest.approx(0.0038,
                                                                 rel=0.15)


def test_noise_of_the_engine_averages_out():
    rng = random.Random(9)
    regression = _make_regression()
    _feed(regression,
          0.0022,
          0.0001,
          2000,
          noise=lambda: rng.lognormvariate(-0.08, 0.4))
    assert regression.find_expected((1.0, 8.0)) == pytest.approx(0.003,
                                                                 rel=0.15)


def test_low_expectile_ignores_the_wait_behind_other_prompts():
    rng = random.Random(10)
    regression = _make_regression(upper_weight=0.1)
    _feed(regression,
          0.003,
          0.0001,
          1000,
          noise=lambda: 1.0 + rng.choice((0.0, 0.0, rng.expovariate(1.0))))
    assert regression.find_expected((1.0, 8.0)) == pytest.approx(0.0038,
                                                                 rel=0.1)


def test_coefficients_stay_within_their_bounds():
    regression = _make_regression()
    now = _SECOND
    for _ in range(300):
        now += _STEP
        regression.add((1.0, 1.0), 50.0, now)
        regression.add((1.0, 16.0), 0.0000001, now)
        step, stream = regression.solve()
        assert 0.0001 <= step <= 1.0
        assert 0.0 <= stream <= 0.02


def test_estimate_follows_a_change_and_keeps_it_while_there_are_no_samples():
    regression = _make_regression()
    now = _feed(regression, 0.003, 0.0001, 1500)
    now = _feed(regression, 0.0015, 0.00005, 3000, now)
    assert regression.find_expected((1.0, 8.0)) == pytest.approx(0.0019,
                                                                 rel=0.1)
    regression.add((1.0, 8.0), 0.0019, now + 3600 * _SECOND)
    regression.solve()
    assert regression.find_expected((1.0, 8.0)) == pytest.approx(0.0019,
                                                                 rel=0.1)
