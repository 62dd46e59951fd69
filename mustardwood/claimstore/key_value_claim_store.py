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

_Next = claims.Command | None

KEY_PREFIX = "mustardwood/claims/"
"""Prefix of all claims' keys."""

DEFAULT_TIME_LIMIT = datetime.timedelta(minutes=10)
"""Time from the claim to the deadline of its request, unless given."""

CLOCK_SKEW = datetime.timedelta(seconds=5)
"""Added to the stored deadline for unequal wall clocks of VMs."""

ACQUIRE_TIMEOUT = datetime.timedelta(seconds=2)
"""Time after which an unresolved claim is given up."""

SETTLE_TIMEOUT = datetime.timedelta(minutes=10)
"""Time for which the end of a claim is written again, and for which a late
effect of an abandoned write is looked for."""

WRITES_PER_CLAIM = 2
"""Writes of a claimed request: the claim and its end."""


class KeyValueClaimStore:
    """Drives `Claim`s over the key-value service.

    Implements `ClaimStore`. A claimed request costs two writes. Claims are
    removed by the service 24 to 25 hours after they were made.
    """

    def __init__(self, service: keyvalue.KeyValueService, clock: timing.Clock,
                 vm: str, limit: write_rate_limiter.WriteRateLimiter,
                 timer: interfaces.IReactorTime) -> None:
        self._service = service
        self._clock = clock
        self._vm = vm
        self._limit = limit
        self._timer = timer
        self._lease = hourly_lease.HourlyLease(service, clock)
        self._held: dict[str, tuple[str, claims.Claim]] = {}

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
        """Makes a store.

        Args:
            service: The key-value service.
            clock: The clock.
            vm: Name of this VM.
            limit: Limit on writes; by default `write_rate_limiter`'s.
            timer: Delays retries; by default the reactor.
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
        """Asks for the claim of a request; see `ClaimStore.acquire`.

        Args:
            organisation: The caller's organisation.
            key: The caller's Idempotency-Key.
            fingerprint: Digest of the request.
            attempt_id: Unique id of this attempt.
            time_limit: Time until the request's deadline. The attempt must not
                be sent later than that.
        """
        wait = self._limit.take(WRITES_PER_CLAIM, self._clock.monotonic())
        if wait:
            return _refuse(wait)
        claim = claims.Claim(
            claims.ClaimRecord(attempt_id=attempt_id,
                               holder=self._vm,
                               fingerprint=fingerprint,
                               deadline=self._clock.now() + time_limit +
                               CLOCK_SKEW))
        path = make_path(organisation, key)
        age = stopwatch.Stopwatch(self._clock)
        asked = await self._acquire(claim, path)
        if claim.is_held and age.elapsed() >= hourly_lease.LEASE_SHARING_TIME:
            await self._finish(claim, path, claim.release())
        return self._conclude(claim, path, attempt_id, asked)

    async def complete(self, attempt_id: str,
                       answer: claims.StoredResponse) -> None:
        """Stores the answer of a held claim; see `ClaimStore.complete`.

        It returns after the first call to the service, and goes on in the
        background when that failed. It does nothing when the attempt holds no
        claim; the same holds for `mark_unknown` and `release`.
        """
        held = self._held.pop(attempt_id, None)
        if held is not None:
            path, claim = held
            await self._finish(claim, path, claim.complete(answer))

    async def mark_unknown(self, attempt_id: str) -> None:
        """Records a lost outcome; see `ClaimStore.mark_unknown`."""
        held = self._held.pop(attempt_id, None)
        if held is not None:
            path, claim = held
            await self._finish(claim, path, claim.mark_unknown())

    async def release(self, attempt_id: str) -> None:
        """Deletes a held claim; see `ClaimStore.release`."""
        held = self._held.pop(attempt_id, None)
        if held is not None:
            path, claim = held
            await self._finish(claim, path, claim.release())

    async def _acquire(self, claim: claims.Claim,
                       path: str) -> datetime.timedelta | None:
        """Runs a claim to its verdict; returns a delay asked by the service."""
        attempts = backoff.Backoff(self._clock, ACQUIRE_TIMEOUT)
        asked: datetime.timedelta | None = None
        command = claim.start()
        while command is not None:
            if attempts.is_over():
                claim.give_up()
                return asked
            command, failed, delay = await self._run(claim, path, command)
            asked = delay or asked
            repeated = isinstance(command, claims.Create)
            if command is not None and (failed or repeated):
                await self._sleep(attempts.next_delay())
        return asked

    def _conclude(self, claim: claims.Claim, path: str, attempt_id: str,
                  asked: datetime.timedelta | None) -> claims.ClaimResult:
        if claim.is_held:
            self._held[attempt_id] = (path, claim)
        if claim.is_abandoned:
            defer.ensureDeferred(self._clean(claim, path))
        answer = claim.judge(self._clock.now())
        if answer.verdict is claims.ClaimVerdict.UNAVAILABLE:
            return _refuse(asked or claims.DEFAULT_RETRY_AFTER)
        return answer

    async def _finish(self, claim: claims.Claim, path: str,
                      command: _Next) -> None:
        """Runs the first call, and goes on in the background if it failed."""
        command, _, _ = await self._run(claim, path, command)
        if command is not None:
            defer.ensureDeferred(self._retry(claim, path, command))

    async def _retry(self, claim: claims.Claim, path: str,
                     command: _Next) -> None:
        attempts = backoff.Backoff(self._clock, SETTLE_TIMEOUT)
        while command is not None and not attempts.is_over():
            await self._sleep(attempts.next_delay())
            command, _, _ = await self._run(claim, path, command)

    async def _clean(self, claim: claims.Claim, path: str) -> None:
        """Deletes records that an abandoned write left behind."""
        attempts = backoff.Backoff(self._clock, SETTLE_TIMEOUT)
        while not attempts.is_over():
            await self._sleep(attempts.next_delay())
            command = claim.clean()
            while command is not None:
                command, _, _ = await self._run(claim, path, command)

    async def _run(
            self, claim: claims.Claim, path: str,
            command: _Next) -> tuple[_Next, bool, datetime.timedelta | None]:
        """Carries out a command and tells the claim what came of it.

        Returns:
            The next command, whether the call failed, and the delay that the
            service asked for.
        """
        try:
            return await self._call(claim, path, command), False, None
        except errors.ConflictError:
            return claim.conflicted(), False, None
        except errors.UncertainWriteError:
            return claim.uncertain(), True, None
        except errors.RateLimitedError as error:
            return claim.unavailable(), True, error.retry_after
        except errors.KeyValueError:
            return claim.unavailable(), True, None

    async def _call(self, claim: claims.Claim, path: str,
                    command: _Next) -> _Next:
        if isinstance(command, claims.Read):
            return await self._read(claim, path)
        if isinstance(command, claims.Delete):
            await self._service.delete(
                path, expected_revision=command.expected_revision)
            return claim.written(0)
        if isinstance(command, claims.Replace):
            revision = await self._put(path, command.record,
                                       command.expected_revision)
            return claim.written(revision)
        assert command is not None
        revision = await self._put(path, command.record, 0)
        return claim.written(revision)

    async def _put(self, path: str, record: claims.ClaimRecord,
                   expected_revision: int) -> int:
        lease_id = await self._get_lease()
        try:
            return await self._service.put(path,
                                           record.to_json(),
                                           expected_revision=expected_revision,
                                           lease_id=lease_id)
        except errors.LeaseLostError:
            self._lease.forget(lease_id)
            raise

    async def _get_lease(self) -> str:
        try:
            return await self._lease.get_id()
        except errors.UncertainWriteError as error:
            raise errors.UnavailableError(
                "No lease was granted for claims.",
                "Send the request again later.") from error

    async def _read(self, claim: claims.Claim, path: str) -> _Next:
        value = await self._service.get(path)
        if value is None:
            return claim.read(None, 0)
        try:
            record = claims.ClaimRecord.from_json(value.value)
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError(
                f"The claim {path} can't be decoded.",
                "Remove the key with the platform's tool.") from error
        return claim.read(record, value.revision)

    async def _sleep(self, delay: datetime.timedelta) -> None:
        await task.deferLater(self._timer, delay.total_seconds())


def make_path(organisation: str, key: str) -> str:
    """Returns the key of a claim in the key-value service."""
    name = f"{len(organisation)}:{organisation}{key}"
    digest = hashlib.sha256(name.encode("utf-8", "surrogatepass"))
    return KEY_PREFIX + digest.hexdigest()


def _refuse(wait: datetime.timedelta) -> claims.ClaimResult:
    return claims.ClaimResult(claims.ClaimVerdict.UNAVAILABLE, retry_after=wait)
