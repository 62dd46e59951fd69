"""The cells that a scheduler serves."""

import collections.abc
import datetime

import msgspec

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood import scheduling

_Answers = tuple[messages.Addressed, ...]


class CellTable:
    """Builds the cells of the configuration, each at its first message.

    Attributes:
        version: Version of the configuration in force; 0 before the first.
    """

    def __init__(self, observer: scheduling.Observer) -> None:
        self.version = 0
        self._observer = observer
        self._document: configuration.Document | None = None
        self._cells: dict[str, cells.Cell] = {}
        self._schedulers: dict[str, scheduling.CellScheduler] = {}
        self._leaving: tuple[str, ...] = ()
        self._suspects: tuple[str, ...] = ()

    def __iter__(self) -> collections.abc.Iterator[scheduling.CellScheduler]:
        return iter(list(self._schedulers.values()))

    def find_scheduler(self, name: str) -> scheduling.CellScheduler | None:
        """Returns the scheduler of a cell; None for an unknown cell."""
        found = self._schedulers.get(name)
        if found is not None:
            return found
        cell = self._cells.get(name)
        if cell is None or self._document is None:
            return None
        made = scheduling.CellScheduler.from_config(cell, self._document,
                                                    self._observer)
        made.set_leaving_endpoints(self._leaving)
        made.set_suspect_fingerprints(self._suspects)
        self._schedulers[name] = made
        return made

    def is_model_endpoint(self, endpoint: configuration.Endpoint) -> bool:
        """Returns whether an endpoint serves a model."""
        if self._document is None:
            return False
        return any(
            each.name == endpoint.serves for each in self._document.models)

    def apply_view(self, view: messages.View,
                   now: datetime.timedelta) -> _Answers:
        """Puts a view in force; an older configuration is passed over.

        Raises:
            msgspec.MsgspecError: The configuration can't be decoded; the last
                one stays in force.
        """
        answers: _Answers = ()
        versioned = view.configuration
        if versioned is not None and versioned.version > self.version:
            document = msgspec.json.decode(versioned.text,
                                           type=configuration.Document)
            answers = self._update(document, now)
            self.version = versioned.version
        self._set_marks(view)
        return answers

    def _update(self, document: configuration.Document,
                now: datetime.timedelta) -> _Answers:
        self._document = document
        self._cells = {each.name: each for each in cells.build_cells(document)}
        answers: _Answers = ()
        for name, scheduler in list(self._schedulers.items()):
            cell = self._cells.get(name)
            if cell is None:
                answers += scheduler.stop(now)
                del self._schedulers[name]
            else:
                answers += scheduler.update_cell(cell, document, now)
        return answers

    def _set_marks(self, view: messages.View) -> None:
        if view.leaving_endpoints != self._leaving:
            self._leaving = view.leaving_endpoints
            for scheduler in self:
                scheduler.set_leaving_endpoints(self._leaving)
        if view.suspects != self._suspects:
            self._suspects = view.suspects
            for scheduler in self:
                scheduler.set_suspect_fingerprints(self._suspects)
