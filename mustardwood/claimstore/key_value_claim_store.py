"""Claims kept in the platform's key-value service."""

import datetime
import hashlib
import typing

import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from mustardwood import claims
from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import timing
from mustardwood.claimstore import backoff
from mustardwood.claimstore import hourly_lease
from mustardwood.claimstore import stopwatch
from mustardwood.claimstore import write_rate_limiter

_NextCommand = claims.Command | None

KEY_PREFIX = "mustardwood/claims/"
"""Prefix of the keys of all claims in the key-value service."""

DEFAULT_TIME_LIMIT = datetime.timedelta(minutes=10)
"""Default time from acquiring a claim to the deadline of its request."""

MAX_CLOCK_SKEW = datetime.timedelta(seconds=5)
"""Added to the stored deadline, as the wall clocks of VMs differ."""

ACQUIRE_TIMEOUT = datetime.timedelta(seconds=2)
"""Time limit for acquiring a claim; after it the attempt is refused."""

SETTLE_TIMEOUT = datetime.timedelta(minutes=10)
"""Time limit for retrying the write that ends a claim.

Records left by late writes of abandoned claims are looked for as long.
"""

WRITES_PER_CLAIM = 2
"""Writes for a claimed request: the claim and its final record."""


class KeyValueClaimStore:
    """A `ClaimStore` that carries out the commands of `Claim`.

    A claimed request costs two writes. The service deletes a claim 24 to 25
    hours after it was made, when its lease ends.
    """

    def __init__(self, service: keyvalue.KeyValueService, clock: timing.Clock,
                 vm: str, limit: write_rate_limiter.WriteRateLimiter,
                 timer: interfaces.IReactorTime) -> None:
        self._service = service
        self._clock = clock
        self._vm = vm
        self._write_limiter = limit
        self._timer = timer
        self._hourly_lease = hourly_lease.HourlyLease(service, clock)
        self._held_claims: dict[str, tuple[str, claims.Claim]] = {}

    @classmethod
    def from_service(
            cls,
            service: keyvalue.KeyValueService,
            clock: timing.Clock,
            vm: str,
            *,
            limit: write_rate_limiter.WriteRateLimiter | None = None,
            timer: interfaces.IReactorTime | None = None
    ) -> "KeyValueClaimStore":
        """Returns a store.

        Args:
            service: The key-value service.
            clock: Clock for deadlines and time limits.
            vm: Name of this VM.
            limit: Limit on the rate of writes; None for the default one.
            timer: Runs delayed retries; None for the reactor.
        """
        if timer is None:
            from twisted.internet import reactor
            timer = typing.cast(interfaces.IReactorTime, reactor)
        return cls(service, clock, vm, limit or
                   write_rate_limiter.WriteRateLimiter(), timer)

    async def acquire(
        self,
        organisation: str,
        key: str,
        fingerprint: str,
        attempt_id: str,
        time_limit: datetime.timedelta = DEFAULT_TIME_LIMIT
    ) -> claims.ClaimResult:
        """Tries to acquire the claim of a request; see `ClaimStore.acquire`.

        A claim that took `LEASE_SHARING_TIME` or longer to acquire, as when
        the VM was suspended, is released: its lease may end too early.

        Args:
            organisation: The caller's organisation.
            key: The caller's Idempotency-Key.
            fingerprint: Digest of the request.
            attempt_id: Id of this attempt, unique in the fleet for all time.
            time_limit: Time until the request's deadline, after which the
                attempt must not be sent.

        Returns:
            The verdict and its data.
        """
        wait = self._write_limiter.take(WRITES_PER_CLAIM,
                                        self._clock.monotonic())
        if wait:
            return _make_unavailable(wait)
        claim = claims.Claim(
            claims.ClaimRecord(attempt_id=attempt_id,
                               holder=self._vm,
                               fingerprint=fingerprint,
                               deadline=self._clock.now() + time_limit +
                               MAX_CLOCK_SKEW))
        claim_key = make_claim_key(organisation, key)
        age = stopwatch.Stopwatch(self._clock)
        requested_delay = await self._acquire(claim, claim_key)
        if claim.is_held and age.elapsed() >= hourly_lease.LEASE_SHARING_TIME:
            await self._execute_or_retry(claim, claim_key, claim.release())
        return self._make_result(claim, claim_key, attempt_id, requested_delay)

    async def complete(self, attempt_id: str,
                       response: claims.StoredResponse) -> None:
        """Stores the response of a held claim; see `ClaimStore.complete`.

        Like `mark_unknown` and `release`, it returns after the first call to
        the service, which is retried in the background when it failed, and
        does nothing when the attempt holds no claim.
        """
        held = self._held_claims.pop(attempt_id, None)
        if held is not None:
            claim_key, claim = held
            await self._execute_or_retry(claim, claim_key,
                                         claim.complete(response))

    async def mark_unknown(self, attempt_id: str) -> None:
        """Records an unknown outcome; see `ClaimStore.mark_unknown`."""
        held = self._held_claims.pop(attempt_id, None)
        if held is not None:
            claim_key, claim = held
            await self._execute_or_retry(claim, claim_key, claim.mark_unknown())

    async def release(self, attempt_id: str) -> None:
        """Deletes a held claim; see `ClaimStore.release`."""
        held = self._held_claims.pop(attempt_id, None)
        if held is not None:
            claim_key, claim = held
            await self._execute_or_retry(claim, claim_key, claim.release())

    async def _acquire(self, claim: claims.Claim,
                       claim_key: str) -> datetime.timedelta | None:
        """Runs a claim until it is held, refused or abandoned.

        Returns:
            The delay that the service requested last, or None.
        """
        retry_backoff = backoff.Backoff(self._clock, ACQUIRE_TIMEOUT)
        requested_delay: datetime.timedelta | None = None
        command = claim.start()
        while command is not None:
            if retry_backoff.is_expired():
                claim.give_up()
                return requested_delay
            command, has_failed, delay = await self._execute(
                claim, claim_key, command)
            requested_delay = delay or requested_delay
            is_create = isinstance(command, claims.Create)
            if command is not None and (has_failed or is_create):
                await self._sleep(retry_backoff.next_delay())
        return requested_delay

    def _make_result(
            self, claim: claims.Claim, claim_key: str, attempt_id: str,
            requested_delay: datetime.timedelta | None) -> claims.ClaimResult:
        if claim.is_held:
            self._held_claims[attempt_id] = (claim_key, claim)
        if claim.is_abandoned:
            defer.ensureDeferred(self._remove_late_records(claim, claim_key))
        result = claim.get_result(self._clock.now())
        if result.verdict is claims.ClaimVerdict.UNAVAILABLE:
            return _make_unavailable(requested_delay or
                                     claims.DEFAULT_RETRY_AFTER)
        return result

    async def _execute_or_retry(self, claim: claims.Claim, claim_key: str,
                                command: _NextCommand) -> None:
        """Executes a command once; retries in the background if needed."""
        command, _, _ = await self._execute(claim, claim_key, command)
        if command is not None:
            defer.ensureDeferred(
                self._retry_in_background(claim, claim_key, command))

    async def _retry_in_background(self, claim: claims.Claim, claim_key: str,
                                   command: _NextCommand) -> None:
        retry_backoff = backoff.Backoff(self._clock, SETTLE_TIMEOUT)
        while command is not None and not retry_backoff.is_expired():
            await self._sleep(retry_backoff.next_delay())
            command, _, _ = await self._execute(claim, claim_key, command)

    async def _remove_late_records(self, claim: claims.Claim,
                                   claim_key: str) -> None:
        """Deletes records that late writes of an abandoned claim left."""
        retry_backoff = backoff.Backoff(self._clock, SETTLE_TIMEOUT)
        while not retry_backoff.is_expired():
            await self._sleep(retry_backoff.next_delay())
            command = claim.clean()
            while command is not None:
                command, _, _ = await self._execute(claim, claim_key, command)

    async def _execute(
        self, claim: claims.Claim, claim_key: str, command: _NextCommand
    ) -> tuple[_NextCommand, bool, datetime.timedelta | None]:
        """Carries out a command and reports its result to the claim.

        Returns:
            The next command, whether the call failed, and the delay that the
            service requested, if any.
        """
        try:
            return await self._call_service(claim, claim_key,
                                            command), False, None
        except errors.ConflictError:
            return claim.conflicted(), False, None
        except errors.UncertainWriteError:
            return claim.uncertain(), True, None
        except errors.RateLimitedError as error:
            return claim.unavailable(), True, error.retry_after
        except errors.KeyValueError:
            return claim.unavailable(), True, None

    async def _call_service(self, claim: claims.Claim, claim_key: str,
                            command: _NextCommand) -> _NextCommand:
        if isinstance(command, claims.Read):
            return await self._read(claim, claim_key)
        if isinstance(command, claims.Delete):
            await self._service.delete(
                claim_key, expected_revision=command.expected_revision)
            return claim.written(0)
        if isinstance(command, claims.Replace):
            revision = await self._put(claim_key, command.record,
                                       command.expected_revision)
            return claim.written(revision)
        assert command is not None
        revision = await self._put(claim_key, command.record, 0)
        return claim.written(revision)

    async def _put(self, claim_key: str, record: claims.ClaimRecord,
                   expected_revision: int) -> int:
        lease_id = await self._get_lease_id()
        try:
            return await self._service.put(claim_key,
                                           record.to_json(),
                                           expected_revision=expected_revision,
                                           lease_id=lease_id)
        except errors.LeaseLostError:
            self._hourly_lease.discard(lease_id)
            raise

    async def _get_lease_id(self) -> str:
        try:
            return await self._hourly_lease.get_id()
        except errors.UncertainWriteError as error:
            raise errors.UnavailableError(
                "No lease could be granted for claims.",
                "Send the request again later.") from error

    async def _read(self, claim: claims.Claim, claim_key: str) -> _NextCommand:
        value = await self._service.get(claim_key)
        if value is None:
            return claim.read(None, 0)
        try:
            record = claims.ClaimRecord.from_json(value.value)
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError(
                f"The claim record at key {claim_key} can't be decoded.",
                "Remove the key with the platform's tool.") from error
        return claim.read(record, value.revision)

    async def _sleep(self, delay: datetime.timedelta) -> None:
        await task.deferLater(self._timer, delay.total_seconds())


def make_claim_key(organisation: str, key: str) -> str:
    """Returns the key of a claim in the key-value service."""
    name = f"{len(organisation)}:{organisation}{key}"
    digest = hashlib.sha256(name.encode("utf-8", "surrogatepass"))
    return KEY_PREFIX + digest.hexdigest()


def _make_unavailable(wait: datetime.timedelta) -> claims.ClaimResult:
    return claims.ClaimResult(claims.ClaimVerdict.UNAVAILABLE, retry_after=wait)
