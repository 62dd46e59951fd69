"""Requests that crash endpoints."""

import datetime

from mustardwood import messages
from mustardwood import timing

CONVICTION_DURATION = datetime.timedelta(minutes=10)
"""How long a convicted request is refused."""

_CRASH_WINDOW = datetime.timedelta(seconds=2)
"""Connections lost within this time at one endpoint are one crash."""

_SUSPECT_DURATION = datetime.timedelta(minutes=10)
"""How long a request stays suspect after a crash."""


class PoisonDetector:
    """Counts what was in flight at crashes of endpoints.

    Everything in flight at a crash becomes suspect. A request is convicted
    by a later crash at which it was the only suspect in flight.
    """

    def __init__(self, clock: timing.Clock, entry: str) -> None:
        self._clock = clock
        self._entry = entry
        self._in_flight: dict[str, dict[str, str]] = {}
        self._suspects: dict[str, datetime.timedelta] = {}
        self._last_crash_at: dict[str, datetime.timedelta] = {}
        self._convictions: dict[str, datetime.datetime] = {}
        self._fleet_suspects: frozenset[str] = frozenset()
        self._sequence = 0

    def apply_view(self, view: messages.View) -> None:
        """Takes over the fleet's suspects and convictions."""
        self._fleet_suspects = frozenset(view.suspects)
        for each in view.convictions:
            self._convict(each.fingerprint, each.until)

    def add_attempt(self, endpoint: str, attempt_id: str,
                    fingerprint: str) -> None:
        """Records that an attempt is in flight at an endpoint."""
        self._in_flight.setdefault(endpoint, {})[attempt_id] = fingerprint

    def remove_attempt(self, endpoint: str, attempt_id: str) -> None:
        """Records the end of an attempt."""
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

    def list_endpoints_running_suspects(self,
                                        now: datetime.timedelta) -> list[str]:
        """Returns the endpoints on which a suspect runs."""
        return [
            endpoint for endpoint, running in self._in_flight.items() if any(
                self.is_suspect(each, now) for each in running.values())
        ]

    def find_conviction(self, fingerprint: str) -> datetime.timedelta | None:
        """Returns the remaining of a request's conviction; None without one."""
        until = self._convictions.get(fingerprint)
        if until is None:
            return None
        remaining = until - self._clock.now()
        if remaining <= datetime.timedelta():
            del self._convictions[fingerprint]
            return None
        return remaining

    def record_crash(
        self, endpoint: str, now: datetime.timedelta
    ) -> tuple[messages.Suspicion | messages.ConvictionNotice, ...]:
        """Records that a connection was lost in mid-answer.

        Call it before `remove_attempt` of the lost attempt.

        Args:
            endpoint: Name of the endpoint.
            now: Monotonic time.

        Returns:
            The suspicion for the agents, and a conviction where there is
            one; nothing when the crash is known already.
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
        suspicion = messages.Suspicion(endpoint, crash_id, tuple(in_flight))
        if len(suspects) != 1:
            return (suspicion,)
        until = self._clock.now() + CONVICTION_DURATION
        self._convict(suspects[0], until)
        conviction = messages.Conviction(suspects[0], until, (endpoint,))
        return suspicion, messages.ConvictionNotice((conviction,))

    def _convict(self, fingerprint: str, until: datetime.datetime) -> None:
        present = self._convictions.get(fingerprint, until)
        self._convictions[fingerprint] = max(present, until)

    def _remove_expired(self, now: datetime.timedelta) -> None:
        for known in (self._last_crash_at, self._suspects):
            old = [
                key for key, time in known.items()
                if now - time > _SUSPECT_DURATION
            ]
            for key in old:
                del known[key]
