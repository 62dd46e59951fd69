"""Load of an engine at the moment of a measurement."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineState:
    """Load of an engine, as far as the VM knows it.

    Attributes:
        requests: Number of requests that run or wait there.
        held_tokens: Number of tokens that they are expected to hold in the KV
            cache.
        prefill_tokens: Number of their prompt tokens that are not prefilled.
        slots: Number of requests that the engine runs at once.
    """

    requests: int = 0
    held_tokens: int = 0
    prefill_tokens: int = 0
    slots: int = 1

    @property
    def running(self) -> int:
        """Number of requests that run, at most one for each slot."""
        return min(self.requests, max(1, self.slots))
