"""Upper bound: a queue that knows the lengths of answers."""

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import central_queue

_BOUND = 1200


class Oracle(central_queue.CentralQueue):
    """Strict tiers, shortest answer first within a tier, no delays.

    It fills each engine with as many requests as the time between tokens
    allows, and knows at once when a slot is free.
    """

    name = "oracle of lengths"
    _SLOTS = 15

    def __init__(self) -> None:
        super().__init__(self._SLOTS, _BOUND)

    def _rank(self, request: bench_request.BenchRequest) -> tuple[float, ...]:
        return (request.request_class.tier, request.output_tokens)
