"""Fingerprints that were in flight at an endpoint's crash."""

import msgspec


class CrashReport(msgspec.Struct, frozen=True, tag="suspicion"):
    """Tells agents that an endpoint crashed with these requests in flight.

    Attributes:
        endpoint: Name of the endpoint that crashed.
        crash_id: Unique id of the crash as its reporter saw it.
        fingerprints: Hashes of the requests in flight there.
    """

    endpoint: str
    crash_id: str
    fingerprints: tuple[str, ...]
