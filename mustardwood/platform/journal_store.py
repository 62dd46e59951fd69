"""Keeps the journal of streams in the platform's store."""

import collections.abc
import datetime
import typing

from twisted.internet import defer
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import timing
from mustardwood.platform import store_client

PREFIX = "streams/"
"""Prefix of the journal's keys."""
_HISTORY_KEY = PREFIX + "versions"
_LEASE_TIME_TO_LIVE = datetime.timedelta(minutes=2)
"""Time to live of a lease, which outlasts the VM that wrote under it."""
_LEASE_USE_TIME = datetime.timedelta(minutes=1)
"""Time for which streams are written under the same lease."""


class JournalStore:
    """Writes the journal's parts and passes on those that the store shows.

    It implements `dispatch.JournalStore`. The history is written on condition
    that it has not changed. Each VM has a key for its streams under a lease
    that is not renewed, so that the key outlasts the VM and is removed later.
    """

    def __init__(self, client: store_client.StoreClient, clock: timing.Clock,
                 log: dispatch.Journal, vm: str) -> None:
        self._client = client
        self._clock = clock
        self._log = log
        self._streams_key = f"{PREFIX}of/{vm}"
        self._history_revision = 0
        self._lease: store_client.Lease | None = None
        self._leased_at = datetime.timedelta()
        self._journal: dispatch.StreamJournal | None = None

    def attach(self, journal: dispatch.StreamJournal) -> None:
        """Sets the journal that receives what the store shows."""
        self._journal = journal

    def apply_listing(self, items: list[store_client.Item]) -> None:
        """Applies a complete listing of the journal's keys."""
        self._history_revision = 0
        for each in items:
            self.apply_item(each)

    def apply_item(self, item: store_client.Item) -> None:
        """Applies a changed item; the removal of streams changes nothing."""
        if item.key == _HISTORY_KEY:
            self._history_revision = 0 if item.value is None else item.revision
        if item.value is None or self._journal is None:
            return
        try:
            value = item.decode_value()
        except ValueError as error:
            self._log.write("stream_journal_rejected", error=str(error))
            return
        if item.key == _HISTORY_KEY:
            self._journal.record_history(value)
        else:
            self._journal.record_streams(value, item.key == self._streams_key)

    def handle_era_change(self) -> None:
        """Handles the restore of the store, which may have lost the journal."""
        self._lease = None
        if self._journal is not None:
            self._journal.handle_restore()

    def handle_route_move(self) -> None:
        """Handles that a route of streams was moved to another service."""
        if self._journal is not None:
            self._journal.handle_route_move()

    def write_history(self, value: bytes,
                      on_end: collections.abc.Callable[[], None]) -> None:
        """See `dispatch.JournalStore`."""
        self._start(self._write_history(value), lambda _: on_end())

    def write_streams(self, value: bytes,
                      on_end: collections.abc.Callable[[bool], None]) -> None:
        """See `dispatch.JournalStore`."""
        self._start(self._write_streams(value), on_end)

    def _start(self, call: collections.abc.Coroutine[typing.Any, typing.Any,
                                                     None],
               on_end: collections.abc.Callable[[bool], None]) -> None:

        def fail(reason: failure.Failure) -> None:
            reason.trap(errors.KeyValueError)
            self._log.write("stream_journal_failed",
                            error=reason.getErrorMessage())
            on_end(False)

        def log_error(reason: failure.Failure) -> None:
            self._log.write("error",
                            part="stream_journal",
                            error=reason.getErrorMessage(),
                            traceback=reason.getTraceback())
            on_end(False)

        deferred = defer.Deferred.fromCoroutine(call)
        deferred.addCallbacks(lambda _: on_end(True), fail)
        deferred.addErrback(log_error)

    async def _write_history(self, value: bytes) -> None:
        revision = await self._client.replace_key(_HISTORY_KEY, value,
                                                  self._history_revision)
        if revision is None:
            # The watch delivers what another VM has written.
            return
        self._history_revision = max(revision, self._history_revision)
        if self._journal is not None:
            self._journal.record_history(value)

    async def _write_streams(self, value: bytes) -> None:
        now = self._clock.monotonic()
        if self._lease is None or now - self._leased_at > _LEASE_USE_TIME:
            self._lease = await self._client.grant_lease(_LEASE_TIME_TO_LIVE)
            self._leased_at = now
        try:
            await self._client.write_key(self._streams_key, value, self._lease)
        except errors.LeaseLostError:
            self._lease = None
            raise
