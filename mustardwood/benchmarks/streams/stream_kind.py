"""A kind of request in the modelled traffic."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StreamKind:
    """Sizes, aims and worth, as users' data sheets give them.

    Attributes:
        name: Name for tables.
        tier: Rank; 0 is the most urgent.
        rate: Requests in a second.
        shared_tokens: Mean tokens of the parts that a subject shares.
        own_tokens: Mean tokens of the request's own part.
        pieces: Mean pieces of an answer.
        subjects: Number of subjects.
        first_byte_target: Seconds to the first piece.
        inter_event_target: Seconds between pieces.
        deadline: Seconds for the whole answer.
        worth: Credit of an answer on time.
        late_worth: Credit of a later one.
        is_resumable: Whether another engine may go on with it.
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
"""Traffic of the first user's language models; subjects are an assumption."""
