"""The reply to a query of an operator."""

import msgspec


class QueryReply(msgspec.Struct, frozen=True, tag="query_reply"):
    """Replies to a `Query`.

    Attributes:
        query_id: Number of the query.
        vm: Name of the VM that replies.
        body: JSON of a type that depends on the kind of the query.
    """

    query_id: int
    vm: str
    body: bytes
