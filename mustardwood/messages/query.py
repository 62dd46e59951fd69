"""A question of an operator to a process."""

import enum

import msgspec


class QueryKind(enum.StrEnum):
    """What is asked."""

    STATUS = "status"
    EXPLAIN = "explain"
    BURN = "burn"


class Query(msgspec.Struct, frozen=True, tag="query"):
    """Asks an agent, a scheduler or an entry to describe something.

    Attributes:
        query_id: Number of the question, unique for the sender.
        kind: What is asked.
        subject: Request id for ``explain``; range of minutes for ``burn``, as
            in ``29123-29125``, empty for all that are kept; empty otherwise.
    """

    query_id: int
    kind: QueryKind
    subject: str = ""
