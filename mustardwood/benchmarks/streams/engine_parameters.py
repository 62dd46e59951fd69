"""Sizes and speeds of a modelled engine."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineParameters:
    """One engine; the defaults are a user's data sheet.

    Attributes:
        step_time: Seconds of a step with an empty batch.
        stream_step_time: Seconds that each request in the batch adds.
        chunk_tokens: Prompt tokens that a step reads at most.
        prefill_rate: Prompt tokens read in a second.
        slots: Requests in a batch.
        memory_tokens: Tokens that running requests and cached parts share.
        event_tokens: Tokens in a piece of a stream.
        slowness: Factor on all times.
    """

    step_time: float = 0.00289
    stream_step_time: float = 0.0001
    chunk_tokens: int = 2048
    prefill_rate: float = 55_000.0
    slots: int = 64
    memory_tokens: int = 550_690
    event_tokens: int = 6
    slowdown: float = 1.0
