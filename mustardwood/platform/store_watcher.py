"""Watches the configuration, endpoints and VMs in the platform's store."""

import collections.abc
import datetime
import random

import msgspec
from twisted.internet import defer
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import timing
from mustardwood.platform import configuration_decoder
from mustardwood.platform import endpoint_decoder
from mustardwood.platform import store_client

CONFIGURATION_KEY = "op/config"
"""Key of the configuration."""
VM_PREFIX = "vms/"
"""Prefix of the keys of this system's VMs; it is followed by the VM's name."""
MAX_WATCH_WAIT = datetime.timedelta(seconds=2)
"""Maximum wait of a watch, after which a dead connection is detected.

With the margin of the call's timeout and the backoff, changes are late by less
than the three seconds for which the loss of connections excuses it.

A freshness proof is dated at the time of the request, so the proof from a watch
is as old as its wait; `FreshnessReader` obtains newer ones.
"""
_BATCH_DELAY = datetime.timedelta(milliseconds=300)
"""Delay between a change and the next watch.

Load pattern: many endpoints and VMs register at the same time, and each change
would end the watches of all VMs, which costs one billed call per VM. All the
changes during the delay are delivered by one call. The delay is about a seventh
of the two seconds in which changes must take effect.
"""
_MIN_WATCH_FRACTION = 0.25
"""Minimum wait of the watch after a change, as a fraction of `MAX_WATCH_WAIT`.

A change ends the watches of all VMs at the same time. Random waits spread the
VMs' next proofs over time, so that the newest proof of all VMs is always young.
"""
_RECOVERY_WATCH_WAIT = datetime.timedelta(milliseconds=1)
"""Wait of the watch after a failed call.

It responds at once, so that the end of an outage is known.
"""
_BACKOFF_BASE = datetime.timedelta(milliseconds=60)
"""Base of the exponential backoff after failed calls."""
_MAX_BACKOFF = datetime.timedelta(milliseconds=500)
"""Maximum backoff.

It is a tenth of the time after which a removed key must be refused.
"""

Configuration = configuration_decoder.Configuration


