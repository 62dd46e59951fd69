"""A call that ran."""

import msgspec


class ServiceCall(msgspec.Struct, frozen=True):
    """A call as the log shows it.

    Attributes:
        request_id: Id of the request.
        attempt_id: Id of the send.
        idempotency_key: Key that the caller gave; empty for none.
        method: HTTP method.
        path: Path with its query.
        body: Body as text.
    """

    request_id: str
    attempt_id: str
    idempotency_key: str
    method: str
    path: str
    body: str
