"""Bodies of the replies to operators' queries."""

import msgspec

from mustardwood import scheduling


class StatusBody(msgspec.Struct, frozen=True):
    """Body of the reply to the query ``status``.

    Attributes:
        cells: Status of the cells that have received messages here.
    """

    cells: tuple[scheduling.CellStatus, ...]


class EventBody(msgspec.Struct, frozen=True):
    """One event in the history of a request.

    Attributes:
        time: Wall-clock time, ISO 8601 in UTC.
        part: Process that recorded the event.
        text: One sentence that explains the event.
    """

    time: str
    part: str
    text: str


class ExplainBody(msgspec.Struct, frozen=True):
    """Body of the reply to the query ``explain``.

    Attributes:
        events: Events of the request, oldest first.
    """

    events: tuple[EventBody, ...]