class StoreWatcher:
    """Keeps the configuration and the list of endpoints up to date.

    One watch covers all keys, so that a VM has only one pending call.

    Attributes:
        configuration: The present configuration; None until one was read.
        item: The item of the store from which it was decoded.
    """

    def __init__(self, client: store_client.StoreClient, clock: timing.Clock,
                 scheduler: dispatch.Scheduler,
                 directory: dispatch.EndpointDirectory,
                 proof: dispatch.FreshnessProof, journal: dispatch.Journal,
                 on_endpoint_restart: collections.abc.Callable[[str], None],
                 on_vm_change: collections.abc.Callable[[str, bytes | None],
                                                        None],
                 rng: random.Random,
                 min_lapse_time: datetime.timedelta) -> None:
        """Creates a watcher; `start` starts it.

        Args:
            client: Calls the store.
            clock: Its monotonic time must include the time of suspensions.
            scheduler: Schedules calls.
            directory: Receives the endpoints.
            proof: Receives the freshness proofs.
            journal: Logs changes and outages.
            on_endpoint_restart: Called with the name of an endpoint that has
                restarted.
            on_vm_change: Called with the name of a VM and its registration,
                or None if the registration was removed.
            rng: Draws the waits of watches and the jitter of the backoff.
            min_lapse_time: Shortest store outage in which the registration of
                an endpoint can expire.
        """
        self._client = client
        self._clock = clock
        self._scheduler = scheduler
        self._directory = directory
        self._proof = proof
        self._journal = journal
        self._on_endpoint_restart = on_endpoint_restart
        self._on_vm_change = on_vm_change
        self._rng = rng
        self._min_lapse_time = min_lapse_time
        self._is_stopped = False
        self._failures = 0
        self._had_changes = True
        self._revisions: dict[str, int] = {}
        self.configuration: Configuration | None = None
        self.item: store_client.Item | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the store responded to the last watch or read."""
        return not self._failures

    @property
    def revision(self) -> int:
        """Revision of the present configuration; 0 if there is none."""
        return 0 if self.item is None else self.item.revision

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
        revision: int | None = None
        while not self._is_stopped:
            requested_at = self._clock.monotonic()
            try:
                if revision is None:
                    revision = await self._read_all()
                else:
                    revision = await self._watch(revision)
                self._proof.record(requested_at)
                self._directory.record_listing(requested_at)
                if self._had_changes:
                    await self._sleep(_BATCH_DELAY)
            except store_client.HistoryLostError as error:
                self._journal.write("store_history_lost", error=error.message)
                revision = None
            except (errors.KeyValueError, msgspec.MsgspecError) as error:
                if not self._is_stopped:
                    await self._back_off(error)

    async def _read_all(self) -> int:
        requested_at = self._clock.monotonic()
        item, revision = await self._client.read_key(CONFIGURATION_KEY)
        self._record_success()
        if item is not None:
            self.apply_configuration(item)
        # Reading the ranges takes longer. Requests with API keys are already
        # allowed before that.
        self._proof.record(requested_at)
        items = await self._client.read_range(endpoint_decoder.PREFIX)
        for each in items:
            self._apply_endpoint(each)
        for each in await self._client.read_range(VM_PREFIX):
            self._apply_vm(each)
        missing = self._directory.keep_only(
            {each.key.removeprefix(endpoint_decoder.PREFIX) for each in items})
        self._journal.write("store_read",
                            revision=revision,
                            endpoints=len(items),
                            missing=missing)
        return revision

    async def _watch(self, revision: int) -> int:
        items, next_revision = await self._client.watch("", revision,
                                                        self._draw_watch_wait())
        self._had_changes = bool(items)
        self._record_success()
        for each in items:
            if each.key == CONFIGURATION_KEY:
                self.apply_configuration(each)
            elif each.key.startswith(endpoint_decoder.PREFIX):
                self._apply_endpoint(each)
            elif each.key.startswith(VM_PREFIX):
                self._apply_vm(each)
        return max(revision, next_revision)

    def _draw_watch_wait(self) -> datetime.timedelta:
        if self._failures:
            return _RECOVERY_WATCH_WAIT
        if not self._had_changes:
            return MAX_WATCH_WAIT
        return MAX_WATCH_WAIT * self._rng.uniform(_MIN_WATCH_FRACTION, 1.0)

    def _apply_vm(self, item: store_client.Item) -> None:
        if not self._is_stale(item):
            self._on_vm_change(
                item.key.removeprefix(VM_PREFIX),
                None if item.value is None else item.decode_value())

    def apply_configuration(self, item: store_client.Item) -> None:
        """Applies a configuration from the store or from a peer.

        It is ignored if it is malformed, or older than the present one.
        """
        if item.value is None or self._is_stale(item):
            return
        try:
            decoded = configuration_decoder.decode_configuration(
                item.decode_value())
        except errors.ConfigurationError as error:
            self._journal.write("configuration_rejected",
                                revision=item.revision,
                                error=str(error))
            return
        current = self.configuration
        if (current is not None and
                decoded.table.version < current.table.version):
            self._journal.write(
                "configuration_rejected",
                revision=item.revision,
                version=decoded.table.version,
                in_force=current.table.version,
                error="The version is lower than the present one.")
            return
        self.configuration = decoded
        self.item = item
        self._journal.write("configuration",
                            revision=item.revision,
                            version=decoded.table.version)

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
        current = self._directory.find_endpoint(name)
        if current is not None and current.started != endpoint.started:
            self._on_endpoint_restart(name)
        if self._directory.set_endpoint(endpoint):
            self._journal.write("endpoint",
                                endpoint=name,
                                revision=item.revision,
                                service=endpoint.service,
                                leaving=endpoint.is_leaving,
                                started=endpoint.started,
                                software=endpoint.version)

    def _is_stale(self, item: store_client.Item) -> bool:
        """Returns whether an item with the same or a higher revision is known.

        If none is, the revision of this item is recorded.
        """
        if item.revision <= self._revisions.get(item.key, 0):
            return True
        self._revisions[item.key] = item.revision
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
        delay = min(_BACKOFF_BASE * 2**min(self._failures, 8), _MAX_BACKOFF)
        delay *= 0.5 + 0.5 * self._rng.random()
        if isinstance(error, errors.RateLimitedError):
            delay = max(delay, min(error.retry_after, _MAX_BACKOFF))
        return self._sleep(delay)

    def _sleep(self, delay: datetime.timedelta) -> defer.Deferred[None]:
        deferred: defer.Deferred[None] = defer.Deferred()
        self._scheduler.call_later(delay, lambda: deferred.callback(None))
        return deferred
