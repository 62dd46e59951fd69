"""Decodes the registrations of endpoints in the platform's store."""

import datetime
import typing

import msgspec

from mustardwood import decoding
from mustardwood import dispatch
from mustardwood import errors
from mustardwood.platform import settings

PREFIX = "servers/"
"""Prefix of the registrations' keys; it is followed by the endpoint's id."""
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
_MAX_VERSION_LENGTH = 100
"""Maximum length of a version, which VMs report to each other."""

_MAX_SLOTS = 1_000_000
"""Maximum number of requests that an endpoint runs concurrently."""
_MAX_START_MS = 253_402_300_799_999
"""Latest start of an endpoint in Unix milliseconds: the end of the year 9999.

VMs report starts to each other in 64 bits.
"""


class _Registration(msgspec.Struct, frozen=True):
    """A registration as the store holds it.

    All endpoints write the fields without a default. An entry that lacks one
    was written by something else and names no endpoint.

    `born` is the time of the endpoint's start, in milliseconds since the epoch;
    `leaves_ms` is the time that remains in the state `draining`;
    `cold_remaining_ms` and `sequence` are not used.
    """

    service: str
    address: str
    state: str
    zone: str
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    version: typing.Annotated[str, msgspec.Meta(max_length=_MAX_VERSION_LENGTH)]
    cold_remaining_ms: float
    sequence: int
    born: typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_START_MS)] = 0
    preemptible: bool = False
    leaves_ms: float | None = None


def decode_endpoint(key: str, value: bytes) -> dispatch.Endpoint:
    """Decodes a registration.

    Raises:
        errors.ConfigurationError: If the registration is malformed.
    """
    try:
        registration = decoding.decode_json(value, _Registration)
        host, port = settings.parse_address(registration.address)
        is_leaving = _IS_LEAVING_BY_STATE[registration.state]
        leaves_after = _decode_leaving_time(registration)
    except (decoding.DecodingError, errors.SettingsError, KeyError,
            OverflowError) as error:
        raise errors.ConfigurationError(
            f"The registration {key!r} is invalid: {error}.",
            "It is ignored; whoever wrote it must correct it.")
    return dispatch.Endpoint(name=key.removeprefix(PREFIX),
                             service=registration.service,
                             host=host,
                             port=port,
                             zone=registration.zone,
                             slots=registration.slots,
                             is_leaving=is_leaving,
                             started=registration.born,
                             version=registration.version,
                             is_preemptible=registration.preemptible,
                             leaves_after=leaves_after)


def _decode_leaving_time(
        registration: _Registration) -> datetime.timedelta | None:
    """Returns the time until an endpoint leaves; None if none is named.

    Args:
        registration: The registration; a negative time is one that has passed.

    Raises:
        OverflowError: If the time is longer than can be represented.
    """
    if registration.leaves_ms is None:
        return None
    return datetime.timedelta(milliseconds=max(0.0, registration.leaves_ms))
