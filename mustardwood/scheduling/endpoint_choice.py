"""Choice of an endpoint for a request."""

import collections.abc
import dataclasses
import hashlib

from mustardwood.scheduling import endpoint_record
from mustardwood.scheduling import inter_token_model
from mustardwood.scheduling import waiting_request

_PREFILL_TIME_RATIO = 0.001
"""Time to prefill one prompt token, relative to the inter-token time."""
_CACHED_PREFIX_FRACTION = 0.7
"""Share of a prompt whose prefill a cached prefix is expected to save."""
_MAX_LOAD_FACTOR = 1.5
"""Load relative to the mean up to which a prefix stays on its endpoint."""
_DIGEST_BYTES = 8

_Record = endpoint_record.EndpointRecord
_Records = collections.abc.Sequence[_Record]


@dataclasses.dataclass(frozen=True)
class EndpointChoice:
    """The chosen endpoint and the reason for the choice.

    Attributes:
        record: The endpoint.
        reason: A clause that completes the explanation for operators.
    """

    record: _Record
    reason: str


def choose_endpoint(eligible: _Records, waiting: waiting_request.WaitingRequest,
                    model: inter_token_model.InterTokenModel) -> EndpointChoice:
    """Chooses the endpoint with the lowest expected cost for a request.

    The cost is the time to prefill the prompts that are pending on the endpoint
    and the request's own prompt, plus the time to generate the answer at the
    inter-token time expected for the endpoint's batch. The prefill of the own
    prompt is counted once more for each running attempt, since it delays all
    of them. Stragglers are chosen only if there is no other endpoint.

    Rendezvous hashing assigns each prompt prefix to one endpoint, as long as
    that endpoint has at most `_MAX_LOAD_FACTOR` times the mean load [1]_. On
    it the part of the prompt that is expected to be cached costs nothing.

    Args:
        eligible: The endpoints that can take the request, at least one.
        waiting: The request.
        model: Predicts the inter-token time from the load.

    References:
        .. [1] V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing
           with bounded loads", SODA 2018.
    """
    prefix_endpoint = _find_prefix_endpoint(eligible, waiting.ask.prefix)
    chosen = min(eligible,
                 key=lambda each: _compute_cost(each, waiting, model, each is
                                                prefix_endpoint))
    if chosen is prefix_endpoint:
        return EndpointChoice(chosen,
                              "it is likely to hold the prompt's prefix")
    return EndpointChoice(chosen, "it has the least expected work")


def _compute_cost(record: _Record, waiting: waiting_request.WaitingRequest,
                  model: inter_token_model.InterTokenModel,
                  has_prefix: bool) -> tuple[bool, float, float, str]:
    running = len(record.running)
    token_seconds = model.predict(running + 1) or float(running + 1)
    prompt_tokens = float(waiting.ask.prompt_tokens)
    if has_prefix:
        prompt_tokens *= 1.0 - _CACHED_PREFIX_FRACTION
    prefill_tokens = record.prefilling_tokens + prompt_tokens * (running + 1)
    prefill_seconds = prefill_tokens * _PREFILL_TIME_RATIO * token_seconds
    seconds = prefill_seconds + waiting.output_tokens * token_seconds
    return record.straggling, seconds, record.expected_tokens, record.name


def _find_prefix_endpoint(eligible: _Records, prefix: int) -> _Record | None:
    if not prefix:
        return None
    total = sum(len(each.running) for each in eligible) + 1
    bound = max(1.0, _MAX_LOAD_FACTOR * total / len(eligible))
    usable = [
        each for each in eligible
        if not each.straggling and len(each.running) + 1 <= bound
    ]
    return min(usable,
               key=lambda each: _hash_prefix(prefix, each.name),
               default=None)


def _hash_prefix(prefix: int, name: str) -> bytes:
    return hashlib.blake2b(f"{prefix}\0{name}".encode(),
                           digest_size=_DIGEST_BYTES).digest()
