"""Kinds of requests in the modelled traffic."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StreamKind:
    """Rates, sizes, latency targets and credit, from users' data sheets.

    Attributes:
        name: Name in result tables.
        tier: Tier; 0 is the most urgent.
        rate: Mean arrival rate, in requests per second.
        shared_tokens: Mean length of the shared prompt prefix, in tokens.
        own_tokens: Mean length of the rest of the prompt, in tokens.
        events: Mean number of events in a response.
        prefixes: Number of distinct shared prompt prefixes.
        first_byte_target: Target for the time to the first event, in seconds.
        inter_event_target: Target for the time between events, in seconds.
        deadline: Deadline of the complete response, in seconds.
        on_time_credit: Credit for a complete response that met its targets.
        late_credit: Credit for a complete response that missed a target.
        is_resumable: Whether another engine may resume the stream.
    """

    name: str
    tier: int
    rate: float
    shared_tokens: int
    own_tokens: int
    events: int
    prefixes: int
    first_byte_target: float
    inter_event_target: float
    deadline: float
    on_time_credit: float
    late_credit: float
    is_resumable: bool = False


ACCOUNTING_TRAFFIC = (
    StreamKind("reconciliation", 2, 7.65, 5_382, 6_610, 64, 60, 2.5, 1.0, 15.0,
               1.7, 0.52),
    StreamKind("question", 0, 12.6, 198, 628, 49, 60, 0.3, 0.25, 12.0, 3.4, 0.3,
               True),
    StreamKind("tagging", 1, 11.1, 568, 1_800, 4, 60, 0.5, 0.4, 3.0, 0.72,
               0.22),
)
"""Traffic of the first user; the number of prefixes is an assumption."""
