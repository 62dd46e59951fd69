"""An entry's request for an endpoint."""

import datetime

import msgspec


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """Asks a cell's scheduler for a grant; idempotent by request and attempt.

    Attributes:
        request_id: Unique id of the caller's request.
        attempt: Number of the attempt, from 1.
        cell: Name of the cell.
        class_name: Request class.
        organisation: Caller's organisation.
        prompt_tokens: Estimate of the prompt's length.
        max_tokens: Bound on the answer's length.
        prefix: Hash of the start of the prompt; 0 for none.
        waited: Time since the request arrived at the entry.
        remaining: Time left until the request's deadline.
        excluded: Endpoints that already failed this request.
        fingerprint: Hash of organisation and body.
        suspect: Whether the request was in flight at an endpoint's crash.
    """

    request_id: str
    attempt: int
    cell: str
    class_name: str
    organisation: str
    prompt_tokens: int
    max_tokens: int
    prefix: int
    waited: datetime.timedelta
    remaining: datetime.timedelta
    excluded: tuple[str, ...] = ()
    fingerprint: str = ""
    suspect: bool = False
