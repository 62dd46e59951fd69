"""A report on the progress of an attempt."""

import datetime

import msgspec

from mustardwood.messages import outcome as outcome_module


class AttemptReport(msgspec.Struct, frozen=True, tag="attempt_report"):
    """Reports the first token or the end of an attempt to a scheduler.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        cell: Name of the cell.
        endpoint: Name of the endpoint.
        outcome: How the attempt ended; None if it goes on and only its first
            token is reported.
        first_token: Time from sending the request to the first token; None if
            no token was received.
        inter_token: Mean time between tokens; None for fewer than two tokens.
        output_tokens: Number of tokens received so far.
        fingerprint: Hash of the organisation and the request body.
    """

    request_id: str
    attempt: int
    cell: str
    endpoint: str
    outcome: outcome_module.Outcome | None = None
    first_token: datetime.timedelta | None = None
    inter_token: datetime.timedelta | None = None
    output_tokens: int = 0
    fingerprint: str = ""
