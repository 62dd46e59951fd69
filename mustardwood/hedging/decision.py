"""Decision whether to send a request to a second endpoint."""

import datetime

from mustardwood.hedging import hedge_case
from mustardwood.hedging import hedge_decision
from mustardwood.hedging import hedge_reason
from mustardwood.hedging import hedge_verdict

MIN_FREE_SLOT_SHARE = 0.1
"""Free share of a service's slots below which no request is hedged.

With fewer, a hedged request takes the slot of a request that has none.
"""
MAX_PREFILL_TOKENS = 4096
"""Maximum number of prompt tokens that a hedged request prefills.

It is that of two steps of an engine, from which a prompt counts as long: its
prefill delays the streams on the second engine by more than an inter-event
target.
"""
MIN_GAIN_FACTOR = 1.25
"""Factor by which the second endpoint has to be faster than the rest of the
wait for the first.

Estimates of the time to the first byte are off by a fifth and more.
"""
RECHECK_INTERVAL = datetime.timedelta(milliseconds=25)
"""Interval of further decisions while something prevents a hedged request.

It is about the time that a request to a plain service takes.
"""


def decide_hedge(case: hedge_case.HedgeCase) -> hedge_decision.HedgeDecision:
    """Returns whether a request is sent to a second endpoint.

    Failure: one endpoint of several is slow or stalls, and the stall timeout
    is many times the usual time to the first byte. Requests that it has got
    would be late although other endpoints are free.

    Load pattern: all endpoints are slow because of the load. Hedged requests
    would add to it. They need free slots and a second endpoint with a clearly
    shorter expected time, and are limited to a share of the requests.

    The rest of the wait for the first endpoint is estimated by how long it has
    exceeded its expected time: the times of slow endpoints have a long tail.

    Args:
        case: The request and its possible endpoints.
    """
    for is_refused, reason in (
        (not case.is_repeatable, hedge_reason.HedgeReason.NOT_REPEATABLE),
        (case.is_suspected, hedge_reason.HedgeReason.SUSPECTED),
        (case.is_tier_refused, hedge_reason.HedgeReason.REFUSED_TIER),
        (case.delay is None, hedge_reason.HedgeReason.UNKNOWN_TIMES),
    ):
        if is_refused:
            return hedge_decision.HedgeDecision(
                hedge_verdict.HedgeVerdict.NEVER, reason)
    delay = case.delay or datetime.timedelta()
    second_time = case.second_time or datetime.timedelta()
    shorter_after = case.first_time + MIN_GAIN_FACTOR * second_time
    next_check = case.waited + RECHECK_INTERVAL
    for is_postponed, reason, due_after in (
        (case.waited < delay, hedge_reason.HedgeReason.NOT_DUE, delay),
        (case.has_more_urgent, hedge_reason.HedgeReason.MORE_URGENT,
         next_check),
        (case.free_slot_share < MIN_FREE_SLOT_SHARE,
         hedge_reason.HedgeReason.FEW_FREE_SLOTS, next_check),
        (case.second_time
         is None, hedge_reason.HedgeReason.NO_ENDPOINT, next_check),
        (case.prefill_tokens > MAX_PREFILL_TOKENS,
         hedge_reason.HedgeReason.LONG_PREFILL, next_check),
        (case.waited
         < shorter_after, hedge_reason.HedgeReason.NOT_SHORTER, shorter_after),
        (not case.has_budget, hedge_reason.HedgeReason.BUDGET, next_check),
    ):
        if is_postponed:
            return hedge_decision.HedgeDecision(
                hedge_verdict.HedgeVerdict.LATER, reason, due_after)
    return hedge_decision.HedgeDecision(hedge_verdict.HedgeVerdict.NOW,
                                        hedge_reason.HedgeReason.SLOW)
