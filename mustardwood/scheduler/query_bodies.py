"""Bodies of the answers to operators' questions."""

import msgspec

from mustardwood import scheduling


class StatusBody(msgspec.Struct, frozen=True):
    """Answer to ``status``.

    Attributes:
        cells: Cells that this scheduler serves.
    """

    cells: tuple[scheduling.CellStatus, ...]


class EventBody(msgspec.Struct, frozen=True):
    """One decision.

    Attributes:
        time: Wall-clock time, ISO 8601 in UTC.
        part: Part of the system that decided.
        text: One sentence.
    """

    time: str
    part: str
    text: str


class ExplainBody(msgspec.Struct, frozen=True):
    """Answer to ``explain``.

    Attributes:
        events: Decisions about the request, oldest first.
    """

    events: tuple[EventBody, ...]
