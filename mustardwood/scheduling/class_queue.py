"""The waiting requests of one class."""

import datetime

import sortedcontainers

from mustardwood.scheduling import fair_share
from mustardwood.scheduling import waiting_request

_LATE_INTERVAL = 4
"""One grant in so many goes to the oldest request, late or not."""
_START_SHARE = 0.8
"""Share of the target that may pass before the grant."""

_Waiting = waiting_request.WaitingRequest


def _get_order(waiting: _Waiting) -> object:
    return waiting.order


class ClassQueue:
    """Holds a class's requests by organisation and by age.

    Each operation takes O(log n).
    """

    def __init__(self) -> None:
        self._grants = 0
        self._share = fair_share.FairShare()
        self._by_age = sortedcontainers.SortedKeyList(key=_get_order)
        self._flows: dict[str, sortedcontainers.SortedKeyList] = {}
        self._tags = sortedcontainers.SortedList()
        self._backlogs = sortedcontainers.SortedList()

    def __len__(self) -> int:
        return len(self._by_age)

    @property
    def oldest(self) -> _Waiting:
        """The request that arrived first."""
        return self._by_age[0]

    @property
    def newest(self) -> _Waiting:
        """The request that arrived last."""
        return self._by_age[-1]

    def add(self, waiting: _Waiting) -> None:
        """Puts a request in."""
        organisation = waiting.ask.organisation
        flow = self._flows.get(organisation)
        if flow is None:
            flow = sortedcontainers.SortedKeyList(key=_get_order)
            self._flows[organisation] = flow
            self._share.activate(organisation)
            self._tags.add((self._share.tag(organisation), organisation))
        else:
            self._backlogs.remove(self._measure_backlog(organisation))
        flow.add(waiting)
        self._by_age.add(waiting)
        self._backlogs.add(self._measure_backlog(organisation))

    def remove(self, waiting: _Waiting) -> None:
        """Takes a request out without a charge."""
        organisation = waiting.ask.organisation
        flow = self._flows[organisation]
        self._backlogs.remove(self._measure_backlog(organisation))
        flow.remove(waiting)
        self._by_age.remove(waiting)
        if flow:
            self._backlogs.add(self._measure_backlog(organisation))
        else:
            del self._flows[organisation]
            self._tags.remove((self._share.tag(organisation), organisation))

    def find_next(self, now: datetime.timedelta) -> _Waiting:
        """Returns the next request of the organisation that is due.

        Its oldest request that can still meet the target goes first, since a
        late one can't gain from it; one grant in `_LATE_INTERVAL` goes to the
        oldest of all.
        """
        flow = self._flows[self._tags[0][1]]
        if self._grants % _LATE_INTERVAL == 0:
            return flow[0]
        target = flow[0].request_class.first_token_target
        oldest_on_time = now - target * _START_SHARE
        index = flow.bisect_key_left((oldest_on_time, ("", 0)))
        return flow[index] if index < len(flow) else flow[0]

    def charge(self, waiting: _Waiting) -> None:
        """Accounts for the grant of a request that is no longer in here."""
        self._grants += 1
        organisation = waiting.ask.organisation
        before = (self._share.tag(organisation), organisation)
        self._share.charge(organisation, waiting.cost, waiting.weight)
        self._move_tag(before)

    def correct(self, organisation: str, difference: float,
                weight: float) -> None:
        """Adds actual minus expected tokens of a finished request."""
        before = (self._share.tag(organisation), organisation)
        self._share.correct(organisation, difference, weight)
        self._move_tag(before)

    def find_longest_backlog(self) -> tuple[float, _Waiting]:
        """Returns the largest weighted backlog and its newest request."""
        backlog, organisation = self._backlogs[-1]
        return backlog, self._flows[organisation][-1]

    def measure_backlog_with(self, organisation: str, weight: float) -> float:
        """Returns an organisation's weighted backlog with one more request."""
        return (len(self._flows.get(organisation, ())) + 1) / weight

    def _measure_backlog(self, organisation: str) -> tuple[float, str]:
        flow = self._flows[organisation]
        return len(flow) / flow[0].weight, organisation

    def _move_tag(self, before: tuple[float, str]) -> None:
        organisation = before[1]
        if organisation not in self._flows:
            return
        self._tags.remove(before)
        self._tags.add((self._share.tag(organisation), organisation))
