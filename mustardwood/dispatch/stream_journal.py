"""Journal of streams and software versions that outlasts all VMs."""

import collections.abc
import datetime
import hashlib
import typing

import msgspec

from mustardwood import decoding
from mustardwood import timing
from mustardwood.dispatch import endpoint_directory
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import stream_version_table
from mustardwood.dispatch import version_history

_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval at which changes are looked for."""
_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Delay after a failed write of streams."""
_TAKEOVER_TIME = datetime.timedelta(seconds=1)
"""Age of a change of the history at which the next VM in order saves it."""
_MAX_RANK = 5
"""Rank from which on all VMs wait for the same time."""
_MIN_KEPT_TIME = datetime.timedelta(seconds=15)
"""Minimum time for which streams are kept in the store."""
_NO_HISTORY = version_history.VersionHistory()
_BEGINNING = datetime.datetime.fromtimestamp(0, datetime.UTC)


class JournalStore(typing.Protocol):
    """Keeps the journal."""

    def write_history(self, value: bytes,
                      on_end: collections.abc.Callable[[], None]) -> None:
        """Replaces the history, unless it has changed since it was read.

        Args:
            value: The encoded history.
            on_end: Called when the write has ended, whether it succeeded or
                not; a success is reported by `StreamJournal.record_history`.
        """

    def write_streams(self, value: bytes,
                      on_end: collections.abc.Callable[[bool], None]) -> None:
        """Replaces this VM's streams, which are kept for a minute at least.

        Args:
            value: The encoded streams.
            on_end: Called with whether the write has succeeded.
        """


