"""The progress of an attempt."""

import datetime

import msgspec

from mustardwood.messages import outcome as outcome_module


class AttemptReport(msgspec.Struct, frozen=True, tag="attempt_report"):
    """Tells a scheduler of an attempt's first token or of its end.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        cell: Name of the cell.
        endpoint: Name of the endpoint.
        outcome: How the attempt ended; None when only the first token came.
        first_token: Time from the send to the first token; None if none came.
        inter_token: Mean time between tokens; None for fewer than two tokens.
        output_tokens: Tokens received so far.
        fingerprint: Hash of organisation and body.
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
