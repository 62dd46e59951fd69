"""Orders that an engine takes."""

import datetime

import msgspec


class Order(msgspec.Struct, frozen=True):
    """An order to load or unload something.

    Attributes:
        order_id: Unique id; a repeated order has no further effect.
        kind: ``load`` or ``unload``.
        subject: Model, adapter or version.
        fencing_number: Number of the sender's lease.
        expires_at: Wall-clock time after which it must not be carried out,
            ISO 8601 with offset; None for never.
    """

    order_id: str
    kind: str
    subject: str
    fencing_number: int
    expires_at: datetime.datetime | None = None


class OrderExecutor:
    """Carries orders out, or refuses those with an old fencing number.

    Args:
        checks_fencing: Whether it compares fencing numbers.

    Attributes:
        loaded: Subjects that are loaded.
        executed: Orders that took effect, in their order.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self.loaded: set[str] = set()
        self.executed: list[Order] = []
        self._checks_fencing = checks_fencing
        self._highest_number = 0

    def execute(self, order: Order, now: datetime.datetime) -> bool:
        """Returns whether the order is in effect; False refuses it."""
        if self._checks_fencing and order.fencing_number < self._highest_number:
            return False
        if order.expires_at is not None and order.expires_at <= now:
            return False
        self._highest_number = max(self._highest_number, order.fencing_number)
        if any(done.order_id == order.order_id for done in self.executed):
            return True
        self.executed.append(order)
        if order.kind == "load":
            self.loaded.add(order.subject)
        else:
            self.loaded.discard(order.subject)
        return True
