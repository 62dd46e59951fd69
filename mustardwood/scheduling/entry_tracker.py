"""Attempts and heartbeats of each entry."""

import dataclasses
import datetime

from mustardwood import messages
from mustardwood.scheduling import waiting_request

ENTRY_TIMEOUT = datetime.timedelta(seconds=3)
"""Time without a heartbeat after which an entry's attempts are removed."""
_HEARTBEAT_GRACE = datetime.timedelta(seconds=1)
"""How long a new attempt may be missing from heartbeats.

A heartbeat that was sent before the ask may arrive after it.
"""


@dataclasses.dataclass
class _TrackedEntry:
    """Attempts and last heartbeat of one entry.

    Attributes:
        last_heard_at: When its last heartbeat arrived or, if later, when it got
            an attempt while it had none.
        sequence: Sequence number of its last heartbeat; -1 before the first.
        attempts: Its waiting and running attempts, by key, with the time at
            which each was last added.
    """

    last_heard_at: datetime.timedelta
    sequence: int = -1
    attempts: dict[waiting_request.AttemptKey,
                   datetime.timedelta] = dataclasses.field(default_factory=dict)


class EntryTracker:
    """Tracks the attempts of each entry and the time of its last heartbeat."""

    def __init__(self) -> None:
        self._entries: dict[messages.Peer, _TrackedEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def accept_heartbeat(self, sender: messages.Peer, sequence: int,
                         now: datetime.timedelta) -> bool:
        """Records a heartbeat; returns whether it is newer than the last."""
        entry = self._entries.setdefault(sender, _TrackedEntry(now))
        if sequence <= entry.sequence:
            return False
        entry.sequence = sequence
        entry.last_heard_at = now
        return True

    def has_heartbeat(self, sender: messages.Peer) -> bool:
        """Returns whether the entry has sent a heartbeat."""
        entry = self._entries.get(sender)
        return entry is not None and entry.sequence >= 0

    def add_attempt(self, sender: messages.Peer,
                    key: waiting_request.AttemptKey,
                    now: datetime.timedelta) -> None:
        """Records that an entry has a waiting or running attempt."""
        entry = self._entries.setdefault(sender, _TrackedEntry(now))
        if not entry.attempts:
            entry.last_heard_at = now
        entry.attempts[key] = now

    def remove_attempt(self, sender: messages.Peer,
                       key: waiting_request.AttemptKey) -> None:
        """Removes an attempt of an entry."""
        entry = self._entries.get(sender)
        if entry is not None:
            entry.attempts.pop(key, None)

    def find_missing_attempts(
            self, sender: messages.Peer,
            listed: set[waiting_request.AttemptKey],
            now: datetime.timedelta) -> list[waiting_request.AttemptKey]:
        """Returns the attempts of an entry that its heartbeat doesn't list.

        Attempts that were added less than `_HEARTBEAT_GRACE` ago are left out.
        """
        attempts = self._entries[sender].attempts
        return [
            key for key, changed_at in attempts.items()
            if key not in listed and now - changed_at > _HEARTBEAT_GRACE
        ]

    def find_timed_out_entries(self,
                               now: datetime.timedelta) -> list[messages.Peer]:
        """Returns the entries whose last heartbeat is too old."""
        return [
            sender for sender, entry in self._entries.items()
            if now - entry.last_heard_at > ENTRY_TIMEOUT
        ]

    def remove_entry(self,
                     sender: messages.Peer) -> list[waiting_request.AttemptKey]:
        """Removes an entry and returns the keys of its attempts."""
        entry = self._entries.pop(sender, None)
        return list(entry.attempts) if entry is not None else []
