"""Which entry holds which work."""

import dataclasses
import datetime

from mustardwood import messages
from mustardwood.scheduling import waiting_request

ENTRY_TIMEOUT = datetime.timedelta(seconds=3)
"""Time without heartbeat after which an entry's work is forgotten."""
_HEARTBEAT_GRACE = datetime.timedelta(seconds=1)
"""How long new work may be missing from heartbeats."""


@dataclasses.dataclass
class _TrackedEntry:
    """What is known of one entry.

    Attributes:
        heard_at: When its last heartbeat came, or the first ask.
        sequence: Sequence number of its last heartbeat.
        work: Its waiting and running attempts, with the time of the last
            change.
    """

    last_heard_at: datetime.timedelta
    sequence: int = -1
    attempts: dict[waiting_request.AttemptKey,
                   datetime.timedelta] = dataclasses.field(default_factory=dict)


class EntryTracker:
    """Keeps the attempts of each entry and the time of its heartbeat."""

    def __init__(self) -> None:
        self._entries: dict[messages.Peer, _TrackedEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def accept_heartbeat(self, sender: messages.Peer, sequence: int,
                         now: datetime.timedelta) -> bool:
        """Returns whether a heartbeat is newer than the last one."""
        entry = self._entries.setdefault(sender, _TrackedEntry(now))
        if sequence <= entry.sequence:
            return False
        entry.sequence = sequence
        entry.last_heard_at = now
        return True

    def has_heartbeat(self, sender: messages.Peer) -> bool:
        """Returns whether a heartbeat of an entry has come."""
        entry = self._entries.get(sender)
        return entry is not None and entry.sequence >= 0

    def add_attempt(self, sender: messages.Peer,
                    key: waiting_request.AttemptKey,
                    now: datetime.timedelta) -> None:
        """Notes that an entry holds an attempt."""
        entry = self._entries.setdefault(sender, _TrackedEntry(now))
        if not entry.attempts:
            entry.last_heard_at = now
        entry.attempts[key] = now

    def remove_attempt(self, sender: messages.Peer,
                       key: waiting_request.AttemptKey) -> None:
        """Notes that an attempt is over."""
        entry = self._entries.get(sender)
        if entry is not None:
            entry.attempts.pop(key, None)

    def find_missing_attempts(
            self, sender: messages.Peer,
            listed: set[waiting_request.AttemptKey],
            now: datetime.timedelta) -> list[waiting_request.AttemptKey]:
        """Returns work that a complete heartbeat does not list."""
        attempts = self._entries[sender].attempts
        return [
            key for key, changed_at in attempts.items()
            if key not in listed and now - changed_at > _HEARTBEAT_GRACE
        ]

    def find_timed_out_entries(self,
                               now: datetime.timedelta) -> list[messages.Peer]:
        """Returns the entries whose work must be forgotten."""
        return [
            sender for sender, entry in self._entries.items()
            if now - entry.last_heard_at > ENTRY_TIMEOUT
        ]

    def remove_entry(self,
                     sender: messages.Peer) -> list[waiting_request.AttemptKey]:
        """Forgets an entry and returns its work."""
        entry = self._entries.pop(sender, None)
        return list(entry.attempts) if entry is not None else []
