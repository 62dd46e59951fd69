"""The apply of a configuration."""

import datetime

from mustardwood import configuration
from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import timing
from mustardwood.agent import apply_request
from mustardwood.agent import backoff as backoff_module
from mustardwood.agent import configuration_keeper
from mustardwood.agent import document_codec
from mustardwood.agent import sleeper as sleeper_module

APPLY_LIMIT = datetime.timedelta(seconds=8)
"""Time after which an apply is answered whatever is known."""


class Applier:
    """Applies documents by compare-and-swap.

    A write whose answer was lost is sent again with the same expected
    revision, after a read: if the first took effect, the read shows its apply
    id, and the second can't take effect.
    """

    def __init__(self, service: keyvalue.KeyValueService, clock: timing.Clock,
                 sleeper: sleeper_module.Sleeper,
                 backoff: backoff_module.Backoff,
                 keeper: configuration_keeper.ConfigurationKeeper) -> None:
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
        document = configuration.load_document(request.text)
        attempt = _Attempt(request, configuration.dump_document(document),
                           self._clock.now())
        deadline = self._clock.monotonic() + APPLY_LIMIT
        self._backoff.reset()
        while True:
            try:
                outcome = await self._try_once(attempt)
                if outcome is not None:
                    return outcome
                reason = "other writers kept changing the configuration"
            except errors.KeyValueError as error:
                reason = error.message
                attempt.note_error(error)
                if isinstance(error, errors.UnavailableError):
                    if not attempt.uncertain:
                        return apply_request.NotWritten(reason)
            delay = self._backoff.next_delay()
            if self._clock.monotonic() + delay >= deadline:
                return attempt.give_up(reason)
            await self._sleeper.sleep(delay)

    async def _try_once(
            self, attempt: "_Attempt") -> apply_request.ApplyOutcome | None:
        stored = await self._service.get(configuration_keeper.KEY)
        await self._keeper.accept_stored(stored)
        held = self._keeper.in_force
        outcome = attempt.judge(held)
        if outcome is not None:
            return outcome
        document = attempt.make_document(held)
        revision = 0 if stored is None else stored.revision
        try:
            new_revision = await self._service.put(
                configuration_keeper.KEY,
                document_codec.encode_stored(document),
                expected_revision=revision)
        except errors.ConflictError:
            return None
        await self._keeper.accept_stored(
            keyvalue.StoredValue(configuration_keeper.KEY,
                                 document_codec.encode_stored(document),
                                 new_revision))
        return apply_request.Applied(document.version)


class _Attempt:
    """One apply with what is known of its writes."""

    def __init__(self, request: apply_request.ApplyRequest, text: str,
                 now: datetime.datetime) -> None:
        self.uncertain = False
        self._request = request
        self._text = text
        self._now = now
        self._base: int | None = request.expected_version

    def note_error(self, error: errors.KeyValueError) -> None:
        """Remembers that a write may have taken effect."""
        if isinstance(error, errors.UncertainWriteError):
            self.uncertain = True

    def judge(
        self, held: configuration.VersionedDocument | None
    ) -> apply_request.ApplyOutcome | None:
        """Returns the outcome if what is held decides it."""
        if held is not None and held.apply_id == self._request.apply_id:
            return apply_request.Applied(held.version)
        version = 0 if held is None else held.version
        if self._base is None:
            self._base = version
        if version == self._base:
            return None
        if self.uncertain and version > self._base + 1:
            return apply_request.Unknown(
                f"version {version} is in force; this apply may have been"
                " in force before it")
        return apply_request.Beaten(held)

    def make_document(
        self, held: configuration.VersionedDocument | None
    ) -> configuration.VersionedDocument:
        """Returns the document to write over what is held."""
        version = 1 if held is None else held.version + 1
        return configuration.VersionedDocument(version, self._request.apply_id,
                                               self._text, self._request.author,
                                               self._now.isoformat())

    def give_up(self, reason: str) -> apply_request.ApplyOutcome:
        """Returns the outcome when time is up."""
        if self.uncertain:
            return apply_request.Unknown(reason)
        return apply_request.NotWritten(reason)
