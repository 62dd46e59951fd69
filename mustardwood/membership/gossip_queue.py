"""The queue of member updates that are still to be sent."""

import math

_RETRANSMIT_FACTOR = 3


class GossipQueue:
    """Names of VMs whose state changed, each sent a bounded number of times.

    With n VMs in the fleet, each update is sent ``3 * log2(n)`` times. Those
    sent the fewest times come first, as in SWIM's infection-style
    dissemination.
    """

    def __init__(self) -> None:
        self._send_counts: dict[str, int] = {}

    def add(self, vm: str) -> None:
        """Queues a VM whose state changed and resets its number of sends."""
        self._send_counts[vm] = 0

    def remove(self, vm: str) -> None:
        """Removes a VM from the queue."""
        self._send_counts.pop(vm, None)

    def take(self, count: int, fleet_size: int) -> tuple[str, ...]:
        """Returns the VMs whose updates go into the next message.

        One send is counted for each; a VM that was sent often enough is
        removed.

        Args:
            count: Maximum number of VMs to return.
            fleet_size: Number of VMs in the fleet.

        Returns:
            Names of the VMs.
        """
        limit = _RETRANSMIT_FACTOR * math.ceil(math.log2(fleet_size + 1))
        chosen = sorted(self._send_counts,
                        key=self._send_counts.__getitem__)[:count]
        for vm in chosen:
            self._record_send(vm, limit)
        return tuple(chosen)

    def _record_send(self, vm: str, limit: int) -> None:
        self._send_counts[vm] += 1
        if self._send_counts[vm] >= limit:
            del self._send_counts[vm]
