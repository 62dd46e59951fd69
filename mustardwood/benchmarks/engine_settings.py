"""Speed and capacity of a modelled engine."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """Linear model of continuous batching with chunked prefill, after [1]_.

    One step generates a token for each decoding sequence and prefills a chunk
    of one prompt.

    Attributes:
        base_seconds: Duration of a step with an empty batch.
        seconds_per_sequence: Time that each sequence in the batch adds to a
            step.
        chunk_tokens: Prompt tokens that are prefilled in a step.
        chunk_seconds: Time that a prefill chunk adds to a step.
        batch_limit: Maximum number of sequences in a batch; further ones wait
            in order of priority.
        cached_prefixes: Maximum number of prompt prefixes in the cache.
        cached_share: Share of a prompt that need not be prefilled when its
            prefix is cached.

    References:
        .. [1] A. Agrawal et al., "Taming throughput-latency tradeoff in LLM
           inference with Sarathi-Serve", OSDI 2024.
    """

    base_seconds: float = 0.018
    seconds_per_sequence: float = 0.0012
    chunk_tokens: int = 512
    chunk_seconds: float = 0.022
    batch_limit: int = 32
    cached_prefixes: int = 64
    cached_share: float = 0.7
