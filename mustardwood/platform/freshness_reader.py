"""Asks for newer configurations to prove that the present one is the newest."""

import collections.abc
import datetime
import math
import random

import msgspec
from twisted.internet import defer
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import timing
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher

_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval at which the proof's age is checked.

It is half the interval at which peers send updates.
"""
_MIN_READ_AGE = datetime.timedelta(milliseconds=600)
"""Age of the newest proof below which the configuration is not read again.

Removed keys must be refused after five seconds; with this age, a store outage
of four seconds can be tolerated.
"""
_AGE_SPREAD_PER_PEER = datetime.timedelta(milliseconds=150)
"""Spread per peer of the random ages at which VMs read.

A VM learns of another VM's read within two checks. With this spread, few other
VMs read in the meantime, whatever their number; the deployment makes about two
reads per second.
"""
_MAX_AGE_SPREAD = datetime.timedelta(seconds=2)
"""Maximum spread of the ages.

It limits the age of the newest proof, so that the remaining time is enough to
tolerate a store outage.
"""

_NO_WAIT = datetime.timedelta(milliseconds=1)
"""Wait of a watch that is answered at once."""


class FreshnessReader:
    """Renews the freshness proof, with few reads for all VMs together.

    Load pattern: during a store outage, each request with an API key must be
    refused once the newest proof is too old. A watch proves freshness only for
    the time at which it was sent, so a short read gives a newer proof. Each VM
    reads when the proof reaches a random age, which is drawn again after each
    new proof. The other VMs receive the proof with the peers' updates, so the
    number of reads does not grow with the number of VMs.

    The ages are those of exponentially weighted timers [1]_.

    References:
        .. [1] J. Nonnenmacher and E. Biersack, "Scalable feedback for large
           groups", IEEE/ACM Transactions on Networking 7(3), 1999.
    """

    def __init__(self, client: store_client.StoreClient, clock: timing.Clock,
                 scheduler: dispatch.Scheduler, proof: dispatch.FreshnessProof,
                 watcher: store_watcher.StoreWatcher,
                 count_peers: collections.abc.Callable[[], int],
                 journal: dispatch.Journal, rng: random.Random) -> None:
        """Creates a reader; `start` starts it.

        Args:
            client: Calls the store.
            clock: Its monotonic time must include the time of suspensions.
            scheduler: Schedules the checks.
            proof: Holds the newest proof.
            watcher: Receives the configuration that was read.
            count_peers: Returns the number of peers whose updates arrive.
            journal: Logs failed reads.
            rng: Draws the ages at which to read.
        """
        self._client = client
        self._clock = clock
        self._scheduler = scheduler
        self._proof = proof
        self._watcher = watcher
        self._count_peers = count_peers
        self._journal = journal
        self._rng = rng
        self._is_reading = False
        self._proof_read_at: datetime.timedelta | None = None
        self._read_age = self._draw_age()

    def start(self) -> None:
        """Starts to check the proof's age."""
        self._scheduler.call_later(_CHECK_INTERVAL, self._check_proof)

    def _check_proof(self) -> None:
        age = self._proof.get_age()
        if not self._watcher.shows_newest:
            # The VMs' reads are spread anew for when they prove something.
            self._read_age = ((age or datetime.timedelta()) + self._draw_age() -
                              _MIN_READ_AGE)
        elif age is not None and self._is_new(age):
            self._read_age = self._draw_age()
        elif ((age is None or age >= self._read_age) and
              self._watcher.is_connected and not self._is_reading):
            self._is_reading = True
            defer.Deferred.fromCoroutine(self._read()).addErrback(
                self._log_error)
        self._scheduler.call_later(_CHECK_INTERVAL, self._check_proof)

    def _is_new(self, age: datetime.timedelta) -> bool:
        """Returns whether the proof is newer than at the last check.

        In large deployments, proofs of peers may be older than the minimum age
        when they are received.
        """
        read_at = self._clock.monotonic() - age
        is_new = self._proof_read_at is None or read_at > self._proof_read_at
        self._proof_read_at = read_at
        return is_new

    def _log_error(self, reason: failure.Failure) -> None:
        """Logs an unexpected error; the next check reads again."""
        self._journal.write("error",
                            part="currency_reader",
                            error=reason.getErrorMessage(),
                            traceback=reason.getTraceback())

    def _draw_age(self) -> datetime.timedelta:
        """Returns a random age, of which larger ones are more probable.

        The probability grows exponentially with the age, the faster the more
        VMs there are. So few VMs read before they learn of the first read,
        also if that takes a large part of the spread.
        """
        peers = self._count_peers()
        spread = min(_AGE_SPREAD_PER_PEER * peers, _MAX_AGE_SPREAD)
        growth = 1.0 + math.log(peers + 1)
        share = math.log1p(self._rng.random() * math.expm1(growth)) / growth
        return _MIN_READ_AGE + spread * share

    async def _read(self) -> None:
        requested_at = self._clock.monotonic()
        try:
            items, position = await self._read_changes()
        except (errors.KeyValueError, msgspec.MsgspecError) as error:
            # The watch determines whether the store is unavailable.
            self._journal.write("proof_failed", error=str(error))
            return
        finally:
            self._is_reading = False
        for each in items:
            self._watcher.apply_configuration(each)
        self._watcher.record_proof(requested_at, position.era)

    async def _read_changes(
            self) -> tuple[list[store_client.Item], store_client.Position]:
        """Returns the changes of the configuration, or all of it.

        The configuration may be long, and usually it has not changed.
        """
        known = self._watcher.position
        if known.revision:
            try:
                return await self._client.watch(store_watcher.CONFIGURATION_KEY,
                                                known, _NO_WAIT,
                                                self._watcher.max_history_bytes)
            except store_client.HistoryLostError:
                # It is read whole.
                pass
        item, position = await self._client.read_key(
            store_watcher.CONFIGURATION_KEY)
        return [] if item is None else [item], position
