"""Prevention of starvation: guaranteed shares and bounded waits of classes."""

import collections.abc
import dataclasses
import datetime

from mustardwood import configuration

_MAX_FLOOR_SUM = 0.5
"""Maximum sum of the floors of all classes, as a share of all grants."""
_MAX_CREDIT_GRANTS = 2.0
"""Maximum credit of a class, in grants."""
_MAX_WAIT_SHARE = 0.5
"""Share of a class's maximum wait after which it goes first."""
_REFUSED_DEMAND_LIFETIME = datetime.timedelta(seconds=5)
"""How long a refused request counts as demand of its class."""
_SLOT_HOLD_TIME = datetime.timedelta(seconds=1)
"""How long a slot is held for a class after one of its requests was refused."""


@dataclasses.dataclass
class _ClassAccount:
    """Demand and grants of a class.

    Attributes:
        floor: Guaranteed share of the cell's grants.
        max_wait: Maximum time without a grant while there is demand.
        credit: Number of grants that the class has earned and not received.
        unmet_since: When the class last got a grant or, if later, when its
            demand began; None without demand.
        refused_at: When a request of the class was last refused.
    """

    floor: float
    max_wait: datetime.timedelta
    credit: float = 0.0
    unmet_since: datetime.timedelta | None = None
    refused_at: datetime.timedelta | None = None


class StarvationPrevention:
    """Tracks which classes must get a grant before more urgent tiers.

    Each class has a floor, which is its guaranteed share of the cell's grants,
    and a maximum wait. While a class has demand, each grant of the cell adds
    its floor to its credit, and each grant to the class costs one credit. A
    class has demand while its requests wait, and for a few seconds after one
    of them was refused.
    """

    def __init__(
            self, classes: collections.abc.Iterable[configuration.RequestClass]
    ) -> None:
        self._accounts: dict[str, _ClassAccount] = {}
        self.update(classes)

    def update(
            self, classes: collections.abc.Iterable[configuration.RequestClass]
    ) -> None:
        """Applies the floors and maximum waits of changed classes."""
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
        """Records that a request of the class waits."""
        account = self._accounts.get(name)
        if account is not None and account.unmet_since is None:
            account.unmet_since = now

    def record_refusal(self, name: str, now: datetime.timedelta) -> None:
        """Records that a request of the class was refused."""
        self.record_demand(name, now)
        if name in self._accounts:
            self._accounts[name].refused_at = now

    def record_grant(self, name: str, now: datetime.timedelta,
                     backlogged: collections.abc.Container[str]) -> None:
        """Updates the credits of all classes after a grant to one of them.

        Args:
            name: The class that got the grant.
            now: Monotonic time.
            backlogged: The classes that have waiting requests after the grant.
        """
        for other, account in self._accounts.items():
            if other in backlogged or _is_recent(account.refused_at, now,
                                                 _REFUSED_DEMAND_LIFETIME):
                account.credit = min(account.credit + account.floor,
                                     _MAX_CREDIT_GRANTS)
            elif other != name:
                account.unmet_since = None
        own = self._accounts.get(name)
        if own is not None:
            own.credit = max(0.0, own.credit - 1.0)
            own.unmet_since = now
            if name not in backlogged and not _is_recent(
                    own.refused_at, now, _REFUSED_DEMAND_LIFETIME):
                own.unmet_since = None

    def is_due(self, name: str, now: datetime.timedelta) -> bool:
        """Returns whether a class must get a grant before more urgent tiers."""
        account = self._accounts.get(name)
        if account is None or account.unmet_since is None:
            return False
        if account.credit >= 1.0:
            return True
        return now - account.unmet_since >= account.max_wait * _MAX_WAIT_SHARE

    def find_class_to_hold_slot_for(
            self, now: datetime.timedelta,
            backlogged: collections.abc.Container[str]) -> str | None:
        """Returns the class for which the last free slot is held, if any.

        The class is due for a grant and none of its requests wait, because they
        were refused: the queue is full of requests of higher tiers. The slot is
        held for its next request for a short time.
        """
        candidates = [
            (account.unmet_since, name)
            for name, account in self._accounts.items()
            if name not in backlogged and
            _is_recent(account.refused_at, now, _SLOT_HOLD_TIME) and
            account.unmet_since is not None and self.is_due(name, now)
        ]
        return min(candidates)[1] if candidates else None


def _is_recent(event_time: datetime.timedelta | None, now: datetime.timedelta,
               max_age: datetime.timedelta) -> bool:
    return event_time is not None and now - event_time <= max_age
