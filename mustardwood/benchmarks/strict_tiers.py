"""Baseline with strict priority by tier in one queue."""

from mustardwood.benchmarks import central_queue

_SLOTS_PER_ENDPOINT = 24
_MAX_WAITING = 1200


class StrictTiers(central_queue.CentralQueue):
    """Starts requests by tier, and in order of arrival within a tier.

    It does not use the time left until the target, gives no tier a guaranteed
    share and reserves no slots for short requests.
    """

    name = "strict tiers, one queue"

    def __init__(self) -> None:
        super().__init__(_SLOTS_PER_ENDPOINT, _MAX_WAITING)
