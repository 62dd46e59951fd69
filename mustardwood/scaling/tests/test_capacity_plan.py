"""Tests of the number of endpoints by availability zone and kind."""

import dataclasses
import datetime

import pytest

from mustardwood import scaling
from mustardwood.scaling import capacity_plan

_ZONES = ("a", "b", "c")
_PARAMETERS = scaling.ScalingParameters(1, 38, datetime.timedelta(seconds=4),
                                        0.22, {
                                            "a": 0.85,
                                            "b": 1.0,
                                            "c": 1.2
                                        })
_FORECAST = scaling.DemandForecast(certain=30.0,
                                   highest=30.0,
                                   steady=30.0,
                                   bursting=15.0,
                                   urgent=20.0)


def _plan(forecast=_FORECAST,
          zones=_ZONES,
          unavailable=None,
          pinned=None,
          **changes):
    return capacity_plan.CapacityPlan.from_forecast(
        dataclasses.replace(_PARAMETERS, **changes), zones, forecast,
        unavailable or {}, pinned)


def _count(plan, is_preemptible):
    return sum(count for (_, kind), count in plan.counts.items()
               if kind == is_preemptible)


def _price(plan):
    return sum(count * _PARAMETERS.find_price(zone) * (0.22 if kind else 1.0)
               for (zone, kind), count in plan.counts.items())


def test_larger_fleet_costs_less_than_a_static_one():
    plan = _plan()
    assert plan.total > 56
    assert _price(plan) < 40.0


def test_burst_is_served_without_a_new_endpoint():
    assert _plan().total * 0.85 >= 30.0 + 1.5 * 15.0


def test_urgent_tiers_are_served_without_the_endpoints_of_any_zone():
    plan = _plan()
    for zone in _ZONES:
        assert plan.total - plan.counts[zone, True] >= 20.0 / 0.85


def test_part_of_the_urgent_demand_needs_no_preemptible_endpoint():
    assert _count(_plan(), False) >= 0.5 * 20.0


def test_endpoints_are_spread_evenly_over_the_zones():
    plan = _plan()
    totals = [
        plan.counts[each, True] + plan.counts[each, False] for each in _ZONES
    ]
    assert max(totals) - min(totals) <= 1
    # The cheapest zone has the remainder.
    assert totals[0] == max(totals)


@pytest.mark.parametrize("steady", [0.0, 0.1, 30.0, 1000.0])
def test_limits_hold_for_both_kinds_together(steady):
    forecast = scaling.DemandForecast(steady, steady, steady, steady, steady)
    plan = _plan(forecast, min_count=2, max_count=7)
    for zone in _ZONES:
        assert 2 <= plan.counts[zone, True] + plan.counts[zone, False] <= 7
        assert plan.counts[zone, False] >= 1


def test_each_zone_keeps_an_endpoint_even_with_a_minimum_of_none():
    forecast = scaling.DemandForecast(0.0, 0.0, 0.0, 0.0, 0.0)
    plan = _plan(forecast, min_count=0)
    assert all(plan.counts[each, False] == 1 for each in _ZONES)


def test_zone_without_preemptible_endpoints_is_replaced_by_the_others():
    plan = _plan(unavailable={("b", True): 0})
    assert plan.counts["b", True] == 0
    assert plan.total >= plan.wanted


def test_endpoints_that_are_there_count_where_no_more_are_to_be_had():
    # They must not be ordered in the other zones once more.
    plan = _plan(unavailable={("b", True): 17})
    assert plan.counts["b", True] == 17
    assert plan.total == plan.wanted


def test_other_kind_is_planned_where_no_preemptible_endpoint_is_to_be_had():
    plan = _plan(unavailable={(each, True): 0 for each in _ZONES})
    assert _count(plan, True) == 0
    # The reserve for bursts is too dear then.
    assert plan.total == plan.needed


def test_other_kind_is_limited_to_urgent_demand_while_a_zone_has_preemptibles():
    # It costs 4.5 times as much, and the other zones give again within seconds.
    plan = _plan(unavailable={("b", True): 0, ("c", True): 0}, max_count=10)
    assert plan.counts["a", True] + plan.counts["a", False] == 10
    assert plan.total == 27
    assert plan.needed == 36


@pytest.mark.parametrize("price", [None, 1.0, 1.5])
def test_dear_preemptible_endpoints_are_not_planned(price):
    plan = _plan(preemptible_price=price)
    assert _count(plan, True) == 0
    assert plan.total == 50


def test_pinned_number_is_planned_exactly():
    for pinned in (10, 40):
        assert _plan(pinned=pinned).total == pinned


def test_pinned_number_stays_within_the_limits():
    assert _plan(pinned=0).total == 3
    assert _plan(pinned=999).total == 3 * 38


def test_one_zone_serves_the_urgent_tiers_without_preemptible_endpoints():
    plan = _plan(zones=("a",), max_count=100)
    assert plan.counts["a", False] >= 20.0 / 0.85


def test_no_zones_give_an_empty_plan():
    assert _plan(zones=()).total == 0
