"""Requests that crash endpoints."""

import collections.abc
import datetime

from mustardwood import messages

CONVICTION_TIME = datetime.timedelta(hours=1)
"""How long a convicted fingerprint may not run."""

SUSPECT_TIME = datetime.timedelta(minutes=10)
"""How long a fingerprint stays suspected after a crash."""

SAME_CRASH = datetime.timedelta(seconds=5)
"""Reports of one endpoint within this time tell of the same crash."""

_CRASHES_TO_CONVICT = 2


class ConvictionBoard:
    """Counts the crashes that each fingerprint was in flight at.

    A fingerprint is suspected after one crash and convicted after the second.
    Several entries may report the same crash of an endpoint; it counts once.
    """

    def __init__(self) -> None:
        self._reports: dict[str, datetime.datetime] = {}
        self._crashes: dict[str, list[tuple[str, datetime.datetime]]] = {}
        self._convictions: dict[str, messages.RequestBlock] = {}

    def accept_suspicion(
            self, suspicion: messages.CrashReport,
            now: datetime.datetime) -> tuple[messages.RequestBlock, ...] | None:
        """Takes a report of a crash.

        Args:
            suspicion: The report.
            now: Wall-clock time.

        Returns:
            The convictions that follow, or None when the report is a repeat.
        """
        self.drop_old(now)
        if suspicion.crash_id in self._reports:
            return None
        self._reports[suspicion.crash_id] = now
        fresh = [
            self._count_crash(each, suspicion.endpoint, now)
            for each in suspicion.fingerprints
        ]
        return tuple(each for each in fresh if each is not None)

    def accept_convictions(
            self, heard: collections.abc.Iterable[messages.RequestBlock],
            now: datetime.datetime) -> tuple[messages.RequestBlock, ...]:
        """Takes convictions of another VM or of the platform.

        Returns:
            Those that were not known.
        """
        fresh = [
            each for each in heard
            if each.until > now and each.fingerprint not in self._convictions
        ]
        for each in fresh:
            self._convictions[each.fingerprint] = each
        return tuple(fresh)

    def convictions(self) -> tuple[messages.RequestBlock, ...]:
        """Returns all convictions in force."""
        return tuple(self._convictions.values())

    def suspects(self) -> tuple[str, ...]:
        """Returns the fingerprints that are suspected, not convicted."""
        return tuple(
            each for each in self._crashes if each not in self._convictions)

    def drop_old(self, now: datetime.datetime) -> bool:
        """Forgets what has ended; returns whether anything did."""
        before = (len(self._crashes), len(self._convictions))
        oldest = now - SUSPECT_TIME
        self._reports = {
            key: at for key, at in self._reports.items() if at > oldest
        }
        self._crashes = {
            key: crashes
            for key, crashes in self._crashes.items()
            if crashes[-1][1] > oldest
        }
        self._convictions = {
            key: each
            for key, each in self._convictions.items()
            if each.until > now
        }
        return before != (len(self._crashes), len(self._convictions))

    def _count_crash(self, fingerprint: str, endpoint: str,
                     now: datetime.datetime) -> messages.RequestBlock | None:
        crashes = self._crashes.setdefault(fingerprint, [])
        if any(name == endpoint and now - at < SAME_CRASH
               for name, at in crashes):
            return None
        crashes.append((endpoint, now))
        known = fingerprint in self._convictions
        if known or len(crashes) < _CRASHES_TO_CONVICT:
            return None
        names = tuple(dict.fromkeys(name for name, _ in crashes))
        conviction = messages.RequestBlock(fingerprint, now + CONVICTION_TIME,
                                           names)
        self._convictions[fingerprint] = conviction
        return conviction
