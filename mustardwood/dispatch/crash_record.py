"""Detection of requests that crash the endpoints that run them."""

import collections
import datetime
import hashlib

from mustardwood import timing
from mustardwood.dispatch import service_request

CRASHES_TO_BLOCK = 3
"""Number of endpoints that a request crashes before it is blocked.

A lost response or a crash for another reason rarely affects the same request
at three endpoints. The platform tolerates three crashes by one request and
counts only further ones.
"""
_CRASH_LIFETIME = datetime.timedelta(seconds=60)
"""Time for which a crash counts; endpoints restart within seconds."""
_REPORT_TIME = datetime.timedelta(seconds=1)
"""Time for which a crash is reported to peers, in case datagrams are lost."""
_MAX_REQUESTS = 4096
"""Maximum number of requests kept: about ten seconds of a VM's requests.

They take half a megabyte of memory.
"""
_MAX_REPORTED_CRASHES = 32
"""Maximum number of crashes in one report: about a kilobyte."""
_DIGEST_BYTES = 8

_Crash = tuple[str, str]
"""Fingerprint of a request and name of the endpoint that it crashed."""


class CrashRecord:
    """Counts the endpoints that crashed while they ran the same request.

    Failure: a request crashes every endpoint that runs it, and its caller
    retries it at any VM, so that it takes one endpoint after the other out of
    service. Such a request is blocked.

    Only a connection lost before the head of a response counts as a crash. A
    request that has recently succeeded is not blocked, so that one which many
    callers send is still served when all endpoints of its service fail for a
    while.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._crashes: collections.OrderedDict[str, dict[
            str, datetime.timedelta]] = collections.OrderedDict()
        self._successes: collections.OrderedDict[
            str, datetime.timedelta] = collections.OrderedDict()
        self._recent_crashes: collections.OrderedDict[
            _Crash, datetime.timedelta] = collections.OrderedDict()

    def record_crash(self, fingerprint: str, endpoint: str) -> None:
        """Records an endpoint that crashed, and reports it to peers."""
        self.record_peer_crash(fingerprint, endpoint)
        self._recent_crashes[fingerprint, endpoint] = self._clock.monotonic()
        self._recent_crashes.move_to_end((fingerprint, endpoint))
        if len(self._recent_crashes) > _MAX_REPORTED_CRASHES:
            self._recent_crashes.popitem(last=False)

    def record_peer_crash(self, fingerprint: str, endpoint: str) -> None:
        """Records an endpoint whose crash a peer has reported."""
        crashes = self._crashes.setdefault(fingerprint, {})
        crashes[endpoint] = self._clock.monotonic()
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > _MAX_REQUESTS:
            self._crashes.popitem(last=False)

    def record_success(self, fingerprint: str) -> None:
        """Records that a request succeeded, and drops its crashes."""
        self._crashes.pop(fingerprint, None)
        self._successes[fingerprint] = self._clock.monotonic()
        self._successes.move_to_end(fingerprint)
        if len(self._successes) > _MAX_REQUESTS:
            self._successes.popitem(last=False)

    def is_blocked(self, fingerprint: str) -> bool:
        """Returns whether a request must not be sent to another endpoint."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None or len(crashes) < CRASHES_TO_BLOCK:
            return False
        oldest = self._clock.monotonic() - _CRASH_LIFETIME
        succeeded_at = self._successes.get(fingerprint)
        if succeeded_at is not None and succeeded_at >= oldest:
            return False
        return sum(
            time >= oldest for time in crashes.values()) >= CRASHES_TO_BLOCK

    def list_recent_crashes(self) -> list[_Crash]:
        """Returns the recent crashes at this VM, to report them to peers."""
        oldest = self._clock.monotonic() - _REPORT_TIME
        return [
            crash for crash, time in self._recent_crashes.items()
            if time >= oldest
        ]


def find_fingerprint(request: service_request.ServiceRequest) -> str:
    """Returns a digest that stays the same when a caller retries a request.

    It covers the method, target, organisation and body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.method, request.target, request.organisation):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
