"""When the callers of a refused rush come back."""

import random

from mustardwood import dispatch
from mustardwood.dispatch.tests import world as world_module

ms = world_module.ms


def _draw(tier, count=300, **changes):
    world = world_module.World()
    returns = dispatch.ReturnTime(random.Random(5))
    request = world_module.make_request(world, tier=tier, **changes)
    return [returns.draw(request) for _ in range(count)]


def test_returns_of_a_rush_are_spread():
    times = sorted(_draw(2))
    busiest = max(
        sum(start <= each < start + ms(100)
            for each in times)
        for start in times)
    assert busiest < len(times) / 5


def test_more_urgent_callers_come_back_first():
    means = [sum(_draw(tier), ms(0)) / 300 for tier in range(4)]
    assert means == sorted(means)


def test_callers_with_little_time_come_back_within_it():
    world = world_module.World()
    short = world.clock.monotonic() + ms(1200)
    assert max(_draw(5, expires=short)) <= ms(1200) / 3 + ms(50)
