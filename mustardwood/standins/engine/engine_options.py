"""Size and speed of a stand-in engine."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineOptions:
    """How a stand-in engine behaves without faults.

    Attributes:
        models: Names of the models that it serves.
        base_step_seconds: Time of a batch step with no stream.
        stream_step_seconds: Time that each stream adds to a step.
        prefill_token_seconds: Time for each prompt token that is not cached.
        batch_limit: Largest number of streams in the batch.
        queue_limit: Largest number of requests that wait; more are refused.
        cache_tokens: Size of the prefix cache in tokens.
        load_lag_seconds: Time between two updates of the load report.
        checks_fencing: Whether orders with an old fencing number are refused.
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
