"""Tests of the division of capacity among tiers."""

import pytest

from mustardwood.dispatch import tier_shares
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_STEP = ms(250)


class _Shares:

    def __init__(self):
        self.shares = tier_shares.TierShares()
        self.now = ms(0)

    def run(self, demands, capacity, seconds=0.25):
        """Divides the capacity for a time; returns the shares at its end."""
        for _ in range(round(seconds / _STEP.total_seconds())):
            self.now += _STEP
            self.shares.update(self.now, _STEP, demands, capacity)
        return [self.shares.find_share(tier, self.now) for tier in range(6)]


def test_last_tier_is_admitted_in_part():
    assert _Shares().run({0: 2.0, 1: 2.0, 2: 4.0}, 5.0)[:3] == [1.0, 1.0, 0.25]


def test_tiers_are_closed_one_after_the_other():
    # Less urgent requests still ran when urgent ones were refused.
    shares, demands = _Shares(), dict.fromkeys(range(6), 1.0)
    assert shares.run(demands, 1.0) == [1.0] * 5 + [0.0]
    assert shares.run(demands, 1.0, 4.5) == [1.0] * 5 + [0.0]
    assert shares.run(demands, 1.0, 0.75) == [1.0] * 4 + [0.0] * 2


def test_tiers_are_closed_at_once_if_engines_are_lost():
    shares, demands = _Shares(), dict.fromkeys(range(6), 1.0)
    shares.run(demands, 6.0)
    shares.shares.record_loss(shares.now)
    assert shares.run(demands, 1.0) == [1.0] + [0.0] * 5


def test_tier_waits_until_a_more_urgent_one_is_no_longer_short():
    shares, demands = _Shares(), dict.fromkeys(range(6), 1.0)
    shares.run(demands, 1.0, 20)
    assert shares.run(demands, 6.0, 4.5) == [1.0] * 3 + [0.0] * 3
    assert shares.run(demands, 6.0, 1.0) == [1.0] * 6


@pytest.mark.parametrize("capacity", (0.0, 0.5, 3.0, 100.0))
def test_most_urgent_tier_is_always_admitted(capacity):
    shares = _Shares()
    assert shares.run({3: 2.0, 4: 2.0}, capacity, 20)[3] == 1.0
