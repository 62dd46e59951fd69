"""Detection of poison requests, which crash endpoints."""

import datetime

from mustardwood import messages
from mustardwood import timing

BLOCK_DURATION = datetime.timedelta(minutes=10)
"""Time for which a request found to crash endpoints is refused."""

_CRASH_WINDOW = datetime.timedelta(seconds=2)
"""Connections to one endpoint lost within this time count as one crash."""

_SUSPECT_DURATION = datetime.timedelta(minutes=10)
"""Time for which a request stays suspect after a crash."""


class PoisonDetector:
    """Finds poison requests from what was in flight when endpoints crashed.

    All requests in flight at a crash become suspect. A suspect is blocked after
    a later crash at which it was the only suspect in flight. The fields and
    tags of messages call a block a conviction. Requests are identified by
    fingerprint.

    Args:
        clock: Source of the wall-clock time.
        entry: Name of the entry's VM, which makes crash ids unique.
    """

    def __init__(self, clock: timing.Clock, entry: str) -> None:
        self._clock = clock
        self._entry = entry
        self._in_flight: dict[str, dict[str, str]] = {}
        self._suspects: dict[str, datetime.timedelta] = {}
        self._last_crash_at: dict[str, datetime.timedelta] = {}
        self._blocked_until: dict[str, datetime.datetime] = {}
        self._fleet_suspects: frozenset[str] = frozenset()
        self._sequence = 0

    def apply_view(self, view: messages.View) -> None:
        """Applies the suspects and blocks that a view of the fleet holds."""
        self._fleet_suspects = frozenset(view.suspects)
        for each in view.convictions:
            self._block(each.fingerprint, each.until)

    def add_attempt(self, endpoint: str, attempt_id: str,
                    fingerprint: str) -> None:
        """Records that an attempt is in flight at an endpoint."""
        self._in_flight.setdefault(endpoint, {})[attempt_id] = fingerprint

    def remove_attempt(self, endpoint: str, attempt_id: str) -> None:
        """Records that an attempt has ended."""
        running = self._in_flight.get(endpoint, {})
        running.pop(attempt_id, None)
        if not running:
            self._in_flight.pop(endpoint, None)

    def is_suspect(self, fingerprint: str, now: datetime.timedelta) -> bool:
        """Returns whether a request was in flight at a recent crash."""
        if fingerprint in self._fleet_suspects:
            return True
        since = self._suspects.get(fingerprint)
        return since is not None and now - since < _SUSPECT_DURATION

    def list_suspect_endpoints(self, now: datetime.timedelta) -> list[str]:
        """Returns the names of the endpoints that run a suspect request."""
        return [
            endpoint for endpoint, running in self._in_flight.items() if any(
                self.is_suspect(each, now) for each in running.values())
        ]

    def find_remaining_block(self,
                             fingerprint: str) -> datetime.timedelta | None:
        """Returns how long a request stays blocked; None if it is not."""
        until = self._blocked_until.get(fingerprint)
        if until is None:
            return None
        remaining = until - self._clock.now()
        if remaining <= datetime.timedelta():
            del self._blocked_until[fingerprint]
            return None
        return remaining

    def record_crash(
        self, endpoint: str, now: datetime.timedelta
    ) -> tuple[messages.CrashReport | messages.RequestBlockNotice, ...]:
        """Records the loss of a connection before the response was complete.

        Call this before `remove_attempt` for the lost attempt, which must still
        count as in flight.

        Args:
            endpoint: Name of the endpoint.
            now: Monotonic time.

        Returns:
            The messages for the agents: a crash report, and a block notice if a
            request was blocked. Empty if the crash was recorded already.
        """
        last = self._last_crash_at.get(endpoint)
        if last is not None and now - last < _CRASH_WINDOW:
            return ()
        self._remove_expired(now)
        self._last_crash_at[endpoint] = now
        in_flight = sorted(set(self._in_flight.get(endpoint, {}).values()))
        suspects = [each for each in in_flight if self.is_suspect(each, now)]
        for each in in_flight:
            self._suspects[each] = now
        self._sequence += 1
        crash_id = f"{self._entry}/{self._sequence}/{now.total_seconds():.3f}"
        report = messages.CrashReport(endpoint, crash_id, tuple(in_flight))
        if len(suspects) != 1:
            return (report,)
        until = self._clock.now() + BLOCK_DURATION
        self._block(suspects[0], until)
        block = messages.RequestBlock(suspects[0], until, (endpoint,))
        return report, messages.RequestBlockNotice((block,))

    def _block(self, fingerprint: str, until: datetime.datetime) -> None:
        present = self._blocked_until.get(fingerprint, until)
        self._blocked_until[fingerprint] = max(present, until)

    def _remove_expired(self, now: datetime.timedelta) -> None:
        for known in (self._last_crash_at, self._suspects):
            old = [
                key for key, time in known.items()
                if now - time > _SUSPECT_DURATION
            ]
            for key in old:
                del known[key]
