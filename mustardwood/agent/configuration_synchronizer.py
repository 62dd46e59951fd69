"""Synchronization of this VM's configuration with the platform."""

import collections.abc
import datetime
from twisted.internet import defer

from mustardwood import configuration
from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import replication
from mustardwood import runtime
from mustardwood import timing
from mustardwood.agent import backoff as backoff_module
from mustardwood.agent import document_codec
from mustardwood.agent import sleeper as sleeper_module

CONFIGURATION_KEY = "mustardwood/configuration"
"""Key of the configuration in the platform's key-value service."""

WATCH_TIMEOUT = datetime.timedelta(seconds=30)
"""Maximum duration of a watch; the value is read again after a timeout."""

ROLE_CHECK_INTERVAL = datetime.timedelta(seconds=1)
"""Interval at which an agent checks whether it has become a watcher."""

_log = runtime.make_logger("configuration")


class ConfigurationSynchronizer:
    """Keeps this VM's configuration synchronized with the platform's.

    A watcher reads the platform's value, then waits for changes to it. Other
    agents read it once at their start. The value is read again after an error
    and after a watch that timed out, because the platform may have been
    restored to an older state, whose lower revision a watch would not report.

    Args:
        service: The platform's key-value service.
        clock: Source of monotonic time.
        sleeper: Waits between calls.
        backoff: Delays between retries.
        is_watcher: Returns whether this agent watches the platform.
        on_adopt: Called with each document that comes into force.
        request_from_neighbours: Asks other VMs for their configuration.
    """

    def __init__(
            self, service: keyvalue.KeyValueService, clock: timing.Clock,
            sleeper: sleeper_module.Sleeper, backoff: backoff_module.Backoff,
            is_watcher: collections.abc.Callable[[], bool],
            on_adopt: collections.abc.Callable[
                [configuration.VersionedDocument], None],
            request_from_neighbours: collections.abc.Callable[[],
                                                              None]) -> None:
        self._replica = replication.ConfigurationReplica.for_boot()
        self._request_from_neighbours = request_from_neighbours
        self._is_booting = True
        self._service = service
        self._clock = clock
        self._sleeper = sleeper
        self._backoff = backoff
        self._is_watcher = is_watcher
        self._on_adopt = on_adopt
        self._document: configuration.Document | None = None
        self._cached_load: tuple[str, configuration.Document] | None = None
        self._revision = 0
        self._must_read = True
        self._stopped = False

    @property
    def in_force(self) -> configuration.VersionedDocument | None:
        """The document in force; None before the first one."""
        return self._replica.in_force

    @property
    def document(self) -> configuration.Document | None:
        """The decoded document in force; None before the first one."""
        return self._document

    @property
    def version(self) -> int:
        """The version in force; 0 before the first one."""
        held = self._replica.in_force
        return 0 if held is None else held.version

    @property
    def is_booting(self) -> bool:
        """Whether this VM may still wait for a neighbour's configuration."""
        return self._is_booting

    def stop(self) -> None:
        """Makes `run` return after its current wait."""
        self._stopped = True

    async def run(self) -> None:
        """Reads and watches the platform's value until `stop` is called."""
        defer.ensureDeferred(self._end_boot())
        while not self._stopped:
            try:
                await self._synchronize_once()
                self._backoff.reset()
            except errors.KeyValueError as error:
                self._must_read = True
                _log.warning("%s", error)
                await self._sleeper.sleep(self._backoff.next_delay())

    def handle_neighbour_document(
            self, document: configuration.VersionedDocument) -> None:
        """Processes the document that another VM has in force."""
        if not self._is_valid(document):
            return
        now = self._clock.monotonic()
        commands = self._replica.accept_neighbour(document, now)
        defer.ensureDeferred(self._try_execute(commands))

    async def handle_stored_value(self,
                                  stored: keyvalue.StoredValue | None) -> None:
        """Processes the platform's value.

        If the value is newer, it comes into force. If it is older or absent,
        the document in force is written to the platform.

        Args:
            stored: The platform's value; None when the key is absent.
        """
        revision = 0 if stored is None else stored.revision
        self._revision = revision
        document = self.decode(stored)
        if stored is not None and document is None:
            return
        if self._is_booting:
            self._request_from_neighbours()
        commands = self._replica.accept_platform(document, revision,
                                                 self._clock.monotonic())
        await self._execute(commands)

    async def _end_boot(self) -> None:
        """Ends the wait for a neighbour's configuration after its timeout."""
        await self._sleeper.sleep(replication.BOOT_TIMEOUT)
        self._is_booting = False
        await self._try_execute(self._replica.end_boot(self._clock.monotonic()))

    async def _try_execute(
            self, commands: tuple[replication.ReplicaCommand, ...]) -> None:
        try:
            await self._execute(commands)
        except errors.KeyValueError as error:
            self._must_read = True
            _log.warning("%s", error)

    async def _synchronize_once(self) -> None:
        if self._must_read:
            stored = await self._service.get(CONFIGURATION_KEY)
            self._must_read = False
            await self.handle_stored_value(stored)
        elif self._is_watcher():
            await self._watch()
        else:
            await self._sleeper.sleep(ROLE_CHECK_INTERVAL)

    async def _watch(self) -> None:
        stored = await self._service.watch(CONFIGURATION_KEY, self._revision,
                                           WATCH_TIMEOUT)
        if stored is None:
            self._must_read = True
            return
        await self.handle_stored_value(stored)

    async def _execute(
            self, commands: tuple[replication.ReplicaCommand, ...]) -> None:
        self._adopt_documents(commands)
        for each in commands:
            if isinstance(each, replication.Repair):
                await self._repair(each)

    async def _repair(self, command: replication.Repair) -> None:
        text = document_codec.encode_stored(command.document)
        _log.warning("the platform holds an older state; writing version %d",
                     command.document.version)
        self._must_read = True
        try:
            await self._service.put(CONFIGURATION_KEY,
                                    text,
                                    expected_revision=command.expected_revision)
        except errors.ConflictError:
            _log.info("another VM changed the platform's configuration first; "
                      "reading it again")

    def _adopt_documents(
            self, commands: tuple[replication.ReplicaCommand, ...]) -> None:
        for each in commands:
            if isinstance(each, replication.Adopt):
                self._adopt(each.document)

    def _adopt(self, document: configuration.VersionedDocument) -> None:
        self._document = self._load_cached(document.text)
        _log.info("configuration version %d is in force", document.version)
        self._on_adopt(document)

    def decode(
        self, stored: keyvalue.StoredValue | None
    ) -> configuration.VersionedDocument | None:
        """Returns the stored document; None when absent or invalid."""
        if stored is None:
            return None
        try:
            document = document_codec.decode_stored(stored.value)
        except errors.ConfigurationError as error:
            _log.error("%s", error)
            return None
        return document if self._is_valid(document) else None

    def _load_cached(self, text: str) -> configuration.Document:
        """Decodes a document's text; the last result is cached."""
        if self._cached_load is None or self._cached_load[0] != text:
            self._cached_load = (text, configuration.load_document(text))
        return self._cached_load[1]

    def _is_valid(self, document: configuration.VersionedDocument) -> bool:
        try:
            self._load_cached(document.text)
            return True
        except errors.ConfigurationError as error:
            _log.error("configuration version %d is invalid and ignored: %s",
                       document.version, error)
            return False
