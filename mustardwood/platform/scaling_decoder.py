"""Decodes the limits and prices within which endpoints are ordered."""

import datetime

import msgspec

from mustardwood import decoding
from mustardwood import errors
from mustardwood import scaling

_MAX_BOOT_SECONDS = 86_400.0
"""Maximum time to start an endpoint, in seconds; a longer one is an error."""
_NULL = b"null"
"""The value of a service whose endpoints are not ordered."""


class _Scaling(msgspec.Struct, frozen=True):
    """The `scaling` of a service as the store holds it.

    The limits are those of one availability zone, of both kinds of endpoints
    together. `preemptible_price` is a share of the price of other endpoints.
    """

    max_replicas: int
    min_replicas: int = 1
    boot_time_s: float = 4.0
    preemptible_price: float | None = None
    zone_pricing: dict[str, float] = {}


def decode_scaling(value: msgspec.Raw) -> scaling.ScalingParameters | None:
    """Decodes the `scaling` of a service.

    Args:
        value: The encoded value; `null` if the service has none.

    Returns:
        The limits and prices; None if the service has none.

    Raises:
        errors.ConfigurationError: If the value is malformed, the minimum
            exceeds the maximum, or a time or price is negative.
    """
    if bytes(value) == _NULL:
        return None
    try:
        found = decoding.decode_json(value, _Scaling, strict=False)
    except decoding.DecodingError as error:
        raise _make_error(f"is malformed: {error}") from error
    problem = _find_problem(found)
    if problem:
        raise _make_error(problem)
    return scaling.ScalingParameters(
        found.min_replicas, found.max_replicas,
        datetime.timedelta(seconds=found.boot_time_s), found.preemptible_price,
        found.zone_pricing)


def _find_problem(found: _Scaling) -> str:
    """Returns what is wrong with a value; empty if nothing is."""
    price = found.preemptible_price
    for is_wrong, problem in (
        (found.min_replicas
         < 0, f"has a negative min_replicas, {found.min_replicas}"),
        (found.max_replicas
         < 1, f"has max_replicas {found.max_replicas}, which is less than 1"),
        (found.min_replicas > found.max_replicas,
         f"has min_replicas {found.min_replicas} above max_replicas "
         f"{found.max_replicas}"),
        (not 0.0 <= found.boot_time_s <= _MAX_BOOT_SECONDS,
         f"has boot_time_s {found.boot_time_s}, which is out of range"),
        (price is not None and
         price < 0.0, f"has a negative preemptible_price, {price}"),
        ("" in found.zone_pricing, "has a price of a zone without a name"),
        (min(found.zone_pricing.values(), default=0.0)
         < 0.0, f"has a negative price in zone_pricing, {found.zone_pricing}"),
    ):
        if is_wrong:
            return problem
    return ""


def _make_error(problem: str) -> errors.ConfigurationError:
    return errors.ConfigurationError(
        f"Its scaling {problem}.",
        "Correct it; until then no endpoints of the service are ordered.")
