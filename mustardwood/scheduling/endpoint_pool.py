"""The endpoints of a cell and the attempts that run on them."""

import collections
import collections.abc
import datetime

from mustardwood import cells
from mustardwood import configuration
from mustardwood.scheduling import endpoint_record
from mustardwood.scheduling import inter_token_model
from mustardwood.scheduling import running_request
from mustardwood.scheduling import waiting_request

_Record = endpoint_record.EndpointRecord


class EndpointPool:
    """Holds the endpoints by name and the running attempts by key.

    Attributes:
        learning: Whether the owner is still rebuilding its state from the
            entries' heartbeats; each endpoint then runs one attempt at most.
        inter_token_model: Predicts the inter-token time from the load.
    """

    def __init__(self, cell: cells.Cell) -> None:
        self._records: dict[str, _Record] = {}
        self._running: dict[waiting_request.AttemptKey,
                            running_request.RunningRequest] = {}
        self._leaving: frozenset[str] = frozenset()
        self._running_by_class: collections.Counter[str] = collections.Counter()
        self.learning = False
        self.inter_token_model = inter_token_model.InterTokenModel()
        self.update(cell)

    def __iter__(self) -> collections.abc.Iterator[_Record]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    @property
    def running(
        self
    ) -> collections.abc.Mapping[waiting_request.AttemptKey,
                                 running_request.RunningRequest]:
        """All running attempts, by key."""
        return self._running

    @property
    def running_by_class(self) -> collections.abc.Mapping[str, int]:
        """Number of running attempts, by class."""
        return self._running_by_class

    def find(self, name: str) -> _Record | None:
        """Returns the record of an endpoint; None if it is not in the cell."""
        return self._records.get(name)

    def update(self, cell: cells.Cell) -> None:
        """Applies changed endpoints; running attempts stay counted."""
        previous = self._records
        self._records = {}
        for endpoint in cell.endpoints:
            record = previous.get(endpoint.name)
            if record is None:
                record = _Record(endpoint)
            record.endpoint = endpoint
            record.limit.set_max_limit(endpoint.concurrency)
            self._records[endpoint.name] = record
        self._mark_leaving()

    def set_leaving_endpoints(self,
                              names: collections.abc.Iterable[str]) -> None:
        """Sets the endpoints that the platform lists as leaving."""
        self._leaving = frozenset(names)
        self._mark_leaving()

    def add(self, request: running_request.RunningRequest,
            now: datetime.timedelta) -> None:
        """Adds a running attempt."""
        self._running[request.key] = request
        self._running_by_class[request.class_name] += 1
        record = self._records.get(request.endpoint)
        if record is not None:
            record.add(request, now)

    def remove(self, key: waiting_request.AttemptKey,
               now: datetime.timedelta) -> running_request.RunningRequest:
        """Removes a running attempt and returns it."""
        request = self._running.pop(key)
        self._running_by_class[request.class_name] -= 1
        record = self._records.get(request.endpoint)
        if record is not None and key in record.running:
            record.remove(request, now)
        return request

    def count_free_slots(self, now: datetime.timedelta) -> int:
        """Returns the number of attempts that may start in the cell."""
        return sum(
            each.count_free_slots(now, learning=self.learning)
            for each in self._records.values())

    def count_slots(self, now: datetime.timedelta) -> int:
        """Returns the number of attempts that may run at once in the cell."""
        return sum(each.compute_limit(now) for each in self._records.values())

    def has_usable_endpoint(self,
                            excluded: collections.abc.Container[str]) -> bool:
        """Returns whether an endpoint is neither leaving nor excluded."""
        return any(not each.leaving and each.name not in excluded
                   for each in self._records.values())

    def _mark_leaving(self) -> None:
        for name, record in self._records.items():
            state = record.endpoint.state
            record.leaving = (name in self._leaving or
                              state is configuration.EndpointState.LEAVING)
