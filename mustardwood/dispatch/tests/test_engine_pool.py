"""Engines of large deployments."""

import collections
import random

from mustardwood.dispatch import engine_pool
from mustardwood.dispatch.tests import harness as harness_module

_LONG = frozenset(f"endpoint-{number}" for number in range(30, 70))


def _make_pool(count=70):
    usable = [harness_module.make_endpoint(number) for number in range(count)]
    return engine_pool.EnginePool(usable, _LONG)


def test_vms_with_the_same_old_news_spread_their_prompts():
    """Sixty VMs know that one engine was idle, and place a prompt each."""
    pool = _make_pool()
    known = {each.name: 5 for each in pool.usable}
    known["endpoint-3"] = 0
    placed = collections.Counter()
    for vm in range(60):
        weighed = pool.narrow(pool.usable, frozenset(), False, 16,
                              random.Random(vm))
        placed[min(weighed, key=lambda each: known[each.name]).name] += 1
    assert placed["endpoint-3"] < 30
    assert len(placed) > 10


def test_sample_holds_the_engines_that_know_the_subject():
    pool = _make_pool()
    for seed in range(20):
        weighed = pool.narrow(pool.usable, {"endpoint-5", "endpoint-61"}, True,
                              16, random.Random(seed))
        names = {each.name for each in weighed}
        assert {"endpoint-5", "endpoint-61"} <= names
        assert 12 <= len(names) <= 14
        assert len(names & _LONG) >= 8


def test_all_of_few_engines_are_weighed():
    pool = _make_pool(16)
    assert pool.narrow(pool.usable, frozenset(), False, 16,
                       random.Random(1)) == pool.usable


def test_sample_without_a_candidate_gives_way_to_all():
    pool = _make_pool()
    left = pool.usable[:17]
    for seed in range(50):
        weighed = pool.narrow(left, frozenset(), True, 16, random.Random(seed))
        assert weighed and set(weighed) <= set(left)


def test_homes_of_both_sides_are_stable_and_spread():
    pool, other = _make_pool(), _make_pool()
    homes = collections.Counter()
    for number in range(700):
        prefix_key = f"subject-{number}"
        home = pool.find_preferred_engine(prefix_key, is_long=True)
        assert home in _LONG
        assert home == other.find_preferred_engine(prefix_key, is_long=True)
        homes[home] += 1
        assert pool.find_preferred_engine(prefix_key,
                                          is_long=False) not in _LONG
    assert len(homes) == 40
    assert max(homes.values()) < 40
