"""Settings of the placement of requests."""

import dataclasses
import datetime

from mustardwood.dispatch import service_request


@dataclasses.dataclass(frozen=True)
class PlacementSettings:
    """Limits and weights of the placement costs.

    The speed of the engines comes from their profiles. Costs are in seconds.
    The targets are those of the request being placed. An interactive stream has
    a short prompt and an inter-event target of at most
    `max_interactive_interval`.

    Attributes:
        long_prompt_tokens: Length from which a prompt is long: its prefill
            delays other streams' tokens by more than the inter-event target of
            an interactive stream; two chunks of 2,048 tokens.
        max_interactive_interval: Maximum inter-event target of an interactive
            stream; the prefill of a long prompt takes longer.
        chunk_tokens: Prompt tokens that an engine prefills in one step.
        slowest_engine_factor: Step time of the slowest engines relative to the
            mean: steps of 50 to 60 ms were seen where the mean was 45.
        min_interactive_streams: Minimum number of interactive streams for which
            one engine is reserved, however short their targets are.
        max_interactive_streams: Maximum number of interactive streams for which
            one engine is reserved.
        min_reserved_share: Minimum share of the engines that is reserved for
            interactive streams, that is, takes no long prompts.
        max_reserved_share: Maximum share of the engines that is reserved.
        mixing_cost: Added cost of an interactive stream on an engine for long
            prompts: the prefill of about 5,000 tokens.
        reserved_engine_targets: Added cost of a long prompt on a reserved
            engine, in multiples of the request's first-byte target.
        tolerated_streams: Number of interactive streams that a long prompt may
            delay: one is worth about as much as the prompt's own response.
        cache_miss_streams: Number of streams assumed to wait while a shared
            prefix is prefilled again.
        stream_cost: Seconds by which each stream on an engine delays a new
            stream.
        long_prompt_stream_cost: The same for a long prompt: further streams
            mean further prefills, which slow down all of its several hundred
            steps.
        prefill_gap_cost: Seconds of wait for a gap in the continuous prefill of
            an engine: half of the chunks that fit between two events.
        queue_cost: Seconds of wait for each full batch of requests ahead.
        zone_cost: Added cost of an endpoint in another availability zone; the
            latency between zones is about a millisecond, and traffic between
            them is charged.
        failure_cost: Added cost of an endpoint whose recent responses all
            failed.
        min_slot_share: Share of an engine's slots that may be taken before it
            is given a request of the least urgent tier; the most urgent tier
            may take all. Values for tiers between them are interpolated, here
            and below.
        max_queued_requests: Number of requests in excess of its slots that an
            engine may have before it is given one of the most urgent tier; the
            users' engines queue 24 or more.
        max_prefill_time: Seconds in which an engine prefills the prompts that
            wait there at most when a long prompt of the least urgent tier is
            sent to it, so that the other prompts can still be reordered by the
            router and a new interactive stream on the engine starts soon.
        min_prefill_tokens: Number of tokens up to which this limit does not
            apply. On an engine at half speed, 0.3 seconds are less than one
            long prompt, and the engine idled between two of them.
        urgent_prefill_factor: Factor on these two limits for the most
            urgent tier, whose prompts the engine prefills before those that
            wait there.
        min_duration_factor: Factor on the longest continuous prefill for the
            least urgent tier.
        max_gap_wait_targets: Time, in multiples of the first-byte target, for
            which a short prompt waits for a gap in an engine's prefill.
        max_utilization: Share of the engines' time that more urgent requests
            may need when a tier is admitted; the rest is for what is estimated
            too low.
        affinity_targets: Time, in multiples of the first-byte target, after
            which a waiting request ignores the delay that prefilling its shared
            prefix again causes for others.
        aging_targets: Time, in multiples of the first-byte target, after which
            a waiting request counts as `max_aged_share` at most in the limits
            of an engine's prefill. Until then its size counts less and less.
        max_aged_share: Share of the least urgent tier's `max_prefill_time` and
            `min_prefill_tokens`.
        max_evaluated_engines: Number of engines up to which all are evaluated;
            of more engines, half this number of suitable ones and a quarter of
            it of the others are sampled.
        min_memory_share: Share of an engine's KV cache that requests may fill
            before it is given one of the least urgent tier; the most urgent
            tier may fill all.
    """

    long_prompt_tokens: int = 4096
    max_interactive_interval: datetime.timedelta = datetime.timedelta(
        milliseconds=500)
    chunk_tokens: int = 2048
    slowest_engine_factor: float = 1.15
    min_interactive_streams: int = 10
    max_interactive_streams: int = 20
    min_reserved_share: float = 0.3
    max_reserved_share: float = 0.65
    mixing_cost: float = 0.1
    reserved_engine_targets: float = 2.0
    tolerated_streams: int = 1
    cache_miss_streams: float = 20.0
    stream_cost: float = 0.004
    long_prompt_stream_cost: float = 0.08
    prefill_gap_cost: float = 0.1
    queue_cost: float = 1.0
    zone_cost: float = 0.002
    failure_cost: float = 2.0
    min_slot_share: float = 0.9
    max_queued_requests: int = 16
    max_prefill_time: float = 0.3
    min_prefill_tokens: int = 15_000
    urgent_prefill_factor: float = 3.0
    min_duration_factor: float = 0.75
    max_gap_wait_targets: float = 1.0
    max_utilization: float = 0.85
    affinity_targets: float = 1.0
    aging_targets: float = 1.0
    max_aged_share: float = 0.5
    max_evaluated_engines: int = 16
    min_memory_share: float = 0.9

    def is_long(self, request: service_request.ServiceRequest) -> bool:
        """Returns whether a request's prefill stalls other streams."""
        return request.prompt.input_tokens >= self.long_prompt_tokens

    def is_interactive(self, request: service_request.ServiceRequest) -> bool:
        """Returns whether a request's stream is stalled by long prompts."""
        return (request.is_stream and not self.is_long(request) and
                request.inter_event_target <= self.max_interactive_interval)
