"""An attempt that runs on an endpoint."""

import dataclasses
import datetime

from mustardwood import messages
from mustardwood.scheduling import waiting_request


@dataclasses.dataclass
class RunningRequest:
    """An attempt that was granted, here or by an earlier owner.

    Attributes:
        key: Request id and attempt.
        sender: Entry that runs it.
        endpoint: Name of the endpoint.
        class_name: Request class.
        organisation: Caller's organisation.
        weight: Weight of the organisation.
        output_tokens: Expected length of the answer, in tokens.
        prompt_tokens: Length of the prompt.
        granted_at: When this owner heard of it.
        fingerprint: Hash of organisation and body.
        suspect: Whether it may crash its endpoint.
        grant: The grant, to be repeated; None when taken over.
        started: Whether its first token came.
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
