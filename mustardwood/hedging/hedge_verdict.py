"""Outcomes of the decision on a hedged request."""

import enum


class HedgeVerdict(enum.StrEnum):
    """Whether to send a request to a second endpoint.

    Attributes:
        NOW: It is sent now.
        LATER: It is decided again at a later time.
        NEVER: It is never sent to a second endpoint.
    """

    NOW = "now"
    LATER = "later"
    NEVER = "never"
