"""The choice of an endpoint for a request."""

import collections.abc
import dataclasses
import hashlib

from mustardwood.scheduling import endpoint_record

_LOAD_FACTOR = 1.25
"""Times of the mean load up to which prefix affinity holds."""
_DIGEST_BYTES = 8

_Record = endpoint_record.EndpointRecord


@dataclasses.dataclass(frozen=True)
class Choice:
    """An endpoint with the reason for it.

    Attributes:
        record: The endpoint.
        reason: Part of a sentence, for operators.
    """

    record: _Record
    reason: str


def choose_endpoint(eligible: collections.abc.Sequence[_Record],
                    prefix: int) -> Choice:
    """Chooses among the endpoints that can take a request now.

    A prompt prefix goes to its endpoint by rendezvous hashing while that has at
    most `_LOAD_FACTOR` times the mean load [1]_, so that its cache is found
    again; else to the next one in order. Without a prefix the least expected
    work decides.

    Args:
        eligible: The endpoints, at least one.
        prefix: Hash of the start of the prompt; 0 for none.

    References:
        .. [1] V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing
           with bounded loads", SODA 2018.
    """
    if prefix:
        near = _find_by_prefix(eligible, prefix)
        if near is not None:
            return Choice(near, "it is likely to hold the prompt's prefix")
    measured = [each.inter_token.mean for each in eligible]
    pace = min((mean for mean in measured if mean > 0.0), default=1.0)
    least = min(eligible, key=lambda each: _weigh_work(each, pace))
    return Choice(least, "it has the least expected work")


def _find_by_prefix(eligible: collections.abc.Sequence[_Record],
                    prefix: int) -> _Record | None:
    total = sum(len(each.running) for each in eligible) + 1
    bound = max(1.0, _LOAD_FACTOR * total / len(eligible))
    usable = [
        each for each in eligible
        if not each.straggling and len(each.running) + 1 <= bound
    ]
    return min(usable, key=lambda each: _weigh(prefix, each.name), default=None)


def _weigh_work(record: _Record, pace: float) -> tuple[bool, float, str]:
    own_pace = record.inter_token.mean or pace
    seconds = (record.expected_tokens + 1.0) * own_pace
    return record.straggling, seconds, record.name


def _weigh(prefix: int, name: str) -> bytes:
    return hashlib.blake2b(f"{prefix}\0{name}".encode(),
                           digest_size=_DIGEST_BYTES).digest()
