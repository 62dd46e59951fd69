"""The work on one endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """Work that one VM, or all, have on an endpoint.

    Attributes:
        prefill_tokens: Prompt tokens sent and not yet answered by a token.
        places: Requests that are running or queued there.
        brisk_streams: Those among them whose pieces have a tight aim.
        held_tokens: Tokens of memory that they are expected to fill.
    """

    prefill_tokens: int = 0
    requests: int = 0
    interactive_streams: int = 0
    held_tokens: int = 0

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
