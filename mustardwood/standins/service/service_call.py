"""A call that the service stand-in executed."""

import msgspec


class ServiceCall(msgspec.Struct, frozen=True):
    """An entry of ``GET /log``.

    Attributes:
        request_id: Id of the request, from ``x-request-id``.
        attempt_id: Id of the attempt, from ``x-attempt-id``; a request that is
            retried has several attempts.
        idempotency_key: Idempotency key that the caller gave; empty for none.
        method: HTTP method.
        path: Path with its query.
        body: Request body as text.
    """

    request_id: str
    attempt_id: str
    idempotency_key: str
    method: str
    path: str
    body: str
