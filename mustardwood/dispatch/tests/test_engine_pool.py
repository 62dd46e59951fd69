"""Tests of the choice of engines to evaluate in large deployments."""

import collections
import random

from mustardwood.dispatch import engine_pool
from mustardwood.dispatch.tests import harness as harness_module

_LONG = frozenset(f"endpoint-{number}" for number in range(30, 70))


def _make_pool(count=70):
    usable = [harness_module.make_endpoint(number) for number in range(count)]
    return engine_pool.EnginePool(usable, _LONG)


def test_vms_with_the_same_old_load_reports_spread_their_prompts():
    """Sixty VMs have a report that one engine is idle, and place a prompt.

    If all evaluated every engine, all would choose the idle one.
    """
    pool = _make_pool()
    known_loads = {each.name: 5 for each in pool.usable}
    known_loads["endpoint-3"] = 0
    placed = collections.Counter()
    for vm in range(60):
        sampled = pool.sample_engines(pool.usable, frozenset(), False, 16,
                                      random.Random(vm))
        placed[min(sampled, key=lambda each: known_loads[each.name]).name] += 1
    assert placed["endpoint-3"] < 30
    assert len(placed) > 10


def test_sample_includes_the_engines_that_cache_the_prefix():
    pool = _make_pool()
    for seed in range(20):
        sampled = pool.sample_engines(pool.usable,
                                      {"endpoint-5", "endpoint-61"}, True, 16,
                                      random.Random(seed))
        names = {each.name for each in sampled}
        assert {"endpoint-5", "endpoint-61"} <= names
        assert 12 <= len(names) <= 14
        assert len(names & _LONG) >= 8


def test_few_engines_are_all_evaluated():
    pool = _make_pool(16)
    assert pool.sample_engines(pool.usable, frozenset(), False, 16,
                               random.Random(1)) == pool.usable


def test_all_candidates_are_evaluated_if_the_sample_has_none():
    pool = _make_pool()
    candidates = pool.usable[:17]
    for seed in range(50):
        sampled = pool.sample_engines(candidates, frozenset(), True, 16,
                                      random.Random(seed))
        assert sampled and set(sampled) <= set(candidates)


def test_preferred_engines_are_stable_and_evenly_distributed():
    pool, other = _make_pool(), _make_pool()
    prefix_counts = collections.Counter()
    for number in range(700):
        prefix_key = f"subject-{number}"
        preferred = pool.find_preferred_engine(prefix_key, is_long=True)
        assert preferred in _LONG
        assert preferred == other.find_preferred_engine(prefix_key,
                                                        is_long=True)
        prefix_counts[preferred] += 1
        assert pool.find_preferred_engine(prefix_key,
                                          is_long=False) not in _LONG
    assert len(prefix_counts) == 40
    assert max(prefix_counts.values()) < 40
