"""Capacity and speed of a stand-in engine."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineOptions:
    """Capacity and speed of a stand-in engine without faults.

    Attributes:
        models: Names of the models that it serves.
        base_step_seconds: Fixed part of the duration of a batch step.
        stream_step_seconds: Time that each stream adds to a step.
        prefill_token_seconds: Prefill time of each prompt token that is not
            in the prefix cache.
        batch_limit: Maximum number of streams in the batch.
        queue_limit: Maximum number of queued requests; further requests are
            refused.
        cache_tokens: Capacity of the prefix cache in tokens.
        load_lag_seconds: Interval between two updates of the load report.
        checks_fencing: Whether orders with an outdated fencing number are
            refused.
    """

    models: tuple[str, ...]
    base_step_seconds: float = 0.02
    stream_step_seconds: float = 0.001
    prefill_token_seconds: float = 0.0005
    batch_limit: int = 16
    queue_limit: int = 64
    cache_tokens: int = 8192
    load_lag_seconds: float = 0.5
    checks_fencing: bool = False
