"""An attempt inside a modelled engine."""

import collections.abc
import dataclasses


@dataclasses.dataclass(eq=False)
class Sequence:
    """State of one attempt; the engine changes it.

    Attributes:
        attempt_id: Unique id of the attempt.
        priority: 0 is the most urgent.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the whole answer; the router can't know it.
        prefix: Hash of the prompt's start; 0 for none.
        on_first: Called at the first token.
        on_end: Called with whether the answer is whole.
        prefill_left: Prompt tokens still to be prefilled.
        finish_mark: Engine's token counter at which the answer is whole.
        start_mark: Engine's token counter at the first token.
        is_decoding: Whether the first token has come.
        tokens_done: Tokens generated when the attempt was cut.
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
