"""Speeds of a modelled engine."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """Linear model of continuous batching, after [1]_.

    One step yields a token for each sequence in the batch and advances one
    prefill by a chunk.

    Attributes:
        base_seconds: Time of a step with an empty batch.
        slope_seconds: Added time of a step for each sequence.
        chunk_tokens: Prompt tokens prefilled in a step.
        chunk_seconds: Added time of a step that prefills.
        batch_limit: Sequences in a batch; more wait by priority.
        cached_prefixes: Prompt prefixes that the cache holds.
        cached_share: Share of a prompt that a cached prefix saves.

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
