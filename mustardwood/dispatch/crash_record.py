"""Requests that crash the endpoints that run them."""

import collections
import datetime
import hashlib

from mustardwood import timing
from mustardwood.dispatch import service_request

CRASHES_TO_BLOCK = 3
"""Endpoints lost by one request before it is sent to no other.

A lost answer or a crash for another reason seldom hits the same request at
three endpoints; the platform allows three before it counts further ones.
"""
_LIFETIME = datetime.timedelta(seconds=60)
"""Time for which a loss counts; endpoints are back after some seconds."""
_NEWS_TIME = datetime.timedelta(seconds=1)
"""Time for which a loss is told to peers; it makes up for lost datagrams."""
_MOST_REQUESTS = 4096
"""Bound on memory: some ten seconds of a VM's requests, in half a megabyte."""
_MOST_NEWS = 32
"""Bound on the losses that are told at once: about a kilobyte."""
_DIGEST_BYTES = 8

_Loss = tuple[str, str]
"""A request's fingerprint and an endpoint."""


class CrashRecord:
    """Counts the endpoints that were lost while they ran the same request.

    Load pattern: a request that crashes whatever runs it, and that its caller
    sends again at any VM, takes one endpoint after the other out of service.
    Only connections lost before the head of an answer count, and a success of
    the same request shows that it is harmless: one that many callers send is
    not stopped when all endpoints of its service fail for a while.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._losses: collections.OrderedDict[str, dict[
            str, datetime.timedelta]] = collections.OrderedDict()
        self._harmless: collections.OrderedDict[
            str, datetime.timedelta] = collections.OrderedDict()
        self._news: collections.OrderedDict[
            _Loss, datetime.timedelta] = collections.OrderedDict()

    def record_crash(self, fingerprint: str, endpoint: str) -> None:
        """Counts an endpoint that was lost here, and tells peers."""
        self.record_peer_crash(fingerprint, endpoint)
        self._news[fingerprint, endpoint] = self._clock.monotonic()
        self._news.move_to_end((fingerprint, endpoint))
        if len(self._news) > _MOST_NEWS:
            self._news.popitem(last=False)

    def record_peer_crash(self, fingerprint: str, endpoint: str) -> None:
        """Counts an endpoint that a peer saw lost."""
        lost = self._losses.setdefault(fingerprint, {})
        lost[endpoint] = self._clock.monotonic()
        self._losses.move_to_end(fingerprint)
        if len(self._losses) > _MOST_REQUESTS:
            self._losses.popitem(last=False)

    def record_success(self, fingerprint: str) -> None:
        """Clears a request that was answered."""
        self._losses.pop(fingerprint, None)
        self._harmless[fingerprint] = self._clock.monotonic()
        self._harmless.move_to_end(fingerprint)
        if len(self._harmless) > _MOST_REQUESTS:
            self._harmless.popitem(last=False)

    def is_blocked(self, fingerprint: str) -> bool:
        """Returns whether a request crashed as many endpoints as it may."""
        lost = self._losses.get(fingerprint)
        if lost is None or len(lost) < CRASHES_TO_BLOCK:
            return False
        oldest = self._clock.monotonic() - _LIFETIME
        cleared = self._harmless.get(fingerprint)
        if cleared is not None and cleared >= oldest:
            return False
        return sum(time >= oldest for time in lost.values()) >= CRASHES_TO_BLOCK

    def list_recent_crashes(self) -> list[_Loss]:
        """Returns the losses that this VM saw lately."""
        oldest = self._clock.monotonic() - _NEWS_TIME
        return [loss for loss, time in self._news.items() if time >= oldest]


def find_fingerprint(request: service_request.ServiceRequest) -> str:
    """Returns what stays the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.method, request.target, request.organisation):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
