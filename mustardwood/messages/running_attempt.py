"""A running attempt."""

import msgspec


class RunningAttempt(msgspec.Struct, frozen=True):
    """Describes a running attempt to the owner of its cell.

    The owner may not have granted the attempt itself.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        endpoint: Name of the endpoint.
        class_name: Name of the request class.
        organisation: Name of the caller's organisation.
        prompt_tokens: Estimated length of the prompt, in tokens.
        output_tokens: Number of tokens received so far.
        fingerprint: Hash of the organisation and the request body.
        suspect: Whether the request was in flight when an endpoint crashed.
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
