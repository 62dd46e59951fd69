"""Limits of an engine's load, by the urgency of a request."""

import dataclasses
import math

from mustardwood.dispatch import placement_settings


@dataclasses.dataclass(frozen=True)
class EngineLimits:
    """Limits of the load that an engine may have with a further request.

    Load pattern: a burst of less urgent requests fills the engines. Each more
    urgent tier may load an engine further than the tiers after it, which is
    known as trunk reservation [1]_, so that it has room where they have none.
    The engine then serves it first or preempts a less urgent request. The
    limits apply to the total load of an engine, so that VMs need not report
    their loads by tier.

    References:
        .. [1] F. P. Kelly, "Loss networks", Annals of Applied Probability 1(3),
           1991.

    Attributes:
        slot_share: Share of the slots that requests may take.
        queued_requests: Number of requests in excess of that share. Those in
            excess of the slots preempt less urgent ones or wait in the engine's
            own queue.
        prefill_time: Seconds in which an engine prefills the prompts that wait
            there at most when a long prompt is sent to it.
        prefill_tokens: Number of prompt tokens up to which that does not apply.
        aged_prefill_time: Seconds of prefill as which a prompt that has waited
            counts at most in these limits, whatever its tier.
        aged_prefill_tokens: The same in prompt tokens; the larger one holds.
        memory_share: Share of the KV cache that requests may fill.
        prefill_duration_factor: Factor on the longest continuous prefill of an
            engine with interactive streams.
    """

    slot_share: float
    queued_requests: float
    prefill_time: float
    prefill_tokens: float
    aged_prefill_time: float
    aged_prefill_tokens: float
    memory_share: float
    prefill_duration_factor: float

    @classmethod
    def from_settings(cls, settings: placement_settings.PlacementSettings,
                      urgency: float) -> "EngineLimits":
        """Returns the limits for a request.

        Args:
            settings: Limits for the most and the least urgent tier.
            urgency: Urgency of the request, from 0 for the least urgent tier to
                1 for the most urgent one.
        """
        prefill_factor = _interpolate(1.0, settings.urgent_prefill_factor,
                                      urgency)
        return cls(_interpolate(settings.min_slot_share, 1.0, urgency),
                   _interpolate(0.0, settings.max_queued_requests, urgency),
                   settings.max_prefill_time * prefill_factor,
                   settings.min_prefill_tokens * prefill_factor,
                   settings.max_prefill_time * settings.max_aged_share,
                   settings.min_prefill_tokens * settings.max_aged_share,
                   _interpolate(settings.min_memory_share, 1.0, urgency),
                   _interpolate(settings.min_duration_factor, 1.0, urgency))

    def find_max_prefill(self, prefill_rate: float) -> float:
        """Returns the maximum number of prompt tokens that wait on an engine.

        Args:
            prefill_rate: Prompt tokens that it prefills per second.
        """
        return max(self.prefill_time * prefill_rate, self.prefill_tokens)

    def find_max_aged_prefill(self, prefill_rate: float) -> float:
        """Returns as how many tokens a prompt that has waited counts at most.

        Args:
            prefill_rate: Prompt tokens that the engine prefills per second.
        """
        return max(self.aged_prefill_time * prefill_rate,
                   self.aged_prefill_tokens)

    def find_max_requests(self, slots: int) -> int:
        """Returns the maximum number of requests of an engine.

        Args:
            slots: Number of slots of the engine.
        """
        return math.ceil(slots * self.slot_share + self.queued_requests)


def _interpolate(least_urgent: float, most_urgent: float,
                 urgency: float) -> float:
    return least_urgent + (most_urgent - least_urgent) * urgency
