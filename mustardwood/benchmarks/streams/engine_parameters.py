"""Speed and capacity of a modelled engine."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineParameters:
    """Speed and capacity of an engine; the defaults are a user's data sheet.

    Attributes:
        step_time: Duration of a step with an empty batch, in seconds.
        stream_step_time: Time that each request in the batch adds to a step,
            in seconds.
        chunk_tokens: Maximum number of prompt tokens prefilled in a step.
        prefill_rate: Prompt tokens prefilled per second.
        slots: Maximum number of requests in a batch.
        memory_tokens: Capacity of the KV cache, in tokens, which running
            requests and cached prompt parts share.
        event_tokens: Tokens in one event of a stream.
        slowdown: Factor on all times.
        context_step_time: Time that each 1,000 tokens of running requests in
            the KV cache add to a step, in seconds.
        pair_time: Time that a million pairs of a prompt's tokens add to its
            prefill, in seconds.
        base_time: Time that passes before the first token of a response, while
            the engine runs other requests, in seconds.
        output_share: Share of the announced maximum number of output tokens
            that a response has.
    """

    step_time: float = 0.00289
    stream_step_time: float = 0.0001
    chunk_tokens: int = 2048
    prefill_rate: float = 55_000.0
    slots: int = 64
    memory_tokens: int = 550_690
    event_tokens: int = 6
    slowdown: float = 1.0
    context_step_time: float = 0.0
    pair_time: float = 0.0
    base_time: float = 0.0
    output_share: float = 1.0
