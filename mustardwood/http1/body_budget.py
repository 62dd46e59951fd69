"""Bound on the request bodies that a process holds at the same time."""

import typing


class UnfinishedBody(typing.Protocol):
    """A request body that is still being received."""

    def release_room(self) -> None:
        """Refuses the request and gives back the room of its body."""


class BodyBudget:
    """Counts the bytes of all request bodies that are received or handled.

    Load patterns: many callers send long bodies at the same time. Each body is
    allowed, and together they exceed the memory of the VM, whose process would
    be killed with all of its requests. And callers who never end their bodies
    would hold all of the room, so that every other request is refused. A body
    that takes too long offers its room; others take it when none is left, that
    of the oldest offer first.

    Attributes:
        taken_bytes: Number of bytes in use.
        refusals: Number of times that no room was left.
        drops: Number of bodies whose room was taken by others.
    """

    def __init__(self, max_bytes: int) -> None:
        """Creates a budget.

        Args:
            max_bytes: Number of bytes that may be in use.
        """
        self._max_bytes = max_bytes
        self._offers: dict[UnfinishedBody, None] = {}
        self.taken_bytes = 0
        self.refusals = 0
        self.drops = 0

    def take(self, count: int, body: UnfinishedBody | None = None) -> bool:
        """Takes a number of bytes; returns False if too few are left.

        It may release the room of older bodies that offer it.

        Args:
            count: Number of bytes.
            body: The body that takes them, which does not lose its own room.
        """
        while self.taken_bytes + count > self._max_bytes and self._offers:
            oldest = next(iter(self._offers))
            if oldest is body:
                break
            self.withdraw_offer(oldest)
            self.drops += 1
            oldest.release_room()
        if self.taken_bytes + count > self._max_bytes:
            self.refusals += 1
            return False
        self.taken_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Returns a number of bytes that were taken."""
        self.taken_bytes -= count

    def offer_room(self, body: UnfinishedBody) -> None:
        """Lets others take the room of a body that is not complete."""
        self._offers[body] = None

    def withdraw_offer(self, body: UnfinishedBody) -> None:
        """Keeps the room of a body, which may be complete or dropped."""
        self._offers.pop(body, None)
