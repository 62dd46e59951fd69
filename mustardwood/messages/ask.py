"""A request of an entry for an endpoint."""

import datetime

import msgspec


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """Asks the scheduler of a cell to grant an attempt an endpoint.

    A repeated ask for the same request and attempt has no further effect.

    Attributes:
        request_id: Unique id of the caller's request.
        attempt: Number of the attempt, from 1.
        cell: Name of the cell.
        class_name: Name of the request class.
        organisation: Name of the caller's organisation.
        prompt_tokens: Estimated length of the prompt, in tokens.
        max_tokens: Maximum length of the output, in tokens.
        prefix: Hash of the beginning of the prompt; 0 if it has none.
        waited: Time since the request arrived at the entry.
        remaining: Time left until the request's deadline.
        excluded: Names of the endpoints that already failed this request.
        fingerprint: Hash of the organisation and the request body.
        suspect: Whether the request was in flight when an endpoint crashed.
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
