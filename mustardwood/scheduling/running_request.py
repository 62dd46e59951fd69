"""A running attempt of a request."""

import dataclasses
import datetime

from mustardwood import messages
from mustardwood.scheduling import waiting_request


@dataclasses.dataclass
class RunningRequest:
    """An attempt that this scheduler or an earlier owner of the cell granted.

    Attributes:
        key: Request id and attempt.
        sender: Entry that sends the request to the endpoint.
        endpoint: Name of the endpoint.
        class_name: Name of the request class.
        organisation: Caller's organisation.
        weight: Weight of the organisation.
        output_tokens: Expected length of the answer, in tokens.
        prompt_tokens: Length of the prompt, in tokens.
        granted_at: When this scheduler granted it, or learnt of it from a
            heartbeat.
        fingerprint: Hash of organisation and body.
        suspect: Whether its entry suspects it of crashing endpoints.
        grant: The grant, sent again for a repeated ask; None for an attempt
            that was taken over from an earlier owner.
        has_first_token: Whether it has received its first token.
    """

    key: waiting_request.AttemptKey
    sender: messages.Peer
    endpoint: str
    class_name: str
    organisation: str
    weight: float
    output_tokens: float
    prompt_tokens: int
    granted_at: datetime.timedelta
    fingerprint: str = ""
    suspect: bool = False
    grant: messages.Grant | None = None
    has_first_token: bool = False
