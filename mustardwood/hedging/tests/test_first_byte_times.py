"""Tests of the recent times to the first byte."""

import datetime

from mustardwood import hedging
from mustardwood import timing

_ROUTE = "route"


def _ms(count):
    return datetime.timedelta(milliseconds=count)


def _record(times, milliseconds):
    for each in milliseconds:
        times.record(_ROUTE, _ms(each))


def test_quantile_and_median_of_a_route():
    times = hedging.FirstByteTimes(timing.ManualClock(), 0.95)
    _record(times, range(1, 101))
    assert abs(times.find_quantile(_ROUTE) - _ms(95)) <= _ms(2)
    assert abs(times.find_median(_ROUTE) - _ms(50)) <= _ms(1)
    assert times.find_quantile("other") is None


def test_quantile_of_few_times_is_their_maximum():
    """Failure: a VM with few requests hedges most of them."""
    times = hedging.FirstByteTimes(timing.ManualClock(), 0.95)
    _record(times, [20] * 7)
    assert times.find_quantile(_ROUTE) is None
    times = hedging.FirstByteTimes(timing.ManualClock(), 0.95)
    _record(times, [20] * 7 + [300])
    assert times.find_quantile(_ROUTE) >= _ms(297)


def test_old_times_are_forgotten():
    """Failure: a service has become faster, and hedging starts too late."""
    clock = timing.ManualClock()
    times = hedging.FirstByteTimes(clock, 0.95)
    _record(times, [500] * 100)
    for _ in range(13):
        clock.advance(datetime.timedelta(seconds=10))
        _record(times, [20] * 10)
    assert times.find_quantile(_ROUTE) < _ms(25)


def test_times_are_kept_while_windows_alternate():
    """Failure: no quantile is known each time that a window ends."""
    clock = timing.ManualClock()
    times = hedging.FirstByteTimes(clock, 0.95)
    for _ in range(40):
        clock.advance(datetime.timedelta(seconds=7))
        _record(times, [20, 30])
        if _ >= 3:
            assert times.find_quantile(_ROUTE) is not None


def test_times_before_a_long_suspension_are_forgotten():
    """Failure: a VM was suspended and hedges by times of an hour ago."""
    clock = timing.ManualClock()
    times = hedging.FirstByteTimes(clock, 0.95)
    _record(times, [20] * 100)
    clock.advance(datetime.timedelta(hours=1))
    assert times.find_quantile(_ROUTE) is None


def test_routes_without_requests_are_dropped():
    """Failure: the memory grows with each route of each configuration."""
    times = hedging.FirstByteTimes(timing.ManualClock(), 0.95)
    _record(times, [20] * 10)
    for number in range(512):
        times.record(f"route-{number}", _ms(20))
    assert times.find_quantile(_ROUTE) is None
