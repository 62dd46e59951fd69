"""The cells of one scheduler process."""

import collections.abc
import datetime

import msgspec

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood import scheduling

_OutgoingMessages = tuple[messages.AddressedMessage, ...]


class CellTable:
    """Holds a `CellScheduler` for each cell, created at its first message.

    Attributes:
        version: Version of the current configuration; 0 before the first.
    """

    def __init__(self, observer: scheduling.Observer) -> None:
        self.version = 0
        self._observer = observer
        self._document: configuration.Document | None = None
        self._cells: dict[str, cells.Cell] = {}
        self._schedulers: dict[str, scheduling.CellScheduler] = {}
        self._leaving_endpoints: tuple[str, ...] = ()
        self._suspect_fingerprints: tuple[str, ...] = ()

    def __iter__(self) -> collections.abc.Iterator[scheduling.CellScheduler]:
        return iter(list(self._schedulers.values()))

    def find_scheduler(self, name: str) -> scheduling.CellScheduler | None:
        """Returns the scheduler of a cell, or None if the cell is unknown."""
        existing = self._schedulers.get(name)
        if existing is not None:
            return existing
        cell = self._cells.get(name)
        if cell is None or self._document is None:
            return None
        created = scheduling.CellScheduler.from_config(cell, self._document,
                                                       self._observer)
        created.set_leaving_endpoints(self._leaving_endpoints)
        created.set_suspect_fingerprints(self._suspect_fingerprints)
        self._schedulers[name] = created
        return created

    def is_model_endpoint(self, endpoint: configuration.Endpoint) -> bool:
        """Returns whether an endpoint serves a model."""
        if self._document is None:
            return False
        return any(
            each.name == endpoint.serves for each in self._document.models)

    def apply_view(self, view: messages.View,
                   now: datetime.timedelta) -> _OutgoingMessages:
        """Applies a view; ignores a configuration that is not newer.

        Args:
            view: The view.
            now: Monotonic time.

        Returns:
            Messages to send.

        Raises:
            msgspec.MsgspecError: The configuration can't be decoded; the
                previous one stays in force.
        """
        outgoing: _OutgoingMessages = ()
        versioned = view.configuration
        if versioned is not None and versioned.version > self.version:
            document = msgspec.json.decode(versioned.text,
                                           type=configuration.Document)
            outgoing = self._replace_document(document, now)
            self.version = versioned.version
        self._update_leaving_and_suspects(view)
        return outgoing

    def _replace_document(self, document: configuration.Document,
                          now: datetime.timedelta) -> _OutgoingMessages:
        self._document = document
        self._cells = {each.name: each for each in cells.build_cells(document)}
        outgoing: _OutgoingMessages = ()
        for name, scheduler in list(self._schedulers.items()):
            cell = self._cells.get(name)
            if cell is None:
                outgoing += scheduler.stop(now)
                del self._schedulers[name]
            else:
                outgoing += scheduler.update_cell(cell, document, now)
        return outgoing

    def _update_leaving_and_suspects(self, view: messages.View) -> None:
        if view.leaving_endpoints != self._leaving_endpoints:
            self._leaving_endpoints = view.leaving_endpoints
            for scheduler in self:
                scheduler.set_leaving_endpoints(self._leaving_endpoints)
        if view.suspects != self._suspect_fingerprints:
            self._suspect_fingerprints = view.suspects
            for scheduler in self:
                scheduler.set_suspect_fingerprints(self._suspect_fingerprints)
