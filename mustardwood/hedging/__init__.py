"""Decision when to send a request to a second endpoint, and its limits.

Nothing in this package does I/O. `mustardwood.forwarding` carries out what it
decides.

References:
    J. Dean and L. A. Barroso, "The Tail at Scale", Communications of the ACM
    56(2), 2013.
"""

from mustardwood.hedging.decision import decide_hedge
from mustardwood.hedging.decision import RECHECK_INTERVAL
from mustardwood.hedging.first_byte_times import FirstByteTimes
from mustardwood.hedging.hedge_budgets import HedgeBudgets
from mustardwood.hedging.hedge_case import HedgeCase
from mustardwood.hedging.hedge_decision import HedgeDecision
from mustardwood.hedging.hedge_reason import HedgeReason
from mustardwood.hedging.hedge_settings import HedgeSettings
from mustardwood.hedging.hedge_verdict import HedgeVerdict
from mustardwood.hedging.hedging import Hedging

__all__ = [
    "RECHECK_INTERVAL",
    "FirstByteTimes",
    "HedgeBudgets",
    "HedgeCase",
    "HedgeDecision",
    "HedgeReason",
    "HedgeSettings",
    "HedgeVerdict",
    "Hedging",
    "decide_hedge",
]
