"""Queue of the waiting requests of one class."""

import datetime

import sortedcontainers

from mustardwood.scheduling import fair_share
from mustardwood.scheduling import waiting_request

_OLDEST_FIRST_INTERVAL = 4
"""One grant in this many goes to the oldest request, even if it is late."""
_MAX_TARGET_FRACTION = 0.8
"""Share of the first-token target that may pass before the grant.

A request that has waited longer since its arrival counts as late.
"""

_Waiting = waiting_request.WaitingRequest


def _get_sort_key(waiting: _Waiting) -> object:
    return waiting.sort_key


class ClassQueue:
    """Holds the requests of a class by organisation and by arrival time.

    Organisations share the class's grants in proportion to their weights. The
    requests of one organisation form a flow. Each operation takes O(log n).
    """

    def __init__(self) -> None:
        self._grant_count = 0
        self._fair_share = fair_share.FairShare()
        self._by_age = sortedcontainers.SortedKeyList(key=_get_sort_key)
        self._flows: dict[str, sortedcontainers.SortedKeyList] = {}
        self._start_tags = sortedcontainers.SortedList()
        self._weighted_backlogs = sortedcontainers.SortedList()

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
        """Adds a request."""
        organisation = waiting.ask.organisation
        flow = self._flows.get(organisation)
        if flow is None:
            flow = sortedcontainers.SortedKeyList(key=_get_sort_key)
            self._flows[organisation] = flow
            self._fair_share.activate(organisation)
            self._start_tags.add(
                (self._fair_share.get_start_tag(organisation), organisation))
        else:
            self._weighted_backlogs.remove(self._measure_backlog(organisation))
        flow.add(waiting)
        self._by_age.add(waiting)
        self._weighted_backlogs.add(self._measure_backlog(organisation))

    def remove(self, waiting: _Waiting) -> None:
        """Removes a request without charging its organisation."""
        organisation = waiting.ask.organisation
        flow = self._flows[organisation]
        self._weighted_backlogs.remove(self._measure_backlog(organisation))
        flow.remove(waiting)
        self._by_age.remove(waiting)
        if flow:
            self._weighted_backlogs.add(self._measure_backlog(organisation))
        else:
            del self._flows[organisation]
            self._start_tags.remove(
                (self._fair_share.get_start_tag(organisation), organisation))

    def find_next(self, now: datetime.timedelta) -> _Waiting:
        """Returns the request to grant next.

        It belongs to the organisation with the earliest start tag. The oldest
        request that can still meet its first-token target is preferred, since
        a late request misses its target in any case. One grant in
        `_OLDEST_FIRST_INTERVAL` goes to the organisation's oldest request, so
        that late requests are still served.
        """
        flow = self._flows[self._start_tags[0][1]]
        if self._grant_count % _OLDEST_FIRST_INTERVAL == 0:
            return flow[0]
        target = flow[0].request_class.first_token_target
        oldest_on_time = now - target * _MAX_TARGET_FRACTION
        index = flow.bisect_key_left((oldest_on_time, ("", 0)))
        return flow[index] if index < len(flow) else flow[0]

    def charge(self, waiting: _Waiting) -> None:
        """Charges an organisation for a granted request, removed before."""
        self._grant_count += 1
        organisation = waiting.ask.organisation
        old_tag = (self._fair_share.get_start_tag(organisation), organisation)
        self._fair_share.charge(organisation, waiting.cost, waiting.weight)
        self._update_start_tag(old_tag)

    def correct_charge(self, organisation: str, difference: float,
                       weight: float) -> None:
        """Adjusts a charge by the actual minus the expected tokens."""
        old_tag = (self._fair_share.get_start_tag(organisation), organisation)
        self._fair_share.correct_charge(organisation, difference, weight)
        self._update_start_tag(old_tag)

    def find_longest_backlog(self) -> tuple[float, _Waiting]:
        """Returns the longest weighted backlog and its newest request.

        A weighted backlog is the number of waiting requests of an organisation
        divided by its weight.
        """
        backlog, organisation = self._weighted_backlogs[-1]
        return backlog, self._flows[organisation][-1]

    def measure_backlog_with(self, organisation: str, weight: float) -> float:
        """Returns an organisation's weighted backlog with one more request."""
        return (len(self._flows.get(organisation, ())) + 1) / weight

    def _measure_backlog(self, organisation: str) -> tuple[float, str]:
        flow = self._flows[organisation]
        return len(flow) / flow[0].weight, organisation

    def _update_start_tag(self, old_tag: tuple[float, str]) -> None:
        organisation = old_tag[1]
        if organisation not in self._flows:
            return
        self._start_tags.remove(old_tag)
        self._start_tags.add(
            (self._fair_share.get_start_tag(organisation), organisation))
