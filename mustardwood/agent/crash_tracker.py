"""Detection of requests that crash endpoints."""

import collections.abc
import datetime

from mustardwood import messages

BLOCK_DURATION = datetime.timedelta(hours=1)
"""How long requests with a blocked fingerprint are refused."""

SUSPICION_DURATION = datetime.timedelta(minutes=10)
"""How long a fingerprint stays suspected after its last crash."""

SAME_CRASH_WINDOW = datetime.timedelta(seconds=5)
"""Reports about one endpoint within this time are of the same crash."""

_CRASHES_BEFORE_BLOCK = 2


class CrashTracker:
    """Counts the endpoint crashes at which each request was in flight.

    A request is identified by its fingerprint. A fingerprint is suspected
    after one crash and blocked after the second. Several entries may report
    the same crash of an endpoint; it is counted once.
    """

    def __init__(self) -> None:
        self._reports: dict[str, datetime.datetime] = {}
        self._crashes: dict[str, list[tuple[str, datetime.datetime]]] = {}
        self._blocks: dict[str, messages.RequestBlock] = {}

    def handle_crash_report(
            self, report: messages.CrashReport,
            now: datetime.datetime) -> tuple[messages.RequestBlock, ...] | None:
        """Records a crash.

        Args:
            report: The crashed endpoint and the requests in flight there.
            now: Current wall-clock time.

        Returns:
            The resulting new blocks; None when the report was received before.
        """
        self.remove_expired(now)
        if report.crash_id in self._reports:
            return None
        self._reports[report.crash_id] = now
        new_blocks = [
            self._record_crash(each, report.endpoint, now)
            for each in report.fingerprints
        ]
        return tuple(each for each in new_blocks if each is not None)

    def add_blocks(self,
                   blocks: collections.abc.Iterable[messages.RequestBlock],
                   now: datetime.datetime) -> tuple[messages.RequestBlock, ...]:
        """Adds blocks that came from another VM or from the platform.

        Args:
            blocks: The blocks; expired and known ones are ignored.
            now: Current wall-clock time.

        Returns:
            The blocks that were added.
        """
        new_blocks = [
            each for each in blocks
            if each.until > now and each.fingerprint not in self._blocks
        ]
        for each in new_blocks:
            self._blocks[each.fingerprint] = each
        return tuple(new_blocks)

    def list_blocks(self) -> tuple[messages.RequestBlock, ...]:
        """Returns all blocks in force."""
        return tuple(self._blocks.values())

    def list_suspects(self) -> tuple[str, ...]:
        """Returns the fingerprints that are suspected but not blocked."""
        return tuple(each for each in self._crashes if each not in self._blocks)

    def remove_expired(self, now: datetime.datetime) -> bool:
        """Removes expired data; returns whether suspects or blocks changed."""
        counts_before = (len(self._crashes), len(self._blocks))
        cutoff = now - SUSPICION_DURATION
        self._reports = {
            key: at for key, at in self._reports.items() if at > cutoff
        }
        self._crashes = {
            key: crashes
            for key, crashes in self._crashes.items()
            if crashes[-1][1] > cutoff
        }
        self._blocks = {
            key: each for key, each in self._blocks.items() if each.until > now
        }
        return counts_before != (len(self._crashes), len(self._blocks))

    def _record_crash(self, fingerprint: str, endpoint: str,
                      now: datetime.datetime) -> messages.RequestBlock | None:
        crashes = self._crashes.setdefault(fingerprint, [])
        if any(name == endpoint and now - at < SAME_CRASH_WINDOW
               for name, at in crashes):
            return None
        crashes.append((endpoint, now))
        known = fingerprint in self._blocks
        if known or len(crashes) < _CRASHES_BEFORE_BLOCK:
            return None
        names = tuple(dict.fromkeys(name for name, _ in crashes))
        block = messages.RequestBlock(fingerprint, now + BLOCK_DURATION, names)
        self._blocks[fingerprint] = block
        return block
