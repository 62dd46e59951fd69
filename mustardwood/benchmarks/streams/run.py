"""State of a request on a modelled engine."""

import dataclasses

from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import service_request


@dataclasses.dataclass(eq=False)
class Run:
    """State of a request on an engine, updated by the engine.

    Attributes:
        request: The request.
        output_tokens: Length of the complete output, in tokens.
        listener: Receives the events of the response.
        remaining_prefill_tokens: Prompt tokens that are not prefilled yet.
        held_tokens: Size of the request in the KV cache, in tokens.
        generated_tokens: Number of output tokens generated.
        last_event_id: Id of the last event sent; 0 before the first.
        submitted_at: Simulated time at which the engine got it, in seconds.
    """

    request: service_request.ServiceRequest
    output_tokens: int
    listener: forwarding_context.AttemptListener
    remaining_prefill_tokens: int = 0
    held_tokens: int = 0
    generated_tokens: int = 0
    last_event_id: int = 0
    submitted_at: float = 0.0
