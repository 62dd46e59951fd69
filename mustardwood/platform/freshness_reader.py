"""Reads the configuration again, to prove that it is the newest one."""

import collections.abc
import datetime
import random

import msgspec
from twisted.internet import defer
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import timing
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher

_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval of looks at the proof's age: half of that of peers' news."""
_LEAST_AGE = datetime.timedelta(milliseconds=600)
"""Age of the newest proof below which nothing is read.

It leaves four of the five seconds in which a removed key must die to an outage
of the store.
"""
_AGE_A_PEER = datetime.timedelta(milliseconds=150)
"""Spread of the ages at which VMs read, for each peer.

A VM hears of another's read within two looks, so that few others read in that
time, whatever their number; the fleet makes about two reads a second.
"""
_MOST_SPREAD = datetime.timedelta(seconds=2)
"""Bound on the spread, so that a proof stays younger than the outages that are
to be borne."""


class FreshnessReader:
    """Keeps the proof of currency young, with one reader for many VMs.

    Load pattern: the store goes away, and each request with a key must be
    refused once the newest proof is too old. A watch proves only what held when
    it was asked for, so a short read proves more. Each VM reads at an age that
    it draws anew, and the others learn of the proof by news; so the number of
    reads does not grow with the VMs.
    """

    def __init__(self, client: store_client.StoreClient, clock: timing.Clock,
                 scheduler: dispatch.Scheduler, proof: dispatch.FreshnessProof,
                 follower: store_watcher.StoreWatcher,
                 count_peers: collections.abc.Callable[[], int],
                 journal: dispatch.Journal, rng: random.Random) -> None:
        """Creates a reader; `start` begins.

        Args:
            client: Calls the store.
            clock: Its monotonic time counts suspension.
            scheduler: Delays looks.
            proof: Tells the age of the newest proof and gets new ones.
            follower: Gets the configuration.
            count_peers: Returns the number of peers that are heard.
            journal: Gets a line for each failed read.
            rng: Draws the ages.
        """
        self._client = client
        self._clock = clock
        self._scheduler = scheduler
        self._proof = proof
        self._follower = follower
        self._count_peers = count_peers
        self._journal = journal
        self._rng = rng
        self._is_reading = False
        self._read_age = self._draw_age()

    def start(self) -> None:
        """Begins to look."""
        self._scheduler.call_later(_INTERVAL, self._look)

    def _look(self) -> None:
        age = self._proof.get_age()
        if age is not None and age < _LEAST_AGE:
            self._read_age = self._draw_age()
        elif (age is not None and age >= self._read_age and
              self._follower.is_connected and not self._is_reading):
            self._is_reading = True
            defer.Deferred.fromCoroutine(self._read()).addErrback(self._report)
        self._scheduler.call_later(_INTERVAL, self._look)

    def _report(self, reason: failure.Failure) -> None:
        """Logs an error that nobody foresaw; the next look reads again."""
        self._journal.write("error",
                            part="currency_reader",
                            error=reason.getErrorMessage(),
                            traceback=reason.getTraceback())

    def _draw_age(self) -> datetime.timedelta:
        spread = min(_AGE_A_PEER * self._count_peers(), _MOST_SPREAD)
        return _LEAST_AGE + spread * self._rng.random()

    async def _read(self) -> None:
        asked = self._clock.monotonic()
        try:
            item, _ = await self._client.read_key(
                store_watcher.CONFIGURATION_KEY)
        except (errors.KeyValueError, msgspec.MsgspecError) as error:
            # The watch finds out whether the store is lost.
            self._journal.write("proof_failed", error=str(error))
            return
        finally:
            self._is_reading = False
        if item is not None:
            self._follower.apply_configuration(item)
        self._proof.record(asked)
