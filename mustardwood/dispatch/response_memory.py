"""Bound on the bytes that all responses hold at the same time."""

import typing

DEFAULT_MAX_BYTES = 45 * 1024 * 1024
"""Maximum number of bytes, unless another one is given."""
_MAX_SMALL_BYTES = 16 * 1024
"""Size up to which a buffer is not counted; nearly all are smaller."""


class Holder(typing.Protocol):
    """Something that buffers a part of a response."""

    def release_memory(self) -> None:
        """Drops what it buffers and ends the response."""


class ResponseMemory:
    """Bounds the buffers of responses that have not been sent on.

    Failure: many endpoints send bytes without end. What each response buffers
    is bounded, but all of them together exceed the memory of the VM, whose
    process would be killed with all of its requests. If the maximum is
    exceeded, the largest buffer is dropped: sound responses buffer little.

    Attributes:
        held_bytes: Number of bytes in the buffers that are counted.
        drops: Number of buffers that were dropped.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        """Creates a bound.

        Args:
            max_bytes: Number of bytes that may be buffered.
        """
        self._max_bytes = max_bytes
        self._held: dict[Holder, int] = {}
        self.held_bytes = 0
        self.drops = 0

    def hold(self, holder: Holder, count: int) -> None:
        """Sets how much a holder buffers; may release it and others.

        Args:
            holder: The holder.
            count: Number of bytes.
        """
        if count <= _MAX_SMALL_BYTES:
            self.release(holder)
            return
        self.held_bytes += count - self._held.get(holder, 0)
        self._held[holder] = count
        while self.held_bytes > self._max_bytes:
            largest = max(self._held, key=self._held.__getitem__)
            self.release(largest)
            self.drops += 1
            largest.release_memory()

    def release(self, holder: Holder) -> None:
        """Records that a holder buffers nothing any more."""
        self.held_bytes -= self._held.pop(holder, 0)
