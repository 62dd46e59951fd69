"""Follows the configuration and the endpoints in the platform's store."""

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
"""Key of the newest configuration."""
VM_PREFIX = "vms/"
"""Keys of this system's own VMs; the rest of the key is the VM's name."""
WATCH_TIME = datetime.timedelta(seconds=3)
"""Longest wait of a watch, after which a silent connection is noticed.

A proof counts from the question, so a watch gives old ones; `FreshnessReader`
asks for younger ones.
"""
_REST = datetime.timedelta(milliseconds=300)
"""Rest between a change and the next watch.

Load pattern: many endpoints and VMs register at once, and each change would
wake all VMs, at one priced call each. The changes of a rest come with one call;
it is about a seventh of the two seconds in which changes must take effect.
"""
_FIRST_WATCH_SHARE = 0.25
"""Least part of that wait after a change.

A change wakes the watches of all VMs at once; unequal waits spread the next
proofs, so that the newest one among all VMs is always young.
"""
_FIRST_DELAY = datetime.timedelta(milliseconds=60)
"""Delay before the first repeat of a failed call."""
_LONGEST_DELAY = datetime.timedelta(milliseconds=500)
"""Bound on the delay: a tenth of the time in which a removed key must die."""

Configuration = configuration_decoder.Configuration


