"""Tests of the decision whether to hedge a request."""

import dataclasses
import datetime

import pytest

from mustardwood import hedging


def _ms(count):
    return datetime.timedelta(milliseconds=count)


_SLOW = hedging.HedgeCase(is_repeatable=True,
                          is_suspected=False,
                          is_tier_refused=False,
                          has_more_urgent=False,
                          waited=_ms(100),
                          delay=_ms(60),
                          free_slot_share=0.5,
                          first_time=_ms(20),
                          second_time=_ms(20),
                          prefill_tokens=0,
                          has_budget=True)
"""A request that waits for much longer than usual, with a free endpoint."""


def _decide(**changes):
    return hedging.decide_hedge(dataclasses.replace(_SLOW, **changes))


def test_slow_request_is_hedged():
    assert _decide() == hedging.HedgeDecision(hedging.HedgeVerdict.NOW,
                                              hedging.HedgeReason.SLOW)


@pytest.mark.parametrize(("changes", "reason"), [
    ({
        "is_repeatable": False
    }, hedging.HedgeReason.NOT_REPEATABLE),
    ({
        "is_suspected": True
    }, hedging.HedgeReason.SUSPECTED),
    ({
        "is_tier_refused": True
    }, hedging.HedgeReason.REFUSED_TIER),
    ({
        "delay": None
    }, hedging.HedgeReason.UNKNOWN_TIMES),
])
def test_request_that_must_not_run_twice_is_never_hedged(changes, reason):
    """Failure: it runs twice, crashes two engines or adds to an overload."""
    decision = _decide(**changes)
    assert decision.verdict is hedging.HedgeVerdict.NEVER
    assert decision.reason is reason


def test_request_is_hedged_only_after_the_quantile_of_its_route():
    """Failure: requests that are as fast as usual take slots of others."""
    decision = _decide(waited=_ms(59))
    assert decision.verdict is hedging.HedgeVerdict.LATER
    assert decision.due_after == _ms(60)
    assert _decide(waited=_ms(60)).verdict is hedging.HedgeVerdict.NOW


@pytest.mark.parametrize(("changes", "reason"), [
    ({
        "has_more_urgent": True
    }, hedging.HedgeReason.MORE_URGENT),
    ({
        "free_slot_share": 0.09
    }, hedging.HedgeReason.FEW_FREE_SLOTS),
    ({
        "second_time": None
    }, hedging.HedgeReason.NO_ENDPOINT),
    ({
        "prefill_tokens": 4097
    }, hedging.HedgeReason.LONG_PREFILL),
    ({
        "has_budget": False
    }, hedging.HedgeReason.BUDGET),
])
def test_request_waits_while_a_hedge_would_cost_others(changes, reason):
    """Failure: hedged requests take the place of requests that have none."""
    decision = _decide(**changes)
    assert decision.verdict is hedging.HedgeVerdict.LATER
    assert decision.reason is reason
    assert decision.due_after > _SLOW.waited


def test_second_endpoint_must_be_clearly_faster():
    """Failure: the second endpoint is as loaded as the first, and both lose."""
    decision = _decide(second_time=_ms(80))
    assert decision.reason is hedging.HedgeReason.NOT_SHORTER
    # The first was expected after 20 ms; 1.25 times 80 ms come on top.
    assert decision.due_after == _ms(120)
    assert _decide(second_time=_ms(80),
                   waited=_ms(120)).verdict is hedging.HedgeVerdict.NOW


def test_endpoint_with_much_to_do_gets_the_time_it_was_expected_to_take():
    """Failure: a request in a known queue is taken for one that stalls."""
    decision = _decide(first_time=_ms(400), second_time=_ms(40))
    assert decision.verdict is hedging.HedgeVerdict.LATER
    assert decision.due_after == _ms(450)
