"""An attempt that is under way."""

import msgspec


class RunningAttempt(msgspec.Struct, frozen=True):
    """What a scheduler must know of an attempt that it may not have granted.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        endpoint: Name of the endpoint.
        class_name: Request class.
        organisation: Caller's organisation.
        prompt_tokens: Estimate of the prompt's length.
        output_tokens: Tokens received so far.
        fingerprint: Hash of organisation and body.
        suspect: Whether the request was in flight at an endpoint's crash.
    """

    request_id: str
    attempt: int
    endpoint: str
    class_name: str
    organisation: str
    prompt_tokens: int
    output_tokens: int
    fingerprint: str = ""
    suspect: bool = False
