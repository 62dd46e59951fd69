"""State of an attempt inside a modelled engine."""

import collections.abc
import dataclasses


@dataclasses.dataclass(eq=False)
class Sequence:
    """State of one attempt, updated by the engine.

    Attributes:
        attempt_id: Unique id of the attempt.
        priority: Priority; 0 is the most urgent.
        prompt_tokens: Length of the prompt, in tokens.
        output_tokens: Length of the complete output, in tokens; not known to
            the router.
        prefix: Hash of the shared prompt prefix; 0 for none.
        on_first_token: Called when the first token is generated.
        on_end: Called with True when the output is complete and with False
            when the attempt failed.
        remaining_prefill: Prompt tokens that are not prefilled yet.
        finish_step: Step count of the engine at which the output is complete.
        start_step: Step count of the engine at the first token.
        is_decoding: Whether the first token was generated.
        tokens_done: Tokens generated before the attempt was interrupted.
    """

    attempt_id: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    prefix: int
    on_first_token: collections.abc.Callable[[], None]
    on_end: collections.abc.Callable[[bool], None]
    remaining_prefill: float = 0.0
    finish_step: float = 0.0
    start_step: float = 0.0
    is_decoding: bool = False
    tokens_done: int = 0
