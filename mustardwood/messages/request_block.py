"""A block of a request that crashes endpoints."""

import datetime

import msgspec


class RequestBlock(msgspec.Struct, frozen=True):
    """Forbids running the requests with a fingerprint for a time.

    Attributes:
        fingerprint: Hash of the organisation and the request body.
        until: Wall-clock time at which the block ends.
        endpoints: Names of the endpoints that crashed while the request was in
            flight.
    """

    fingerprint: str
    until: datetime.datetime
    endpoints: tuple[str, ...] = ()
