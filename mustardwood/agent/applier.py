"""Application of a configuration document by an operator."""

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

APPLY_TIMEOUT = datetime.timedelta(seconds=8)
"""Time after which an apply is answered, even if its outcome is unknown."""

_NextCommand = replication.ApplyCommand | None


class Applier:
    """Executes the commands of `replication.Apply` at the key-value service.

    Args:
        service: The platform's key-value service.
        clock: Source of wall-clock and monotonic time.
        sleeper: Waits between retries.
        backoff: Delays between retries.
        synchronizer: Holds the configuration in force on this VM.
    """

    def __init__(
        self, service: keyvalue.KeyValueService, clock: timing.Clock,
        sleeper: sleeper_module.Sleeper, backoff: backoff_module.Backoff,
        synchronizer: configuration_synchronizer.ConfigurationSynchronizer
    ) -> None:
        self._service = service
        self._clock = clock
        self._sleeper = sleeper
        self._backoff = backoff
        self._synchronizer = synchronizer

    async def apply(
            self,
            request: apply_request.ApplyRequest) -> apply_request.ApplyResult:
        """Applies a document.

        Args:
            request: The document and the version that it is based on.

        Returns:
            Whether the document was applied, and the reason if it was not.

        Raises:
            ConfigurationError: The document is invalid.
        """
        parsed = configuration.load_document(request.text)
        document = configuration.VersionedDocument(
            0, request.apply_id, configuration.dump_document(parsed),
            request.author,
            self._clock.now().isoformat())
        machine = replication.Apply(document,
                                    self._choose_base_version(request),
                                    self._synchronizer.in_force)
        reason = await self._run_machine(machine)
        return _make_result(machine, reason)

    def _choose_base_version(self, request: apply_request.ApplyRequest) -> int:
        if request.expected_version is None:
            return self._synchronizer.version
        return request.expected_version

    async def _run_machine(self, machine: replication.Apply) -> str:
        """Runs the state machine until it ends; returns the last failure."""
        deadline = self._clock.monotonic() + APPLY_TIMEOUT
        self._backoff.reset()
        reason = "other writers kept changing the configuration."
        command = machine.start()
        while command is not None:
            try:
                command = await self._execute(machine, command)
            except errors.UncertainWriteError as error:
                reason = error.message
                command = machine.uncertain()
            except errors.KeyValueError as error:
                reason = error.message
                command = machine.unavailable()
            if command is None:
                break
            delay = self._backoff.next_delay()
            if self._clock.monotonic() + delay >= deadline:
                command = machine.give_up()
            elif machine.state in _RETRY_STATES:
                await self._sleeper.sleep(delay)
        return reason

    async def _execute(self, machine: replication.Apply,
                       command: replication.ApplyCommand) -> _NextCommand:
        if isinstance(command, replication.ReadPlatform):
            stored = await self._service.get(
                configuration_synchronizer.CONFIGURATION_KEY)
            present = self._decode(stored)
            revision = 0 if stored is None else stored.revision
            step = machine.read(present, revision)
            if machine.outcome is not None:
                await self._synchronizer.handle_stored_value(stored)
            return step
        return await self._write(machine, command)

    def _decode(
        self, stored: keyvalue.StoredValue | None
    ) -> configuration.VersionedDocument | None:
        present = self._synchronizer.decode(stored)
        if stored is not None and present is None:
            raise errors.UnavailableError(
                "the platform holds a configuration that this release can't "
                "read, so its version is not known.",
                "Run the newest release on this VM, or apply through one.")
        return present

    async def _write(self, machine: replication.Apply,
                     command: replication.WritePlatform) -> _NextCommand:
        text = document_codec.encode_stored(command.document)
        try:
            revision = await self._service.put(
                configuration_synchronizer.CONFIGURATION_KEY,
                text,
                expected_revision=command.expected_revision)
        except errors.ConflictError:
            return machine.conflicted()
        step = machine.written()
        await self._synchronizer.handle_stored_value(
            keyvalue.StoredValue(configuration_synchronizer.CONFIGURATION_KEY,
                                 text, revision))
        return step


_RETRY_STATES = ("resolving",)
"""States in which the next call is a retry and so waits for the delay."""


def _make_result(machine: replication.Apply,
                 reason: str) -> apply_request.ApplyResult:
    if machine.outcome is replication.ApplyOutcome.APPLIED:
        return apply_request.Applied(machine.document.version)
    if machine.outcome is replication.ApplyOutcome.LOST:
        return apply_request.Conflict(machine.winner)
    if machine.outcome is replication.ApplyOutcome.NOT_WRITTEN:
        return apply_request.NotWritten(reason)
    return apply_request.OutcomeUnknown(reason)
