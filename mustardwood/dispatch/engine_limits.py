"""Limits of an engine's load, by the urgency of a request."""

import dataclasses

from mustardwood.dispatch import placement_settings


@dataclasses.dataclass(frozen=True)
class EngineLimits:
    """Limits of the load that an engine may have with a further request.

    Load pattern: a burst of less urgent requests fills the engines. Each more
    urgent tier may load an engine further than the tiers after it, which is
    known as trunk reservation [1]_, so that it has room where they have none.
    The engine then serves it first or preempts a less urgent request. This
    takes only the total load of an engine, which is known with a delay.

    References:
        .. [1] F. P. Kelly, "Loss networks", Annals of Applied Probability 1(3),
           1991.

    Attributes:
        slot_factor: Maximum number of requests relative to the slots. Requests
            in excess of the slots wait in the engine's own queue.
        prefill_tokens: Maximum number of prompt tokens that wait on an engine
            when a long prompt is sent there.
        memory_share: Share of the KV cache that requests may fill.
    """

    slot_factor: float
    prefill_tokens: float
    memory_share: float

    @classmethod
    def from_settings(cls, settings: placement_settings.PlacementSettings,
                      urgency: float) -> "EngineLimits":
        """Returns the limits for a request.

        Args:
            settings: Limits for the most and the least urgent tier.
            urgency: Urgency of the request, from 0 for the least urgent tier to
                1 for the most urgent one.
        """
        return cls(
            _interpolate(settings.min_slot_factor, settings.max_slot_factor,
                         urgency),
            settings.max_prefill_tokens *
            _interpolate(1.0, settings.urgent_prefill_factor, urgency),
            _interpolate(settings.min_memory_share, settings.max_memory_share,
                         urgency))


def _interpolate(least_urgent: float, most_urgent: float,
                 urgency: float) -> float:
    return least_urgent + (most_urgent - least_urgent) * urgency
