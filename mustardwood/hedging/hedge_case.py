"""What is known when it is decided whether to hedge a request."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class HedgeCase:
    """A request that waits for the first byte, and its possible endpoints.

    Attributes:
        is_repeatable: Whether one more endpoint may run the request beside the
            first, and no byte of a response has arrived.
        is_suspected: Whether endpoints have crashed under it or under a part
            of its prompt.
        is_tier_refused: Whether requests of its tier are being refused.
        has_more_urgent: Whether a more urgent request waits for an endpoint.
        waited: Time since it was sent to the first endpoint.
        delay: Time after which requests of its route are hedged; None if too
            few times are known.
        free_slot_share: Free share of the slots of its service.
        first_time: Time in which the first endpoint was expected to send the
            first byte.
        second_time: The same for the best second endpoint; None if there is no
            sound one with room.
        prefill_tokens: Number of prompt tokens that the second endpoint would
            prefill; 0 for plain services.
        has_budget: Whether the limits allow one more hedged request.
    """

    is_repeatable: bool
    is_suspected: bool
    is_tier_refused: bool
    has_more_urgent: bool
    waited: datetime.timedelta
    delay: datetime.timedelta | None
    free_slot_share: float
    first_time: datetime.timedelta
    second_time: datetime.timedelta | None
    prefill_tokens: int
    has_budget: bool
