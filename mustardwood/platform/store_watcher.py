"""Watches the configuration, endpoints and VMs in the platform's store."""

import collections.abc
import dataclasses
import datetime
import functools
import random
import traceback

import msgspec
from twisted.internet import defer
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import peers
from mustardwood import timing
from mustardwood.platform import configuration_decoder
from mustardwood.platform import endpoint_decoder
from mustardwood.platform import freshness_gate
from mustardwood.platform import journal_store
from mustardwood.platform import settings as settings_module
from mustardwood.platform import store_client

CONFIGURATION_KEY = "op/config"
"""Key of the configuration."""
VM_PREFIX = "vms/"
"""Prefix of the keys of this system's VMs; it is followed by the VM's name."""
_MIN_WATCH_FRACTION = 0.25
"""Minimum wait of the watch after a change, as a fraction of the longest wait.

A change ends the watches of all VMs at the same time. Random waits spread the
VMs' next proofs over time, so that the newest proof of all VMs is always young.
"""
_RECOVERY_WATCH_WAIT = datetime.timedelta(milliseconds=1)
"""Wait of the watch after a failed call.

It responds at once, so that the end of an outage is known.
"""
_ERA_CHECK_INTERVAL = datetime.timedelta(seconds=1)
"""Minimum interval of the checks of the store's era; each costs one read."""
_CHANGES_READ_INTERVAL = datetime.timedelta(milliseconds=50)
"""Minimum time between two reads of changes; one serves all that wait for it.
"""
_BACKOFF_BASE = datetime.timedelta(milliseconds=60)
"""Base of the exponential backoff after failed calls."""
_MAX_BACKOFF = datetime.timedelta(milliseconds=500)
"""Maximum backoff of a VM with few peers.

It is a tenth of the time after which a removed key must be refused.
"""
_PEERS_AT_MIN_TIMES = 8
"""Number of peers up to which waits and backoffs are not extended."""
_MAX_WAIT_FACTOR = 2.0
"""Maximum factor by which watches last longer in large deployments.

`EndpointDirectory` takes a list of endpoints for current for somewhat longer.
"""
_MAX_LAG = datetime.timedelta(seconds=1)
"""Time for which a peer may know of changes that a pending watch has not shown.

It is the longest interval at which peers send updates.
"""
_MIN_HISTORY_BYTES = 256 * 1024
"""Size of changes that are received however little reading all keys takes.

All keys take some more calls, which are billed.
"""
_ITEM_OVERHEAD_BYTES = 80
"""Approximate size of an item in a response besides its key and its value."""
_MAX_LOGGED_ERROR_LENGTH = 200
_MAX_FRAMES = 20
"""Maximum length of an error and of its traceback in a log line."""

Configuration = configuration_decoder.Configuration
_ListingListener = collections.abc.Callable[
    [list[store_client.Item], store_client.Position], None]
_ItemListener = collections.abc.Callable[[store_client.Item], None]


@dataclasses.dataclass(frozen=True)
class WatchTimes:
    """Times of watches, which follow from the deployment's bounds.

    Load pattern: many endpoints and VMs register at the same time, and each
    change would end the watches of all VMs, which costs one billed call per VM.
    All the changes during the batch delay are delivered by one call.

    A freshness proof is dated at the time of the request, so the proof from a
    watch is as old as its wait; `FreshnessReader` obtains newer ones.

    Attributes:
        max_wait: Maximum wait of a watch of a VM with few peers.
        batch_delay: Delay between a change and the next watch.
        max_backoff: Maximum backoff after failed calls with many peers.
    """

    max_wait: datetime.timedelta
    batch_delay: datetime.timedelta
    max_backoff: datetime.timedelta = _MAX_BACKOFF

    @classmethod
    def from_settings(
            cls, settings: settings_module.PlatformSettings) -> "WatchTimes":
        """Returns the times for the bounds in the settings."""
        return cls(settings.max_watch_wait, settings.batch_delay,
                   max(settings.max_store_backoff, _MAX_BACKOFF))

    def find_max_wait(self, peers_count: int) -> datetime.timedelta:
        """Returns the maximum wait of a watch with a number of peers.

        Load pattern: in a large deployment, watches that end without a change
        are most of the billed calls. A watch also ends so that a connection
        that has fallen silent is detected. With many peers, some watch ends
        soon, and its VM tells the others which changes they have missed.
        """
        return self.max_wait * min(_find_size_factor(peers_count),
                                   _MAX_WAIT_FACTOR)

    def find_max_backoff(self, peers_count: int) -> datetime.timedelta:
        """Returns the maximum backoff with a number of peers.

        Load pattern: during an outage all VMs call again and again, and refused
        calls are billed, too. With many peers one of them calls soon after the
        end of the outage and passes its freshness proof on to the others.
        """
        return min(_MAX_BACKOFF * _find_size_factor(peers_count),
                   self.max_backoff)


