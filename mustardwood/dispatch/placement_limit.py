"""Limits that keep a request from being placed on an endpoint."""

import enum


class PlacementLimit(enum.StrEnum):
    """The limit because of which a request has to wait.

    Attributes:
        SLOTS: The engine has as many requests as it may have.
        MEMORY: The engine's KV cache has no room for the request.
        PREFILL: The engine has as many prompt tokens to prefill as it may have.
        PAUSED: The endpoint has asked this VM for a pause.
        RATE: The endpoint's rate limit is used up, or a more urgent request
            waits for it.
        RESERVED: The engine is reserved for interactive streams.
        REGISTRATIONS: The stream goes on where the endpoint's software version
            is certain, which needs registrations that are read now.
        NO_ENDPOINT: There is no endpoint that was not tried before.
    """

    SLOTS = "slots"
    MEMORY = "memory"
    PREFILL = "prefill"
    PAUSED = "paused"
    RATE = "rate"
    RESERVED = "reserved"
    REGISTRATIONS = "registrations"
    NO_ENDPOINT = "no endpoint"
