"""One request on a modelled engine."""

import dataclasses

from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import service_request


@dataclasses.dataclass(eq=False)
class Run:
    """State of a request on an engine, which changes it.

    Attributes:
        request: The request.
        output_tokens: Length of the whole answer.
        listener: Gets the pieces.
        prefill_left: Prompt tokens still to be read.
        held_tokens: Tokens of memory that it fills.
        made: Tokens generated.
        told: Number of the last piece that was sent.
    """

    request: service_request.ServiceRequest
    output_tokens: int
    listener: forwarding_context.AttemptListener
    remaining_prefill_tokens: int = 0
    held_tokens: int = 0
    generated_tokens: int = 0
    last_event_id: int = 0
