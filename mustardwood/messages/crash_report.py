"""A report that an endpoint crashed."""

import msgspec


class CrashReport(msgspec.Struct, frozen=True, tag="suspicion"):
    """Lists the requests that were in flight when an endpoint crashed.

    Attributes:
        endpoint: Name of the endpoint that crashed.
        crash_id: Unique id of the report. Several reporters may give one crash
            different ids.
        fingerprints: Fingerprints of the requests that were in flight there.
    """

    endpoint: str
    crash_id: str
    fingerprints: tuple[str, ...]
