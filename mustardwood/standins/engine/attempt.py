"""One attempt of a request, as a stand-in engine runs it."""

import dataclasses
import enum

from mustardwood.standins.engine import response_sink


class AttemptState(enum.StrEnum):
    """State of an attempt.

    `CUT` stands for a stream that a fault truncated or reset, and `CRASHED` for
    one lost in a crash of the engine.
    """

    QUEUED = "queued"
    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    CUT = "cut"


@dataclasses.dataclass(eq=False)
class Attempt:
    """One attempt of a request.

    Attributes:
        request_id: Id of the request.
        attempt_id: Id of the attempt.
        priority: Priority; 0 is the most urgent.
        prompt_words: Words to prefill: the prompt, followed by the text to
            resume after.
        tokens: Tokens to send.
        finish_reason: Finish reason to send after the tokens.
        is_poison: Whether running it crashes the engine.
        sink: Receives the tokens and writes the response.
        state: Current state.
        sent: Number of tokens sent so far.
    """

    request_id: str
    attempt_id: str
    priority: int
    prompt_words: tuple[str, ...]
    tokens: tuple[str, ...]
    finish_reason: str
    is_poison: bool
    sink: response_sink.ResponseSink
    state: AttemptState = AttemptState.QUEUED
    sent: int = 0
