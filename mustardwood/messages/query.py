"""A query of an operator to a process."""

import enum

import msgspec


class QueryKind(enum.StrEnum):
    """What a query asks for."""

    STATUS = "status"
    EXPLAIN = "explain"
    BURN = "burn"


class Query(msgspec.Struct, frozen=True, tag="query"):
    """Asks an agent, a scheduler or an entry for information.

    Attributes:
        query_id: Number of the query, unique per sender.
        kind: What the query asks for.
        subject: Request id for ``explain``. Range of minutes for ``burn``, as
            in ``29123-29125``; empty for all minutes that are kept. Empty for
            ``status``.
    """

    query_id: int
    kind: QueryKind
    subject: str = ""
