"""Refusal of a request that would wait in vain for an endpoint with room."""

import dataclasses

from mustardwood.dispatch import refusal


@dataclasses.dataclass(frozen=True)
class WaitRefusal:
    """Why a request does not wait for an endpoint with room.

    Attributes:
        reason: Cause, for the log.
        response: Response to a caller whose request no endpoint has run; None
            for the usual one.
    """

    reason: str
    response: refusal.Refusal | None = None
