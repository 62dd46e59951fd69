"""Figures that the placement of requests uses."""

import dataclasses
import datetime

from mustardwood.dispatch import service_request


@dataclasses.dataclass(frozen=True)
class PlacementSettings:
    """What is known of the engines beforehand, and the weights of costs.

    Attributes:
        prefill_rate: Prompt tokens that an engine reads in a second; the
            users' data sheets say 48,200 and 55,000.
        long_prompt: Tokens from which a prompt delays the others' tokens by
            more than a piece may wait: two chunks of 2,048 tokens.
        brisk_aim: Pauses between pieces that a long prompt's prefill exceeds.
        chunk_tokens: Prompt tokens that an engine reads in one step.
        step_time: Seconds of a step without prompts, by the data sheets.
        stream_step_time: Seconds that each stream adds to a step.
        slowest_engine: Time that the slowest engines need, relative to the data
            sheets: steps of 50 to 60 ms were seen where they say 45.
        least_brisk_streams: Brisk streams for which one engine is kept free of
            long prompts at least, however tight their aims are.
        most_brisk_streams: The same at most.
        least_brisk_share: Part of the engines kept free of them at least.
        most_brisk_share: Part of the engines kept free of them at most.
        mixing_cost: Seconds that an engine with long prompts counts more for
            a brisk stream: the prefill of about 5,000 tokens.
        intrusion_aims: Aims to the first byte that an engine kept free of long
            prompts counts more for one of them.
        borne_streams: Brisk streams that a long prompt may delay: one is worth
            about as much as its own answer.
        rereading_streams: Streams that wait while shared parts are read again.
        stream_cost: Seconds by which each stream slows a new one's answer.
        long_stream_cost: The same for a long prompt: streams beside it stand
            for prefills that slow all of its several hundred steps.
        break_cost: Seconds of wait for a break in an engine's prompts: half of
            the chunks that a piece bears.
        queue_cost: Seconds of wait for each full batch of requests ahead.
        zone_cost: Seconds that an endpoint in another zone counts more; the
            zones are about a millisecond apart, and bytes between them cost.
        failure_cost: Seconds that an endpoint counts more if all its recent
            answers failed.
        most_prefill: Prompt tokens that may wait on an engine when a long
            prompt is sent there: 0.3 seconds' worth, so that the order of
            the rest stays open and a brisk stream beside them is soon on.
        moving_aims: Aims to the first byte after which a waiting request no
            longer counts what its shared parts cost to read again.
        weighed_engines: Engines of which all are weighed; of more, half as many
            that suit the prompt and a quarter of the others.
        memory_share: Part of an engine's memory that requests may fill.
    """

    prefill_rate: float = 50_000.0
    long_prompt_tokens: int = 4096
    max_interactive_interval: datetime.timedelta = datetime.timedelta(
        milliseconds=500)
    chunk_tokens: int = 2048
    step_time: float = 0.0029
    stream_step_time: float = 0.0001
    slowest_engine_factor: float = 1.15
    min_interactive_streams: int = 10
    max_interactive_streams: int = 20
    min_reserved_share: float = 0.3
    max_reserved_share: float = 0.65
    mixing_cost: float = 0.1
    unreserved_preference_targets: float = 2.0
    tolerated_streams: int = 1
    cache_miss_streams: float = 20.0
    stream_cost: float = 0.004
    long_prompt_stream_cost: float = 0.08
    prefill_gap_cost: float = 0.1
    queue_cost: float = 1.0
    zone_cost: float = 0.002
    failure_cost: float = 2.0
    max_prefill_tokens: int = 15_000
    cache_affinity_targets: float = 1.0
    max_evaluated_engines: int = 16
    memory_share: float = 0.9

    def is_long(self, request: service_request.ServiceRequest) -> bool:
        """Returns whether a prompt stalls the streams beside it."""
        return request.prompt.input_tokens >= self.long_prompt_tokens

    def is_interactive(self, request: service_request.ServiceRequest) -> bool:
        """Returns whether a request's stream is stalled by long prompts."""
        return (request.is_stream and not self.is_long(request) and
                request.inter_event_target <= self.max_interactive_interval)
