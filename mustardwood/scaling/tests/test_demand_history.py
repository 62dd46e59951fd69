"""Tests of the forecast from recent samples of the demand."""

import datetime
import math

import pytest

from mustardwood import scaling


def _s(seconds):
    return datetime.timedelta(seconds=seconds)


def _record(history, find_demands, until=40.0, find_busy=None):
    time = 0.0
    while time <= until:
        demands = find_demands(time)
        busy = (sum(demands.values()) if find_busy is None else find_busy(time))
        history.record(_s(time), demands, busy)
        time += 0.5
    return history.make_forecast(_s(until), 56)


def test_steady_demand_lies_high_in_a_wave():
    forecast = _record(
        scaling.DemandHistory(), lambda time:
        {0: 10.0 * (1.0 + 0.5 * math.sin(2.0 * math.pi * time / 14.0))})
    assert 11.0 <= forecast.steady <= 15.0
    assert forecast.highest == pytest.approx(15.0, rel=0.01)


def test_short_burst_changes_the_highest_but_not_the_steady_demand():
    # A burst must not be planned for on top of a burst.
    forecast = _record(
        scaling.DemandHistory(), lambda time: {
            0: 10.0,
            1: 25.0 if 25.0 <= time < 34.0 else 10.0
        })
    assert forecast.steady == pytest.approx(20.0)
    assert forecast.highest == pytest.approx(35.0)


def test_overestimate_is_bounded_by_the_busy_endpoints():
    forecast = _record(scaling.DemandHistory(),
                       lambda _: {0: 60.0},
                       find_busy=lambda _: 10.0)
    assert forecast.steady <= 26.0
    assert forecast.certain <= 15.0


def test_underestimate_is_raised_to_the_busy_endpoints():
    forecast = _record(scaling.DemandHistory(),
                       lambda _: {0: 5.0},
                       find_busy=lambda _: 20.0)
    assert forecast.steady == pytest.approx(20.0)
    assert forecast.certain == pytest.approx(20.0)


def test_busy_endpoints_count_without_an_estimate():
    # Requests to plain services have no estimate.
    forecast = _record(scaling.DemandHistory(),
                       lambda _: {},
                       find_busy=lambda _: 2.0)
    assert forecast.steady == pytest.approx(2.0)


def test_demand_is_assumed_while_it_is_not_known():
    # Endpoints must be ordered soon after the start.
    forecast = scaling.DemandHistory().make_forecast(_s(0), 56)
    assert forecast.steady == pytest.approx(0.4 * 56)
    assert forecast.urgent > 0.0


def test_half_of_the_tiers_is_urgent():
    forecast = _record(scaling.DemandHistory(), lambda _: {
        0: 4.0,
        2: 6.0,
        3: 8.0
    })
    assert forecast.urgent == pytest.approx(10.0)


def test_no_endpoints_and_no_demand_give_zeros():
    forecast = scaling.DemandHistory().make_forecast(_s(0), 0)
    assert forecast.steady == 0.0
    assert forecast.bursting == 0.0
