"""A request as a stand-in engine runs it."""

import dataclasses
import enum

from mustardwood.standins.engine import response_sink


class AttemptState(enum.StrEnum):
    """What became of an attempt."""

    QUEUED = "queued"
    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    CUT = "cut"


@dataclasses.dataclass(eq=False)
class Attempt:
    """One send of a request.

    Attributes:
        request_id: Id of the request.
        attempt_id: Id of the send.
        priority: 0 is the most urgent.
        prompt_words: The prompt, with the text of a resumed answer.
        tokens: Tokens to send.
        finish_reason: Reason of the end.
        is_poison: Whether its start crashes the engine.
        sink: Where the answer goes.
        state: What became of it.
        sent: Number of tokens sent.
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