class StoreWatcher:
    """Keeps the configuration in force and the list of endpoints.

    One watch covers all keys, so that a VM has a single waiting call.

    Attributes:
        configuration: The configuration in force; None before the first.
        item: The same as the store holds it.
    """

    def __init__(self, client: store_client.StoreClient, clock: timing.Clock,
                 scheduler: dispatch.Scheduler,
                 directory: dispatch.EndpointDirectory,
                 proof: dispatch.FreshnessProof, journal: dispatch.Journal,
                 on_restart: collections.abc.Callable[[str], None],
                 on_vm: collections.abc.Callable[[str, bytes | None], None],
                 rng: random.Random) -> None:
        """Creates a follower; `start` begins to follow.

        Args:
            client: Calls the store.
            clock: Its monotonic time counts suspension.
            scheduler: Delays calls.
            directory: Gets the endpoints.
            proof: Gets the proofs of currency.
            journal: Gets a line for each change.
            on_restart: Called with the name of an endpoint that started anew.
            on_vm: Called with the name of a VM and its registration, or None
                when it is removed.
            rng: Draws waits and delays.
        """
        self._client = client
        self._clock = clock
        self._scheduler = scheduler
        self._directory = directory
        self._proof = proof
        self._journal = journal
        self._on_restart = on_restart
        self._on_vm = on_vm
        self._rng = rng
        self._is_stopped = False
        self._failures = 0
        self._was_woken = True
        self._revisions: dict[str, int] = {}
        self.configuration: Configuration | None = None
        self.item: store_client.Item | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the store answered the last watch."""
        return not self._failures

    @property
    def revision(self) -> int:
        """Revision of the configuration in force; 0 before the first."""
        return 0 if self.item is None else self.item.revision

    def start(self) -> None:
        """Begins to follow the store."""
        defer.Deferred.fromCoroutine(self._follow()).addErrback(self._restart)

    def stop(self) -> None:
        """Stops following; the process is about to end."""
        self._is_stopped = True

    def _restart(self, reason: failure.Failure) -> None:
        """Follows on after an error that nobody foresaw."""
        self._journal.write("error",
                            part="store_follower",
                            error=reason.getErrorMessage(),
                            traceback=reason.getTraceback())
        self._scheduler.call_later(_LONGEST_DELAY, self.start)

    async def _follow(self) -> None:
        revision: int | None = None
        while not self._is_stopped:
            asked = self._clock.monotonic()
            try:
                if revision is None:
                    revision = await self._read_all()
                else:
                    revision = await self._watch(revision)
                self._proof.record(asked)
                if self._was_woken:
                    await self._wait(_REST)
            except store_client.HistoryLostError as error:
                self._journal.write("store_history_lost", error=error.message)
                revision = None
            except (errors.KeyValueError, msgspec.MsgspecError) as error:
                if not self._is_stopped:
                    await self._wait_after(error)

    async def _read_all(self) -> int:
        asked = self._clock.monotonic()
        item, revision = await self._client.read_key(CONFIGURATION_KEY)
        self._note_answer()
        if item is not None:
            self.apply_configuration(item)
        # The lists take longer; keyed requests need not wait for them.
        self._proof.record(asked)
        items = await self._client.read_range(endpoint_decoder.PREFIX)
        for each in items:
            self._take_endpoint(each)
        for each in await self._client.read_range(VM_PREFIX):
            self._take_vm(each)
        missing = self._directory.keep_only(
            {each.key.removeprefix(endpoint_decoder.PREFIX) for each in items})
        self._journal.write("store_read",
                            revision=revision,
                            endpoints=len(items),
                            missing=missing)
        return revision

    async def _watch(self, revision: int) -> int:
        items, at = await self._client.watch("", revision, self._draw_wait())
        self._was_woken = bool(items)
        self._note_answer()
        for each in items:
            if each.key == CONFIGURATION_KEY:
                self.apply_configuration(each)
            elif each.key.startswith(endpoint_decoder.PREFIX):
                self._take_endpoint(each)
            elif each.key.startswith(VM_PREFIX):
                self._take_vm(each)
        return max(revision, at)

    def _draw_wait(self) -> datetime.timedelta:
        if not self._was_woken:
            return WATCH_TIME
        return WATCH_TIME * self._rng.uniform(_FIRST_WATCH_SHARE, 1.0)

    def _take_vm(self, item: store_client.Item) -> None:
        if not self._is_old(item):
            self._on_vm(item.key.removeprefix(VM_PREFIX),
                        None if item.value is None else item.decode_value())

    def apply_configuration(self, item: store_client.Item) -> None:
        """Takes over a configuration, from the store or from a peer."""
        if item.value is None or self._is_old(item):
            return
        try:
            found = configuration_decoder.decode_configuration(
                item.decode_value())
        except errors.ConfigurationError as error:
            self._journal.write("configuration_rejected",
                                revision=item.revision,
                                error=str(error))
            return
        known = self.configuration
        if known is not None and found.table.version < known.table.version:
            self._journal.write("configuration_rejected",
                                revision=item.revision,
                                version=found.table.version,
                                in_force=known.table.version,
                                error="The version is older.")
            return
        self.configuration = found
        self.item = item
        self._journal.write("configuration",
                            revision=item.revision,
                            version=found.table.version)

    def _take_endpoint(self, item: store_client.Item) -> None:
        if self._is_old(item):
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
        known = self._directory.find_endpoint(name)
        if known is not None and known.started != endpoint.started:
            self._on_restart(name)
        if self._directory.set_endpoint(endpoint):
            self._journal.write("endpoint",
                                endpoint=name,
                                revision=item.revision,
                                service=endpoint.service,
                                leaving=endpoint.is_leaving,
                                started=endpoint.started)

    def _is_old(self, item: store_client.Item) -> bool:
        if item.revision <= self._revisions.get(item.key, 0):
            return True
        self._revisions[item.key] = item.revision
        return False

    def _note_answer(self) -> None:
        if self._failures:
            self._directory.record_store_recovery()
            self._journal.write("store_regained", failures=self._failures)
            self._failures = 0

    def _wait_after(self, error: Exception) -> defer.Deferred[None]:
        self._failures += 1
        if self._failures == 1:
            age = self._proof.get_age()
            self._journal.write(
                "store_lost",
                error=str(error),
                proof_age_s=None if age is None else age.total_seconds())
        delay = min(_FIRST_DELAY * 2**min(self._failures, 8), _LONGEST_DELAY)
        delay *= 0.5 + 0.5 * self._rng.random()
        if isinstance(error, errors.RateLimitedError):
            delay = max(delay, min(error.retry_after, _LONGEST_DELAY))
        return self._wait(delay)

    def _wait(self, delay: datetime.timedelta) -> defer.Deferred[None]:
        waited: defer.Deferred[None] = defer.Deferred()
        self._scheduler.call_later(delay, lambda: waited.callback(None))
        return waited
