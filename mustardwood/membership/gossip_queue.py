"""News of members that still has to be passed on."""

import math

_RETRANSMISSIONS_PER_DOUBLING = 3


class GossipQueue:
    """Members whose state changed, each sent a bounded number of times.

    Each item is sent ``3 * log2(n)`` times, the least sent first, as in
    SWIM's infection-style dissemination.
    """

    def __init__(self) -> None:
        self._send_counts: dict[str, int] = {}

    def add(self, vm: str) -> None:
        """Puts a VM whose state changed into the queue, as if never sent."""
        self._send_counts[vm] = 0

    def remove(self, vm: str) -> None:
        """Takes a VM out of the queue."""
        self._send_counts.pop(vm, None)

    def take(self, count: int, fleet_size: int) -> tuple[str, ...]:
        """Returns up to `count` VMs to tell about, and counts the sending.

        Args:
            count: Largest number of VMs to return.
            fleet_size: Number of VMs in the fleet.
        """
        limit = _RETRANSMISSIONS_PER_DOUBLING * math.ceil(
            math.log2(fleet_size + 1))
        chosen = sorted(self._send_counts,
                        key=self._send_counts.__getitem__)[:count]
        for vm in chosen:
            self._record_send(vm, limit)
        return tuple(chosen)

    def _record_send(self, vm: str, limit: int) -> None:
        self._send_counts[vm] += 1
        if self._send_counts[vm] >= limit:
            del self._send_counts[vm]
