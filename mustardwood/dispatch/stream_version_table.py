"""Software versions that began recent streams."""

import collections
import collections.abc
import dataclasses
import datetime
import hashlib
import typing

from mustardwood import timing

_KEY_BYTES = 8
"""Size of a key; collisions are improbable among the streams that are kept."""
_LIFETIME = datetime.timedelta(seconds=60)
"""Time for which a stream is kept: several times the usual time limits."""
_MAX_STREAMS = 32_768
"""Maximum number of streams that are kept; the oldest are dropped."""
_MAX_PENDING = 1024
"""Maximum number of streams and of questions that wait to be sent to peers."""
_MAX_SENT = 32
"""Maximum number of keys in one message, so that it fits in a datagram."""
_Value = typing.TypeVar("_Value")
_CONFLICT = ""
"""Version of a stream that is said to have begun at several versions."""


@dataclasses.dataclass(frozen=True)
class _Stream:
    version: str
    recorded_at: datetime.timedelta


class StreamVersionTable:
    """The software versions that began recent streams, at this VM or at peers.

    A stream may be resumed at any VM, also after the VM that served it was
    lost. Each VM therefore tells its peers which version began a stream with
    its next update, and asks them about streams that it does not know, for
    example after a restart. It is soft state: a stream that no VM
    knows can't be resumed, but never goes on at a wrong version.

    Attributes:
        own_count: Number of times that this VM has begun or resumed a stream.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._streams: collections.OrderedDict[
            bytes, _Stream] = collections.OrderedDict()
        self._new: dict[bytes, str] = {}
        self._questions: dict[bytes, None] = {}
        self._own: collections.OrderedDict[
            bytes, datetime.timedelta] = collections.OrderedDict()
        self._services: dict[str, datetime.timedelta] = {}
        self.own_count = 0

    @property
    def has_new_streams(self) -> bool:
        """Whether there are streams that peers have not been told of."""
        return bool(self._new)

    @property
    def has_questions(self) -> bool:
        """Whether there are streams to ask peers about."""
        return bool(self._questions)

    def record(self, key: bytes, version: str) -> None:
        """Records the version of a stream at this VM, to report it to peers.

        Args:
            key: Key of the stream; see `find_key`.
            version: Version of the software that sent its first event.
        """
        self._add(key, version)
        self._own[key] = self._clock.monotonic()
        self._own.move_to_end(key)
        self.own_count += 1
        if len(self._own) > _MAX_STREAMS:
            self._own.popitem(last=False)
        self._new[key] = version
        _limit(self._new)

    def record_peer_streams(self, streams: dict[str, bytes]) -> None:
        """Records streams that a peer has reported.

        Args:
            streams: The concatenated keys of the streams by version.
        """
        for version, keys in streams.items():
            for key in _split(keys)[:_MAX_SENT]:
                self._add(key, version)

    def record_service(self, service: str,
                       time_limit: datetime.timedelta) -> None:
        """Records that a service has streams that callers may resume.

        Args:
            service: Name of the service.
            time_limit: Maximum time from the start of a stream to its end.
        """
        known = self._services.get(service, datetime.timedelta())
        self._services[service] = max(known, time_limit)

    def list_services(self) -> dict[str, datetime.timedelta]:
        """Returns the services with such streams, and their time limits."""
        return dict(self._services)

    def record_saved_streams(self, streams: dict[str, bytes],
                             is_own: bool) -> None:
        """Records streams that the store shows.

        Args:
            streams: The concatenated keys of the streams by version.
            is_own: Whether this VM has begun them, perhaps before a restart.
        """
        for version, keys in streams.items():
            for key in _split(keys):
                self._add(key, version)
                if is_own and key not in self._own:
                    self._own[key] = self._clock.monotonic()

    def list_own_streams(self, since: datetime.timedelta) -> dict[str, bytes]:
        """Returns the streams that this VM has begun or resumed.

        Args:
            since: Monotonic time of the oldest ones.

        Returns:
            The concatenated keys of the streams by version.
        """
        recent = []
        for key, recorded_at in reversed(self._own.items()):
            if recorded_at < since:
                break
            if key in self._streams:
                recent.append((key, self._streams[key].version))
        return _join_by_version(recent)

    def _add(self, key: bytes, version: str) -> None:
        """Adds a stream; one with two versions stays unknown."""
        known = self._streams.pop(key, None)
        if known is not None and known.version != version:
            version = _CONFLICT
        self._streams[key] = _Stream(version, self._clock.monotonic())
        self._questions.pop(key, None)
        self._drop_old()

    def find(self, key: bytes) -> str | None:
        """Returns the version that began a stream; None if it is unknown."""
        self._drop_old()
        found = self._streams.get(key)
        return None if found is None or not found.version else found.version

    def has(self, key: bytes) -> bool:
        """Returns whether a stream is known, also one of several versions."""
        self._drop_old()
        return key in self._streams

    def ask_peers(self, key: bytes) -> None:
        """Has peers asked about a stream."""
        self._questions[key] = None
        _limit(self._questions)

    def take_new_streams(self) -> dict[str, bytes]:
        """Returns streams to report to peers, and marks them as reported.

        Returns:
            The concatenated keys of the streams by version.
        """
        return _join_by_version(_take(self._new).items())

    def take_questions(self) -> bytes:
        """Returns the keys of streams to ask peers about, and forgets them."""
        return b"".join(_take(self._questions))

    def find_answers(self, keys: bytes) -> dict[str, bytes]:
        """Returns the streams that a peer has asked about and that are known.

        Args:
            keys: The concatenated keys.

        Returns:
            The concatenated keys of the known streams by version.
        """
        found = ((key, self.find(key)) for key in _split(keys)[:_MAX_SENT])
        return _join_by_version(
            (key, version) for key, version in found if version is not None)

    def _drop_old(self) -> None:
        oldest = self._clock.monotonic() - _LIFETIME
        while self._streams:
            key, stream = next(iter(self._streams.items()))
            if (stream.recorded_at >= oldest and
                    len(self._streams) <= _MAX_STREAMS):
                return
            del self._streams[key]
            self._own.pop(key, None)


def find_key(service: str, request_id: str) -> bytes:
    """Returns the key of a stream.

    Args:
        service: Name of the service.
        request_id: Id of the request that brought the stream's first event.
    """
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for part in (service, request_id):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
    return digest.digest()


def _split(keys: bytes) -> list[bytes]:
    """Returns concatenated keys one by one; an incomplete one is left out."""
    last_start = len(keys) - _KEY_BYTES
    return [
        keys[start:start + _KEY_BYTES]
        for start in range(0, last_start + 1, _KEY_BYTES)
    ]


def _take(pending: dict[bytes, _Value]) -> dict[bytes, _Value]:
    return {key: pending.pop(key) for key in list(pending)[:_MAX_SENT]}


def _limit(pending: dict[bytes, _Value]) -> None:
    if len(pending) > _MAX_PENDING:
        del pending[next(iter(pending))]


def _join_by_version(
        streams: collections.abc.Iterable[tuple[bytes,
                                                str]]) -> dict[str, bytes]:
    joined: dict[str, bytes] = {}
    for key, version in streams:
        joined[version] = joined.get(version, b"") + key
    return joined