class StoreWatcher:
    """Keeps the configuration and the list of endpoints up to date.

    One watch covers all keys, so that a VM has only one pending call.

    Load pattern: a large configuration that changes in quick succession. A
    watch delivers each version, of which the newest alone counts, and a VM with
    a slow link falls behind further with each. Changes that are longer than all
    keys are not received; all keys are read instead.

    Failure: a store that was restored from an older copy starts a new era and
    gives out revisions again. All keys are read again then. An older version of
    the configuration does not replace the one in force, and `EndpointDirectory`
    decides about registrations that may be out of date.

    Attributes:
        configuration: The present configuration; None until one was read.
        item: The item of the store from which it was decoded.
    """

    def __init__(self, client: store_client.StoreClient, clock: timing.Clock,
                 scheduler: dispatch.Scheduler,
                 directory: dispatch.EndpointDirectory,
                 proof: dispatch.FreshnessProof,
                 gate: freshness_gate.FreshnessGate, journal: dispatch.Journal,
                 on_endpoint_restart: collections.abc.Callable[[str], None],
                 on_vm_change: collections.abc.Callable[[str, bytes | None],
                                                        None],
                 stream_store: journal_store.JournalStore, rng: random.Random,
                 times: WatchTimes, min_lapse_time: datetime.timedelta,
                 count_peers: collections.abc.Callable[[], int]) -> None:
        """Creates a watcher; `start` starts it.

        Args:
            client: Calls the store.
            clock: Its monotonic time must include the time of suspensions.
            scheduler: Schedules calls.
            directory: Receives the endpoints.
            proof: Receives the freshness proofs.
            gate: Decides which answers of the store are freshness proofs.
            journal: Logs changes and outages.
            on_endpoint_restart: Called with the name of an endpoint that has
                restarted.
            on_vm_change: Called with the name of a VM and its registration,
                or None if the registration was removed.
            stream_store: Receives the journal of streams.
            rng: Draws the waits of watches and the jitter of the backoff.
            times: Times of watches.
            min_lapse_time: Shortest store outage in which the registration of
                an endpoint can expire.
            count_peers: Returns the number of peers whose updates arrive.
        """
        self._client = client
        self._clock = clock
        self._scheduler = scheduler
        self._directory = directory
        self._proof = proof
        self._gate = gate
        self._journal = journal
        self._on_endpoint_restart = on_endpoint_restart
        self._on_vm_change = on_vm_change
        self._stream_store = stream_store
        self._rng = rng
        self._times = times
        self._min_lapse_time = min_lapse_time
        self._count_peers = count_peers
        self._is_watching = False
        self._lags_since: datetime.timedelta | None = None
        self._is_stopped = False
        self._failures = 0
        self._had_changes = True
        self._is_checking_era = False
        self._is_reading_changes = False
        self._next_changes_read_at = clock.monotonic()
        self._era_start: store_client.Position | None = None
        self._copied_revision = 0
        self._listed_bytes = 0
        self._position = store_client.Position()
        self._positions: dict[str, store_client.Position] = {}
        self._vms: set[str] = set()
        self._listeners: dict[str, list[tuple[_ListingListener,
                                              _ItemListener]]] = {}
        self.configuration: Configuration | None = None
        self.item: store_client.Item | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the store responded to the last watch or read."""
        return not self._failures

    @property
    def configuration_position(self) -> peers.ConfigurationPosition:
        """Position of the present configuration; zeros if there is none."""
        if self.item is None or self.configuration is None:
            return peers.ConfigurationPosition()
        return _make_configuration_position(self.item, self.configuration)

    @property
    def max_history_bytes(self) -> int:
        """Size in bytes of changes from which all keys are read instead."""
        configuration = [] if self.item is None else [self.item]
        return max(_MIN_HISTORY_BYTES,
                   self._listed_bytes + _count_bytes(configuration))

    @property
    def shows_newest(self) -> bool:
        """Whether a read of the configuration would be a freshness proof."""
        return self._gate.is_open(self.configuration_position.version)

    def add_listener(self, prefix: str, on_listing: _ListingListener,
                     on_item: _ItemListener) -> None:
        """Adds functions that are called with further keys.

        Each prefix costs one more read whenever all keys are read, except that
        of the VMs, which is read in any case.

        Args:
            prefix: Prefix of the keys.
            on_listing: Called with all items under the prefix, and a position
                of the store that they are not older than. Changes before it
                may have been missed. Later ones follow, and some of those that
                the listing contains may be repeated.
            on_item: Called with each change under the prefix.
        """
        self._listeners.setdefault(prefix, []).append((on_listing, on_item))

    def start(self) -> None:
        """Starts to watch the store."""
        defer.Deferred.fromCoroutine(self._watch_changes()).addErrback(
            self._restart)

    def stop(self) -> None:
        """Stops watching; the process is about to exit."""
        self._is_stopped = True

    def _restart(self, reason: failure.Failure) -> None:
        """Logs an unexpected error and starts again after a delay."""
        self._journal.write("error",
                            part="store_follower",
                            error=reason.getErrorMessage(),
                            traceback=reason.getTraceback())
        self._scheduler.call_later(_MAX_BACKOFF, self.start)

    async def _watch_changes(self) -> None:
        position: store_client.Position | None = None
        while not self._is_stopped:
            requested_at = self._clock.monotonic()
            try:
                if position is None:
                    position = await self._read_all()
                else:
                    position = await self._watch(position)
                self._position = position
                self.record_proof(requested_at, position.era)
                self._directory.record_listing(requested_at)
                if self._had_changes:
                    await self._sleep(self._times.batch_delay)
            except store_client.HistoryLostError as error:
                self._journal.write("store_history_lost", error=error.message)
                position = None
            except (errors.KeyValueError, msgspec.MsgspecError) as error:
                if not self._is_stopped:
                    await self._back_off(error)

    async def _read_all(self) -> store_client.Position:
        requested_at = self._clock.monotonic()
        self._directory.record_listing_gap()
        item, position = await self._client.read_key(CONFIGURATION_KEY)
        self._record_success()
        self._start_era(position)
        if item is not None:
            self._guard_item(self.apply_configuration, item)
        # Reading the ranges takes longer. Requests with API keys are already
        # allowed before that.
        self.record_proof(requested_at, position.era)
        streams = await self._client.read_range(journal_store.PREFIX,
                                                position.era)
        self._guard(journal_store.PREFIX,
                    lambda: self._stream_store.apply_listing(streams))
        items = await self._client.read_range(endpoint_decoder.PREFIX,
                                              position.era)
        registered_since = self._list_registered_since(items, position)
        for each in items:
            self._guard_item(self._apply_endpoint, each)
        vms = await self._client.read_range(VM_PREFIX, position.era)
        self._apply_vms(vms)
        missing = self._directory.keep_only(
            {each.key.removeprefix(endpoint_decoder.PREFIX) for each in items},
            registered_since)
        self._journal.write("store_read",
                            era=position.era,
                            revision=position.revision,
                            endpoints=len(items),
                            missing=missing)
        listed_bytes = _count_bytes(streams + items + vms)
        for prefix, listeners in self._listeners.items():
            listed = vms
            if prefix != VM_PREFIX:
                listed = await self._client.read_range(prefix, position.era)
                listed_bytes += _count_bytes(listed)
            for on_listing, _ in listeners:
                self._guard(prefix,
                            functools.partial(on_listing, listed, position))
        self._listed_bytes = listed_bytes
        return position

    def _list_registered_since(self, items: list[store_client.Item],
                               position: store_client.Position) -> set[str]:
        """Returns the endpoints that may have registered since the copy.

        The copy has at least the revisions of the items that are unchanged.

        Args:
            items: All registrations, none of which was applied yet.
            position: The store's position.
        """
        for each in items:
            known = self._positions.get(each.key)
            if (known is not None and known.era < each.era and
                    known.revision == each.revision):
                self._copied_revision = max(self._copied_revision,
                                            each.revision)
        return {
            key.removeprefix(endpoint_decoder.PREFIX)
            for key, known in self._positions.items()
            if key.startswith(endpoint_decoder.PREFIX) and
            known.era < position.era and known.revision > self._copied_revision
        }

    def _start_era(self, position: store_client.Position) -> None:
        """Handles an answer that may be the first one of an era."""
        previous = self._era_start
        if previous is not None and previous.era == position.era:
            return
        self._era_start = position
        self._copied_revision = 0
        self._gate.start_era(position)
        if previous is None:
            return
        self._directory.record_store_restore()
        self._journal.write("store_restored",
                            previous_era=self._position.era,
                            previous_revision=self._position.revision,
                            era=position.era,
                            revision=position.revision)

    async def _watch(self,
                     position: store_client.Position) -> store_client.Position:
        self._is_watching, self._lags_since = True, None
        try:
            items, next_position = await self._client.watch(
                "", position, self._draw_watch_wait(), self.max_history_bytes)
        finally:
            self._is_watching = False
        self._had_changes = bool(items)
        self._record_success()
        for each in items:
            self._guard_item(self._apply_item, each)
            for prefix, listeners in self._listeners.items():
                if each.key.startswith(prefix):
                    for _, on_item in listeners:
                        self._guard_item(on_item, each)
        return max(position, next_position)

    def _apply_item(self, item: store_client.Item) -> None:
        """Applies a change of a key that the watcher itself uses."""
        if item.key == CONFIGURATION_KEY:
            self.apply_configuration(item)
        elif item.key.startswith(endpoint_decoder.PREFIX):
            self._apply_endpoint(item)
        elif item.key.startswith(VM_PREFIX):
            self._apply_vm(item)
        elif (item.key.startswith(journal_store.PREFIX) and
              not self._is_stale(item)):
            self._stream_store.apply_item(item)

    def _guard_item(self, apply: _ItemListener,
                    item: store_client.Item) -> None:
        self._guard(item.key, lambda: apply(item))

    def _guard(self, key: str, apply: collections.abc.Callable[[],
                                                               None]) -> None:
        """Applies what a key holds; an unexpected error concerns only this key.

        Failure: other writers share the store. An entry that can't be handled
        must not keep the watch from applying what follows, now and each time
        that all keys are read again.

        Args:
            key: The key, or the prefix of several, for the log.
            apply: Applies it.
        """
        try:
            apply()
        except Exception as error:  # pylint: disable=broad-exception-caught
            self._journal.write("error",
                                part="store_item",
                                key=key,
                                error=str(error)[:_MAX_LOGGED_ERROR_LENGTH],
                                traceback=traceback.format_exc(_MAX_FRAMES))

    def request_read(self) -> None:
        """See `dispatch.RegistrationReader`.

        A pending watch shows that there are no changes only by its end, so the
        changes are read by a call of its own.
        """
        if (self._is_reading_changes or not self._position.revision or
                self._clock.monotonic() < self._next_changes_read_at):
            return
        self._is_reading_changes = True
        defer.Deferred.fromCoroutine(self._read_changes()).addErrback(
            self._log_read_error)

    async def _read_changes(self) -> None:
        """Applies changes before the pending watch, which shows them again.

        The listeners wait for the watch, so that they get changes in order.
        """
        requested_at = self._clock.monotonic()
        interval = _CHANGES_READ_INTERVAL
        try:
            items, _ = await self._client.watch("", self._position,
                                                _RECOVERY_WATCH_WAIT,
                                                self.max_history_bytes)
            for each in items:
                self._guard_item(self._apply_item, each)
            self._directory.record_listing(requested_at)
        except (errors.KeyValueError, msgspec.MsgspecError) as error:
            # The watch determines whether the store is unavailable.
            self._journal.write("changes_read_failed", error=str(error))
            interval = _MAX_BACKOFF
        finally:
            self._is_reading_changes = False
            self._next_changes_read_at = self._clock.monotonic() + interval

    def _log_read_error(self, reason: failure.Failure) -> None:
        """Logs an unexpected error; the next request reads again."""
        self._journal.write("error",
                            part="store_changes",
                            error=reason.getErrorMessage(),
                            traceback=reason.getTraceback())

    def _draw_watch_wait(self) -> datetime.timedelta:
        if self._failures:
            return _RECOVERY_WATCH_WAIT
        max_wait = self._times.find_max_wait(self._count_peers())
        if not self._had_changes:
            return max_wait
        return max_wait * self._rng.uniform(_MIN_WATCH_FRACTION, 1.0)

    def _apply_vms(self, items: list[store_client.Item]) -> None:
        """Applies a complete listing of the VMs."""
        for each in items:
            self._guard_item(self._apply_vm, each)
        for key in self._vms - {each.key for each in items}:
            self._vms.discard(key)
            self._on_vm_change(key.removeprefix(VM_PREFIX), None)

    def _apply_vm(self, item: store_client.Item) -> None:
        if self._is_stale(item):
            return
        if item.value is None:
            self._vms.discard(item.key)
        else:
            self._vms.add(item.key)
        self._on_vm_change(item.key.removeprefix(VM_PREFIX),
                           None if item.value is None else item.decode_value())

    def record_peer_position(self, position: store_client.Position) -> None:
        """Ends a pending watch that has not shown changes that a peer knows.

        Failure: the watch's connection has fallen silent without a reset. A
        watch whose response is arriving has not, however long that takes.

        Args:
            position: Position of the last change that the peer knows.
        """
        if (not self._is_watching or position.era != self._position.era or
                position <= self._position or self._client.is_receiving):
            return
        now = self._clock.monotonic()
        if self._lags_since is None:
            self._lags_since = now
        elif now - self._lags_since >= _MAX_LAG:
            self._lags_since = None
            self._journal.write("store_watch_silent",
                                revision=self._position.revision,
                                peer_revision=position.revision)
            self._client.abort_watches()

    @property
    def position(self) -> store_client.Position:
        """Position up to which all changes are known."""
        return self._position

    @property
    def is_receiving(self) -> bool:
        """Whether a response of the store is arriving."""
        return self._client.is_receiving

    def check_era(self, era: int) -> None:
        """Asks the store for its era if a peer knows a later one.

        A pending watch may have been lost in the restore and would delay that
        knowledge until its timeout.

        Args:
            era: The era that the peer knows.
        """
        if (self._era_start is None or era <= self._era_start.era or
                self._is_checking_era):
            return
        self._is_checking_era = True
        defer.Deferred.fromCoroutine(self._read_era()).addErrback(
            self._finish_era_check)

    async def _read_era(self) -> None:
        try:
            # The client ends the pending watch if the response is of a new era.
            await self._client.read_key(CONFIGURATION_KEY)
        except (errors.KeyValueError, msgspec.MsgspecError) as error:
            self._journal.write("era_check_failed", error=str(error))
        await self._sleep(_ERA_CHECK_INTERVAL)
        self._is_checking_era = False

    def _finish_era_check(self, reason: failure.Failure) -> None:
        """Logs an unexpected error."""
        self._is_checking_era = False
        self._journal.write("error",
                            part="store_follower",
                            error=reason.getErrorMessage(),
                            traceback=reason.getTraceback())

    def record_proof(self, requested_at: datetime.timedelta, era: int) -> None:
        """Records a freshness proof if an answer of the store is one.

        The configuration that the answer shows must have been applied before.

        Args:
            requested_at: Monotonic time of the request.
            era: The store's era in which it answered.
        """
        if self._is_of_present_era(era) and self.shows_newest:
            self._proof.record(requested_at)

    def apply_configuration(self, item: store_client.Item) -> None:
        """Applies a configuration that the store has shown.

        It is ignored if it is malformed, or older than the present one, or of
        another era than the keys that were read last.
        """
        if (item.value is None or not self._is_of_present_era(item.era) or
                self._is_stale(item)):
            return
        decoded = self._decode_configuration(item)
        if decoded is None:
            return
        version = decoded.table.version
        present = self.configuration_position
        self._gate.record_shown(version, item.position)
        if version < present.version:
            self._journal.write(
                "configuration_rejected",
                era=item.era,
                revision=item.revision,
                version=version,
                in_force=present.version,
                error="The version is lower than the present one.")
            return
        self._use_configuration(item, decoded)

    def apply_peer_configuration(self, item: store_client.Item) -> None:
        """Applies a configuration that a peer uses.

        It is ignored if it is malformed, or not newer than the present one.
        """
        decoded = self._decode_configuration(item)
        if decoded is not None and (_make_configuration_position(item, decoded)
                                    > self.configuration_position):
            self._use_configuration(item, decoded)

    def _decode_configuration(self,
                              item: store_client.Item) -> Configuration | None:
        try:
            return configuration_decoder.decode_configuration(
                item.decode_value())
        except errors.ConfigurationError as error:
            self._journal.write("configuration_rejected",
                                era=item.era,
                                revision=item.revision,
                                error=str(error))
            return None

    def _use_configuration(self, item: store_client.Item,
                           decoded: Configuration) -> None:
        if (self.configuration is not None and decoded.table.record_previous(
                self.configuration.table, self._clock.monotonic())):
            self._stream_store.handle_route_move()
        self.configuration = decoded
        self.item = item
        self._journal.write("configuration",
                            era=item.era,
                            revision=item.revision,
                            version=decoded.table.version)
        for problem in decoded.problems:
            self._journal.write("configuration_part_rejected",
                                version=decoded.table.version,
                                error=problem)

    def _is_of_present_era(self, era: int) -> bool:
        return self._era_start is not None and self._era_start.era == era

    def _apply_endpoint(self, item: store_client.Item) -> None:
        if self._is_stale(item):
            return
        name = item.key.removeprefix(endpoint_decoder.PREFIX)
        if item.value is None:
            at_once = self._directory.remove_endpoint(name)
            self._journal.write("endpoint_removed",
                                endpoint=name,
                                revision=item.revision,
                                at_once=at_once)
            return
        try:
            endpoint = endpoint_decoder.decode_endpoint(item.key,
                                                        item.decode_value())
        except errors.ConfigurationError as error:
            self._journal.write("endpoint_rejected",
                                endpoint=name,
                                revision=item.revision,
                                error=str(error))
            self._directory.remove_endpoint(name)
            return
        is_confirmed = (self._era_start is not None and
                        item.position > self._era_start)
        conflict = ("" if is_confirmed else
                    self._directory.find_restore_conflict(endpoint))
        if conflict:
            self._journal.write("endpoint_unconfirmed",
                                endpoint=name,
                                era=item.era,
                                revision=item.revision,
                                reason=conflict)
        current = self._directory.find_endpoint(name)
        if (not conflict and current is not None and
                current.started != endpoint.started):
            self._on_endpoint_restart(name)
        if self._directory.set_endpoint(endpoint, is_confirmed):
            self._journal.write("endpoint",
                                endpoint=name,
                                revision=item.revision,
                                service=endpoint.service,
                                leaving=endpoint.is_leaving,
                                started=endpoint.started,
                                software=endpoint.version)

    def _is_stale(self, item: store_client.Item) -> bool:
        """Returns whether an item at the same or a later position is known.

        If none is, the position of this item is recorded.
        """
        known = self._positions.get(item.key)
        if known is not None and item.position <= known:
            return True
        self._positions[item.key] = item.position
        return False

    def _record_success(self) -> None:
        outage = self._proof.take_longest_age()
        if self._failures:
            # Endpoints register again only after an outage that was longer than
            # the time in which registrations expire.
            may_have_lapsed = outage >= self._min_lapse_time
            if may_have_lapsed:
                self._directory.record_store_recovery()
            self._journal.write("store_regained",
                                failures=self._failures,
                                outage_s=outage.total_seconds(),
                                may_have_lapsed=may_have_lapsed)
            self._failures = 0

    def _back_off(self, error: Exception) -> defer.Deferred[None]:
        self._failures += 1
        if self._failures == 1:
            age = self._proof.get_age()
            self._journal.write(
                "store_lost",
                error=str(error),
                proof_age_s=None if age is None else age.total_seconds())
        max_backoff = self._times.find_max_backoff(self._count_peers())
        delay = min(_BACKOFF_BASE * 2**min(self._failures, 8), max_backoff)
        delay *= 0.5 + 0.5 * self._rng.random()
        if isinstance(error, errors.RateLimitedError):
            delay = max(delay, min(error.retry_after, max_backoff))
        return self._sleep(delay)

    def _sleep(self, delay: datetime.timedelta) -> defer.Deferred[None]:
        deferred: defer.Deferred[None] = defer.Deferred()
        self._scheduler.call_later(delay, lambda: deferred.callback(None))
        return deferred


def _count_bytes(items: collections.abc.Iterable[store_client.Item]) -> int:
    """Returns the approximate size of a response with these items."""
    return sum(
        len(each.key) + len(each.value or "") + _ITEM_OVERHEAD_BYTES
        for each in items)


def _find_size_factor(peers_count: int) -> float:
    return max(1.0, peers_count / _PEERS_AT_MIN_TIMES)


def _make_configuration_position(
        item: store_client.Item,
        configuration: Configuration) -> peers.ConfigurationPosition:
    return peers.ConfigurationPosition(configuration.table.version, item.era,
                                       item.revision)
