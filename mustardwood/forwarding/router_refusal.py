"""Refusal of a request by the router itself."""

import dataclasses

from mustardwood.dispatch import refusal


@dataclasses.dataclass(frozen=True)
class RouterRefusal:
    """Why a request is not sent, or does not wait for an endpoint with room.

    Attributes:
        reason: Cause, for the log.
        response: Response to a caller whose request no endpoint has run; None
            for the usual one.
    """

    reason: str
    response: refusal.Refusal | None = None
