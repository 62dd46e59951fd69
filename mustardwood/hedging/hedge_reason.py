"""Reasons of the decision on a hedged request."""

import enum


class HedgeReason(enum.StrEnum):
    """Why a request is or is not sent to a second endpoint.

    Attributes:
        SLOW: Its first endpoint is slower than usual for its route.
        NOT_REPEATABLE: It may not run once more, or its response has begun.
        SUSPECTED: It, or a part of its prompt, may crash endpoints.
        REFUSED_TIER: Requests of its tier are being refused.
        MORE_URGENT: A more urgent request waits for an endpoint.
        UNKNOWN_TIMES: Too few times of its route are known.
        NOT_DUE: It has waited for less than the delay.
        FEW_FREE_SLOTS: The service has too few free slots.
        NO_ENDPOINT: There is no second endpoint that is sound and has room.
        LONG_PREFILL: The second endpoint would prefill too many tokens.
        NOT_SHORTER: A second endpoint is not expected to respond clearly
            earlier than the first.
        BUDGET: The limit of hedged requests or the retry budget is used up.
    """

    SLOW = "slow"
    NOT_REPEATABLE = "not repeatable"
    SUSPECTED = "suspected"
    REFUSED_TIER = "refused tier"
    MORE_URGENT = "more urgent"
    UNKNOWN_TIMES = "unknown times"
    NOT_DUE = "not due"
    FEW_FREE_SLOTS = "few free slots"
    NO_ENDPOINT = "no endpoint"
    LONG_PREFILL = "long prefill"
    NOT_SHORTER = "not shorter"
    BUDGET = "budget"
