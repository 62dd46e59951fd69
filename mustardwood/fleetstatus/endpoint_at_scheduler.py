"""An endpoint as one scheduler reports it."""

import msgspec


class EndpointAtScheduler(msgspec.Struct, frozen=True):
    """An endpoint as one scheduler reports it.

    Attributes:
        scheduler: Name of the scheduler's VM.
        running: Number of attempts that the scheduler has running there.
        limit: Concurrency limit in force.
        state: ``active``, ``leaving``, ``failing`` or ``straggling``.
    """

    scheduler: str
    running: int
    limit: int
    state: str
