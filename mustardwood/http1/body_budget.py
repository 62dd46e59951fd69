"""Bound on the request bodies that a process holds at the same time."""


class BodyBudget:
    """Counts the bytes of all request bodies that are received or handled.

    Load pattern: many callers send long bodies at the same time. Each body is
    allowed, and together they exceed the memory of the VM, whose process would
    be killed with all of its requests.

    Attributes:
        taken_bytes: Number of bytes in use.
        refusals: Number of times that no room was left.
    """

    def __init__(self, max_bytes: int) -> None:
        """Creates a budget.

        Args:
            max_bytes: Number of bytes that may be in use.
        """
        self._max_bytes = max_bytes
        self.taken_bytes = 0
        self.refusals = 0

    def take(self, count: int) -> bool:
        """Takes a number of bytes; returns False if too few are left."""
        if self.taken_bytes + count > self._max_bytes:
            self.refusals += 1
            return False
        self.taken_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Returns a number of bytes that were taken."""
        self.taken_bytes -= count
