"""The share of grants that every class is sure of."""

import collections.abc
import dataclasses
import datetime

from mustardwood import configuration

_MAX_FLOOR_SUM = 0.5
"""Largest share of all grants that the floors may take together."""
_MAX_CREDIT_GRANTS = 2.0
"""Grants that a class can be owed at most."""
_MAX_WAIT_FRACTION = 0.5
"""Share of the bound on waiting after which a class goes first."""
_REFUSED_DEMAND_LIFETIME = datetime.timedelta(seconds=5)
"""How long a refused arrival counts as demand."""
_SLOT_HOLD_TIME = datetime.timedelta(seconds=1)
"""How long a slot is held after a refused arrival."""


@dataclasses.dataclass
class _ClassAccount:
    """What a class is owed.

    Attributes:
        floor: Share of the grants.
        max_wait: Bound on the time without a grant.
        credit: Grants owed.
        since: Start of the demand that was not served; None without demand.
        refused_at: When an arrival of the class was last turned away.
    """

    floor: float
    max_wait: datetime.timedelta
    credit: float = 0.0
    unserved_since: datetime.timedelta | None = None
    refused_at: datetime.timedelta | None = None


class StarvationPrevention:
    """Keeps the floor and the bound on waiting of each class.

    A class earns its floor with each grant of the cell while it has demand:
    requests that wait, or that were turned away a moment ago.
    """

    def __init__(
            self, classes: collections.abc.Iterable[configuration.RequestClass]
    ) -> None:
        self._accounts: dict[str, _ClassAccount] = {}
        self.update(classes)

    def update(
            self, classes: collections.abc.Iterable[configuration.RequestClass]
    ) -> None:
        """Puts changed classes in force."""
        classes = tuple(classes)
        total = sum(each.floor for each in classes)
        scale = min(1.0, _MAX_FLOOR_SUM / total) if total > 0 else 1.0
        previous = self._accounts
        self._accounts = {}
        for each in classes:
            account = previous.get(each.name)
            if account is None:
                account = _ClassAccount(0.0, each.max_wait)
            account.floor = each.floor * scale
            account.max_wait = each.max_wait
            self._accounts[each.name] = account

    def record_demand(self, name: str, now: datetime.timedelta) -> None:
        """Notes that a request of the class waits."""
        account = self._accounts.get(name)
        if account is not None and account.unserved_since is None:
            account.unserved_since = now

    def record_refusal(self, name: str, now: datetime.timedelta) -> None:
        """Notes that a request of the class was turned away."""
        self.record_demand(name, now)
        if name in self._accounts:
            self._accounts[name].refused_at = now

    def record_grant(self, name: str, now: datetime.timedelta,
                     backlogged: collections.abc.Container[str]) -> None:
        """Accounts for a grant to a class.

        Args:
            name: The class.
            now: The time.
            backlogged: The classes that have waiting requests after it.
        """
        for other, account in self._accounts.items():
            if other in backlogged or _is_recent(account.refused_at, now,
                                                 _REFUSED_DEMAND_LIFETIME):
                account.credit = min(account.credit + account.floor,
                                     _MAX_CREDIT_GRANTS)
            elif other != name:
                account.unserved_since = None
        own = self._accounts.get(name)
        if own is not None:
            own.credit = max(0.0, own.credit - 1.0)
            own.unserved_since = now
            if name not in backlogged and not _is_recent(
                    own.refused_at, now, _REFUSED_DEMAND_LIFETIME):
                own.unserved_since = None

    def is_due(self, name: str, now: datetime.timedelta) -> bool:
        """Returns whether a class goes before the order of tiers."""
        account = self._accounts.get(name)
        if account is None or account.unserved_since is None:
            return False
        if account.credit >= 1.0:
            return True
        return now - account.unserved_since >= account.max_wait * _MAX_WAIT_FRACTION

    def find_class_to_hold_slot_for(
            self, now: datetime.timedelta,
            backlogged: collections.abc.Container[str]) -> str | None:
        """Returns a due class that was turned away and has none waiting.

        The last free slot is held for its next request for a moment, so that
        it need not wait in a queue that is full of higher tiers.
        """
        candidates = [
            (account.unserved_since, name)
            for name, account in self._accounts.items()
            if name not in backlogged and
            _is_recent(account.refused_at, now, _SLOT_HOLD_TIME) and
            account.unserved_since is not None and self.is_due(name, now)
        ]
        return min(candidates)[1] if candidates else None


def _is_recent(event_time: datetime.timedelta | None, now: datetime.timedelta,
               max_age: datetime.timedelta) -> bool:
    return event_time is not None and now - event_time <= max_age