class StreamJournal:
    """Saves in the store what is needed to resume streams.

    Failure: all VMs lose power at once while two software versions serve, and
    with them the table of the versions that began the streams. A stream must
    not go on at the other version, so none could be resumed.

    The versions of each service are saved when they change, by one VM; the
    order in which others take over from it is that of their hashes. While that
    leaves several versions possible, each VM also saves the streams that it
    begins, at once: a stream that began within the time of a write is lost. It
    saves them once, too, when a route is moved to another service.

    It implements `forwarding_context.VersionRecord`.

    Attributes:
        write_count: Number of successful writes of streams.
    """

    def __init__(self, vm: str, clock: timing.Clock,
                 scheduler: forwarding_context.Scheduler,
                 streams: stream_version_table.StreamVersionTable,
                 directory: endpoint_directory.EndpointDirectory,
                 list_vms: collections.abc.Callable[
                     [], collections.abc.Iterable[str]], store: JournalStore,
                 log: forwarding_context.Journal, is_first_start: bool) -> None:
        """Creates a journal; `start` starts to write it.

        Args:
            vm: Name of this VM.
            clock: Source of the time.
            scheduler: Schedules the writes.
            streams: The streams that are known to this VM.
            directory: The registered endpoints.
            list_vms: Returns the names of the other VMs.
            store: Keeps the journal.
            log: Logs changes of the history.
            is_first_start: Whether no stream has begun before this start.
        """
        self._vm = vm
        self._clock = clock
        self._scheduler = scheduler
        self._streams = streams
        self._directory = directory
        self._list_vms = list_vms
        self._store = store
        self._log = log
        self._is_first_start = is_first_start
        self._history = _NO_HISTORY
        self._changed_at: datetime.timedelta | None = None
        self._is_writing_history = False
        self._is_writing_streams = False
        self._saved_count = 0
        self._moved_count: int | None = None
        self._next_write_at = clock.monotonic()
        self.write_count = 0

    def start(self) -> None:
        """Starts to write the journal."""
        self._scheduler.call_later(_INTERVAL, self._run)

    def record_history(self, value: bytes) -> None:
        """Records the history that the store shows."""
        try:
            history = decoding.decode_msgpack(value,
                                              version_history.VersionHistory)
        except decoding.DecodingError as error:
            self._log.write("stream_journal_rejected", error=str(error))
            return
        if history != self._history:
            self._history = history
            self._log.write(
                "software_history",
                services={
                    name: each.ended for name, each in history.services.items()
                })

    def record_streams(self, value: bytes, is_own: bool) -> None:
        """Records streams that the store shows.

        Args:
            value: The encoded streams.
            is_own: Whether this VM has begun them, perhaps before a restart.
        """
        try:
            streams = decoding.decode_msgpack(value, dict[str, bytes])
        except decoding.DecodingError as error:
            self._log.write("stream_journal_rejected", error=str(error))
            return
        self._streams.record_saved_streams(streams, is_own)

    def handle_restore(self) -> None:
        """Saves all streams again, since the store was restored from a copy."""
        self._saved_count = -1

    def handle_route_move(self) -> None:
        """Saves the streams that began before a route was moved.

        Their service can't be told from the route any more.
        """
        self._moved_count = self._streams.own_count
        self._save_streams()

    def handle_new_stream(self) -> None:
        """See `forwarding_context.VersionRecord`."""
        self._save_streams()

    def find_only_version(self, service: str,
                          period: datetime.timedelta) -> str | None:
        """See `forwarding_context.VersionRecord`."""
        version = self._history.find_only_version(service, period,
                                                  self._clock.now())
        present = self._directory.list_versions().get(service, set())
        return version if present <= {version} else None

    def is_recorded(self, service: str, version: str) -> bool:
        """See `forwarding_context.VersionRecord`."""
        return self._history.has(service, version)

    def _run(self) -> None:
        try:
            self._save_history()
            self._save_streams()
        finally:
            self._scheduler.call_later(_INTERVAL, self._run)

    def _save_history(self) -> None:
        if self._is_writing_history or not self._directory.is_complete:
            return
        now = self._clock.now()
        history = self._history.update(
            self._directory.list_versions(), now,
            _BEGINNING if self._is_first_start else now)
        if history == self._history:
            self._changed_at = None
            return
        if self._changed_at is None:
            self._changed_at = self._clock.monotonic()
        waited = self._clock.monotonic() - self._changed_at
        if waited >= self._find_rank() * _TAKEOVER_TIME:
            self._is_writing_history = True
            self._store.write_history(msgspec.msgpack.encode(history),
                                      self._end_history)

    def _end_history(self) -> None:
        self._is_writing_history = False

    def _save_streams(self) -> None:
        count = self._streams.own_count
        if (self._is_writing_streams or count == self._saved_count or
                self._clock.monotonic() < self._next_write_at or
                not self._needs_streams()):
            return
        self._is_writing_streams = True
        kept_time = max(_MIN_KEPT_TIME, *self._streams.list_services().values())
        streams = self._streams.list_own_streams(self._clock.monotonic() -
                                                 kept_time)
        self._store.write_streams(
            msgspec.msgpack.encode(streams),
            lambda is_saved: self._end_streams(count, is_saved))

    def _end_streams(self, count: int, is_saved: bool) -> None:
        self._is_writing_streams = False
        if is_saved:
            self.write_count += 1
            self._saved_count = count
            # Streams may have begun in the meantime.
            self._save_streams()
        else:
            self._next_write_at = self._clock.monotonic() + _RETRY_DELAY

    def _needs_streams(self) -> bool:
        """Returns whether the history alone can't tell a stream's version."""
        if (self._moved_count is not None and
                self._saved_count < self._moved_count):
            return True
        return any(
            self.find_only_version(service, time_limit) is None
            for service, time_limit in self._streams.list_services().items())

    def _find_rank(self) -> int:
        """Returns the number of VMs that write before this one."""
        own = _hash(self._vm)
        return min(
            sum(
                _hash(each) < own
                for each in set(self._list_vms()) - {self._vm}), _MAX_RANK)


def _hash(vm: str) -> bytes:
    return hashlib.blake2b(vm.encode(), digest_size=8).digest()
