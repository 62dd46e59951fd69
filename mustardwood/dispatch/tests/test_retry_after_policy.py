"""Tests of the retry delays of refused requests."""

import random

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def _draw(tier, count=300, **changes):
    harness = harness_module.Harness()
    policy = dispatch.RetryAfterPolicy(random.Random(5))
    request = harness_module.make_request(harness, tier=tier, **changes)
    return [policy.draw_delay(request) for _ in range(count)]


def test_retry_delays_of_a_burst_are_spread():
    times = sorted(_draw(2))
    busiest = max(
        sum(start <= each < start + ms(100)
            for each in times)
        for start in times)
    assert busiest < len(times) / 5


def test_more_urgent_tiers_get_shorter_delays():
    means = [sum(_draw(tier, tier_count=4), ms(0)) / 300 for tier in range(4)]
    assert means == sorted(set(means))


def test_number_of_tiers_does_not_prolong_delays():
    assert _draw(2, tier_count=3) == _draw(5, tier_count=6)


def test_delay_is_limited_by_the_time_left():
    harness = harness_module.Harness()
    short = harness.clock.monotonic() + ms(1200)
    assert max(_draw(5, expires_at=short)) <= ms(1200) / 3 + ms(50)
