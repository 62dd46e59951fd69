"""A request that crashes endpoints."""

import datetime

import msgspec


class RequestBlock(msgspec.Struct, frozen=True):
    """A fingerprint that no endpoint may run for a time.

    Attributes:
        fingerprint: Hash of organisation and body.
        until: Wall-clock time at which the conviction ends.
        endpoints: Endpoints that crashed with the request in flight.
    """

    fingerprint: str
    until: datetime.datetime
    endpoints: tuple[str, ...] = ()
