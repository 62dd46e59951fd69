"""What a response says of its endpoint, besides the response itself."""

import dataclasses

from mustardwood.dispatch import pause_statement
from mustardwood.dispatch import rate_statement


@dataclasses.dataclass(frozen=True)
class EndpointStatements:
    """What the head of a response states of its endpoint.

    Attributes:
        rate: Its rate limit.
        is_leaving: Whether it accepts no new requests, until it starts again.
        pause: The pause that it asks this VM for.
        max_refusals: Number of requests that it may turn away in a second
            without failing; None if it states none.
    """

    rate: rate_statement.RateStatement = rate_statement.RateStatement()
    is_leaving: bool = False
    pause: pause_statement.PauseStatement = pause_statement.PauseStatement()
    max_refusals: int | None = None
