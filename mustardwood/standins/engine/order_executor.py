"""Orders to load or unload models, as an engine executes them."""

import datetime

import msgspec


class Order(msgspec.Struct, frozen=True):
    """An order to load or unload a model, adapter or version.

    Attributes:
        order_id: Unique id; an order with the same id has no further effect.
        kind: ``load`` or ``unload``.
        subject: Name of the model, adapter or version.
        fencing_number: Fencing number of the sender's lease.
        expires_at: Wall-clock time from which it must not be executed any
            more, ISO 8601 with offset; None for never.
    """

    order_id: str
    kind: str
    subject: str
    fencing_number: int
    expires_at: datetime.datetime | None = None


class OrderExecutor:
    """Executes orders, and refuses expired and outdated ones.

    An order is outdated if its fencing number is lower than that of an earlier
    order: its sender's lease has been replaced by a newer one.

    Args:
        checks_fencing: Whether outdated orders are refused.

    Attributes:
        loaded: Names of the models, adapters and versions that are loaded.
        executed: Orders that took effect, in order of execution.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self.loaded: set[str] = set()
        self.executed: list[Order] = []
        self._checks_fencing = checks_fencing
        self._highest_number = 0

    def execute(self, order: Order, now: datetime.datetime) -> bool:
        """Executes an order, unless an order with its id was executed before.

        Returns:
            Whether the order is in effect; False if it was refused.
        """
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
