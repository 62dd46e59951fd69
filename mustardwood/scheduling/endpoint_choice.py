"""The choice of an endpoint for a request."""

import collections.abc
import dataclasses
import hashlib

from mustardwood.scheduling import endpoint_record
from mustardwood.scheduling import pace_model
from mustardwood.scheduling import waiting_request

_PROMPT_SHARE = 0.001
"""Time to prefill a prompt token, relative to the time between tokens."""
_CACHED_SHARE = 0.7
"""Share of a prompt that a cached prefix is expected to save."""
_LOAD_FACTOR = 1.5
"""Times of the mean load up to which a prefix keeps its endpoint."""
_DIGEST_BYTES = 8

_Record = endpoint_record.EndpointRecord
_Records = collections.abc.Sequence[_Record]


@dataclasses.dataclass(frozen=True)
class Choice:
    """An endpoint with the reason for it.

    Attributes:
        record: The endpoint.
        reason: Part of a sentence, for operators.
    """

    record: _Record
    reason: str


def choose_endpoint(eligible: _Records, waiting: waiting_request.WaitingRequest,
                    pace: pace_model.PaceModel) -> Choice:
    """Chooses the endpoint with the least expected time for a request.

    The time is that of the prompts that are still prefilled there, of its own
    prompt, and of its answer at the pace of the endpoint's batch. Its own
    prompt counts once more for each running attempt, which it delays. A prompt
    prefix belongs to one endpoint by rendezvous hashing while that has at most
    `_LOAD_FACTOR` times the mean load [1]_; there its cached part is free.

    Args:
        eligible: The endpoints that can take the request, at least one.
        waiting: The request.
        pace: The usual time between tokens by load.

    References:
        .. [1] V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing
           with bounded loads", SODA 2018.
    """
    near = _find_by_prefix(eligible, waiting.ask.prefix)
    chosen = min(eligible,
                 key=lambda each: _weigh(each, waiting, pace, each is near))
    if chosen is near:
        return Choice(chosen, "it is likely to hold the prompt's prefix")
    return Choice(chosen, "it has the least expected work")


def _weigh(record: _Record, waiting: waiting_request.WaitingRequest,
           pace: pace_model.PaceModel,
           is_near: bool) -> tuple[bool, float, float, str]:
    running = len(record.running)
    between = pace.predict(running + 1) or float(running + 1)
    prompt = float(waiting.ask.prompt_tokens)
    if is_near:
        prompt *= 1.0 - _CACHED_SHARE
    pending = record.prefilling_tokens + prompt * (running + 1)
    prefill = pending * _PROMPT_SHARE * between
    seconds = prefill + waiting.output_tokens * between
    return record.straggling, seconds, record.expected_tokens, record.name


def _find_by_prefix(eligible: _Records, prefix: int) -> _Record | None:
    if not prefix:
        return None
    total = sum(len(each.running) for each in eligible) + 1
    bound = max(1.0, _LOAD_FACTOR * total / len(eligible))
    usable = [
        each for each in eligible
        if not each.straggling and len(each.running) + 1 <= bound
    ]
    return min(usable, key=lambda each: _hash(prefix, each.name), default=None)


def _hash(prefix: int, name: str) -> bytes:
    return hashlib.blake2b(f"{prefix}\0{name}".encode(),
                           digest_size=_DIGEST_BYTES).digest()
