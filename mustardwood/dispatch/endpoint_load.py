"""Load of one endpoint."""

import dataclasses

from mustardwood import profiles


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """Load that one VM, or all VMs together, put on an endpoint.

    Attributes:
        prefill_tokens: Prompt tokens sent to the endpoint for which no output
            has arrived yet.
        requests: Number of requests that are running or queued there.
        interactive_streams: Number of interactive streams among them, which
            have a short inter-event target.
        held_tokens: Number of tokens that the requests are expected to hold in
            the endpoint's KV cache.
    """

    prefill_tokens: int = 0
    requests: int = 0
    interactive_streams: int = 0
    held_tokens: int = 0

    def build_state(self, slots: int) -> profiles.EngineState:
        """Returns the load for a measurement of an engine.

        Args:
            slots: Number of slots of the engine.
        """
        return profiles.EngineState(self.requests, self.held_tokens,
                                    self.prefill_tokens, slots)

    def __add__(self, other: "EndpointLoad") -> "EndpointLoad":
        return EndpointLoad(
            self.prefill_tokens + other.prefill_tokens,
            self.requests + other.requests,
            self.interactive_streams + other.interactive_streams,
            self.held_tokens + other.held_tokens)

    def __sub__(self, other: "EndpointLoad") -> "EndpointLoad":
        return EndpointLoad(
            self.prefill_tokens - other.prefill_tokens,
            self.requests - other.requests,
            self.interactive_streams - other.interactive_streams,
            self.held_tokens - other.held_tokens)
