"""Baseline: strict tiers in one queue."""

from mustardwood.benchmarks import central_queue

_SLOTS_PER_ENDPOINT = 24
_MAX_WAITING = 1200


class StrictTiers(central_queue.CentralQueue):
    """Strict priority by tier, first in first out within a tier.

    It has no slack, no floor and no slots kept for short work.
    """

    name = "strict tiers, one queue"

    def __init__(self) -> None:
        super().__init__(_SLOTS_PER_ENDPOINT, _MAX_WAITING)
