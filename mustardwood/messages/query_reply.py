"""The answer to an operator's question."""

import msgspec


class QueryReply(msgspec.Struct, frozen=True, tag="query_reply"):
    """Answers a `Query`.

    Attributes:
        query_id: Number of the question.
        vm: Name of the answering VM.
        body: JSON of a type that depends on the kind of question.
    """

    query_id: int
    vm: str
    body: bytes
