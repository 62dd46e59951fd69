"""The apply of a configuration."""

import datetime

from mustardwood import configuration
from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import replication
from mustardwood import timing
from mustardwood.agent import apply_request
from mustardwood.agent import backoff as backoff_module
from mustardwood.agent import configuration_synchronizer
from mustardwood.agent import document_codec
from mustardwood.agent import sleeper as sleeper_module

APPLY_LIMIT = datetime.timedelta(seconds=8)
"""Time after which an apply is answered whatever is known."""

_Next = replication.ApplyCommand | None


class Applier:
    """Carries `replication.Apply` out at the key-value service."""

    def __init__(
            self, service: keyvalue.KeyValueService, clock: timing.Clock,
            sleeper: sleeper_module.Sleeper, backoff: backoff_module.Backoff,
            keeper: configuration_synchronizer.ConfigurationSynchronizer
    ) -> None:
        self._service = service
        self._clock = clock
        self._sleeper = sleeper
        self._backoff = backoff
        self._keeper = keeper

    async def apply(
            self,
            request: apply_request.ApplyRequest) -> apply_request.ApplyOutcome:
        """Applies a document.

        Raises:
            ConfigurationError: The document is invalid.
        """
        parsed = configuration.load_document(request.text)
        document = configuration.VersionedDocument(
            0, request.apply_id, configuration.dump_document(parsed),
            request.author,
            self._clock.now().isoformat())
        core = replication.Apply(document, self._find_base(request),
                                 self._keeper.in_force)
        reason = await self._drive(core)
        return _describe_outcome(core, reason)

    def _find_base(self, request: apply_request.ApplyRequest) -> int:
        if request.expected_version is None:
            return self._keeper.version
        return request.expected_version

    async def _drive(self, core: replication.Apply) -> str:
        """Carries the apply out to its end; returns the last failure."""
        deadline = self._clock.monotonic() + APPLY_LIMIT
        self._backoff.reset()
        reason = "other writers kept changing the configuration."
        command = core.start()
        while command is not None:
            try:
                command = await self._carry_out(core, command)
            except errors.UncertainWriteError as error:
                reason = error.message
                command = core.uncertain()
            except errors.KeyValueError as error:
                reason = error.message
                command = core.unavailable()
            if command is None:
                break
            delay = self._backoff.next_delay()
            if self._clock.monotonic() + delay >= deadline:
                command = core.give_up()
            elif core.state in _AFTER_FAILURE:
                await self._sleeper.sleep(delay)
        return reason

    async def _carry_out(self, core: replication.Apply,
                         command: replication.ApplyCommand) -> _Next:
        if isinstance(command, replication.ReadPlatform):
            stored = await self._service.get(
                configuration_synchronizer.CONFIGURATION_KEY)
            present = self._decode(stored)
            revision = 0 if stored is None else stored.revision
            step = core.read(present, revision)
            if core.outcome is not None:
                await self._keeper.accept_stored(stored)
            return step
        return await self._write(core, command)

    def _decode(
        self, stored: keyvalue.StoredValue | None
    ) -> configuration.VersionedDocument | None:
        present = self._keeper.decode(stored)
        if stored is not None and present is None:
            raise errors.UnavailableError(
                "the platform holds a configuration that this release can't "
                "read, so its version is not known.",
                "Run the newest release on this VM, or apply through one.")
        return present

    async def _write(self, core: replication.Apply,
                     command: replication.WritePlatform) -> _Next:
        text = document_codec.encode_stored(command.document)
        try:
            revision = await self._service.put(
                configuration_synchronizer.CONFIGURATION_KEY,
                text,
                expected_revision=command.expected_revision)
        except errors.ConflictError:
            return core.conflicted()
        step = core.written()
        await self._keeper.accept_stored(
            keyvalue.StoredValue(configuration_synchronizer.CONFIGURATION_KEY,
                                 text, revision))
        return step


_AFTER_FAILURE = ("resolving",)
"""States that repeat a call after a delay."""


def _describe_outcome(core: replication.Apply,
                      reason: str) -> apply_request.ApplyOutcome:
    if core.outcome is replication.ApplyOutcome.APPLIED:
        return apply_request.Applied(core.document.version)
    if core.outcome is replication.ApplyOutcome.LOST:
        return apply_request.Conflict(core.winner)
    if core.outcome is replication.ApplyOutcome.NOT_WRITTEN:
        return apply_request.NotWritten(reason)
    return apply_request.OutcomeUnknown(reason)
