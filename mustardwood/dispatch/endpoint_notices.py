"""What VMs have learnt of endpoints from responses, and tell each other."""

import collections
import collections.abc
import dataclasses
import datetime
import enum

from mustardwood import timing

_REPORT_TIME = datetime.timedelta(seconds=2)
"""Time for which a notice is reported, in case datagrams are lost.

It is twice the longest interval of updates.
"""
_MAX_REPORTED = 64
"""Maximum number of notices in one report: about three kilobytes."""
_MAX_NOTICES = 4096
"""Maximum number of notices that are kept; the oldest are dropped."""


class NoticeKind(enum.StrEnum):
    """What a VM has learnt of an endpoint.

    Attributes:
        LEAVING: It accepts no new requests, until it starts again.
        REPLACED: Its address is used by another endpoint. Its registration
            expires after three missed heartbeats, which is sooner than the end
            of the notice.
        PAUSED: It has asked a VM for a pause, because it is full.
    """

    LEAVING = "leaving"
    REPLACED = "replaced"
    PAUSED = "paused"


_LIFETIMES = {
    NoticeKind.LEAVING: datetime.timedelta(minutes=10),
    NoticeKind.REPLACED: datetime.timedelta(seconds=10),
}
"""Time after which a notice that was not repeated is dropped.

Those of other kinds state it themselves.
"""


@dataclasses.dataclass(frozen=True)
class EndpointNotice:
    """A notice that a VM reports to its peers.

    Attributes:
        endpoint: Name of the endpoint with the time of its start.
        kind: What was learnt.
        age: Time since then.
        duration: Length of a pause; 0 for other kinds.
    """

    endpoint: str
    kind: NoticeKind
    age: datetime.timedelta
    duration: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True)
class NoticeEvent:
    """A new notice, for the log.

    Attributes:
        endpoint: Name of the endpoint with the time of its start.
        kind: What was learnt.
        vm: The VM that learnt it from a response.
        age: Time since then.
    """

    endpoint: str
    kind: NoticeKind
    vm: str
    age: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class _Entry:
    learnt_at: datetime.timedelta
    expires_at: datetime.timedelta
    received_at: datetime.timedelta
    vm: str


class EndpointNotices:
    """Notices of endpoints, by this VM or its peers.

    Responses tell sooner than the store that an endpoint leaves or that its
    address was given to another one, and also while the store is away. A VM
    reports what it has learnt itself, so a peer does not need a request to
    learn the same. A notice holds for one start of an endpoint.

    Attributes:
        version: Number that rises when the notices change.
    """

    def __init__(
        self,
        vm: str,
        clock: timing.Clock,
        on_notice: collections.abc.Callable[[NoticeEvent], None] | None = None
    ) -> None:
        """Creates a table without notices.

        Args:
            vm: Name of this VM.
            clock: Source of the monotonic time.
            on_notice: Called with each new notice.
        """
        self._vm = vm
        self._clock = clock
        self._on_notice = on_notice
        self._entries: collections.OrderedDict[tuple[
            str, NoticeKind], _Entry] = collections.OrderedDict()
        self._counts: collections.Counter[NoticeKind] = collections.Counter()
        self._next_expiry = datetime.timedelta.max
        self.version = 0

    def record(
        self,
        endpoint: str,
        kind: NoticeKind,
        duration: datetime.timedelta = datetime.timedelta()
    ) -> None:
        """Records what a response has shown.

        Args:
            endpoint: Name of the endpoint with the time of its start.
            kind: What it has shown.
            duration: Length of a pause.
        """
        self._add(
            EndpointNotice(endpoint, kind, datetime.timedelta(), duration),
            self._vm)

    def record_peer_notice(self, peer: str, notice: EndpointNotice) -> None:
        """Records a notice that a peer has reported."""
        self._add(notice, peer)

    def has(self, endpoint: str, kind: NoticeKind) -> bool:
        """Returns whether there is a notice of an endpoint."""
        self.drop_expired()
        return (endpoint, kind) in self._entries

    def has_any(self, kind: NoticeKind) -> bool:
        """Returns whether there may be a notice of a kind."""
        return self._counts[kind] > 0

    def forget(self, endpoint: str) -> None:
        """Drops the notices of an endpoint."""
        for kind in NoticeKind:
            self._remove((endpoint, kind))

    def drop_expired(self) -> None:
        """Drops the notices that no longer hold."""
        now = self._clock.monotonic()
        if now < self._next_expiry:
            return
        self._next_expiry = datetime.timedelta.max
        for key, entry in list(self._entries.items()):
            if now >= entry.expires_at:
                self._remove(key)
            else:
                self._next_expiry = min(self._next_expiry, entry.expires_at)

    def list_reports(self) -> list[EndpointNotice]:
        """Returns the notices to report to peers."""
        now = self._clock.monotonic()
        recent: list[EndpointNotice] = []
        for (endpoint, kind), entry in reversed(self._entries.items()):
            if now - entry.received_at > _REPORT_TIME:
                break
            if entry.vm == self._vm and len(recent) < _MAX_REPORTED:
                recent.append(
                    EndpointNotice(endpoint, kind, now - entry.learnt_at,
                                   entry.expires_at - entry.learnt_at))
        return recent

    def _add(self, notice: EndpointNotice, vm: str) -> None:
        key = notice.endpoint, notice.kind
        now = self._clock.monotonic()
        learnt_at = now - notice.age
        expires_at = learnt_at + _LIFETIMES.get(notice.kind, notice.duration)
        known = self._entries.get(key)
        if expires_at <= now or (known is not None and
                                 expires_at <= known.expires_at):
            return
        self._next_expiry = min(self._next_expiry, expires_at)
        if known is not None and notice.kind in _LIFETIMES:
            self._entries[key] = dataclasses.replace(known,
                                                     learnt_at=learnt_at,
                                                     expires_at=expires_at)
            return
        self._remove(key)
        self._entries[key] = _Entry(learnt_at, expires_at, now, vm)
        self._counts[notice.kind] += 1
        self.version += 1
        if len(self._entries) > _MAX_NOTICES:
            self._remove(next(iter(self._entries)))
        if known is None and self._on_notice is not None:
            self._on_notice(
                NoticeEvent(notice.endpoint, notice.kind, vm, notice.age))

    def _remove(self, key: tuple[str, NoticeKind]) -> None:
        if self._entries.pop(key, None) is not None:
            self._counts[key[1]] -= 1
            self.version += 1
