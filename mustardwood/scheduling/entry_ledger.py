"""Which entry holds which work."""

import dataclasses
import datetime

from mustardwood import messages
from mustardwood.scheduling import waiting_request

ENTRY_TIMEOUT = datetime.timedelta(seconds=3)
"""Time without heartbeat after which an entry's work is forgotten."""
_GRACE = datetime.timedelta(seconds=1)
"""How long new work may be missing from heartbeats."""


@dataclasses.dataclass
class _Account:
    """What is known of one entry.

    Attributes:
        heard_at: When its last heartbeat came, or the first ask.
        sequence: Sequence number of its last heartbeat.
        work: Its waiting and running attempts, with the time of the last
            change.
    """

    heard_at: datetime.timedelta
    sequence: int = -1
    work: dict[waiting_request.AttemptKey,
               datetime.timedelta] = dataclasses.field(default_factory=dict)


class EntryLedger:
    """Keeps the attempts of each entry and the time of its heartbeat."""

    def __init__(self) -> None:
        self._accounts: dict[messages.Peer, _Account] = {}

    def __len__(self) -> int:
        return len(self._accounts)

    def accept_heartbeat(self, sender: messages.Peer, sequence: int,
                         now: datetime.timedelta) -> bool:
        """Returns whether a heartbeat is newer than the last one."""
        account = self._accounts.setdefault(sender, _Account(now))
        if sequence <= account.sequence:
            return False
        account.sequence = sequence
        account.heard_at = now
        return True

    def has_heartbeat(self, sender: messages.Peer) -> bool:
        """Returns whether a heartbeat of an entry has come."""
        account = self._accounts.get(sender)
        return account is not None and account.sequence >= 0

    def record_work(self, sender: messages.Peer,
                    key: waiting_request.AttemptKey,
                    now: datetime.timedelta) -> None:
        """Notes that an entry holds an attempt."""
        account = self._accounts.setdefault(sender, _Account(now))
        if not account.work:
            account.heard_at = now
        account.work[key] = now

    def end_work(self, sender: messages.Peer,
                 key: waiting_request.AttemptKey) -> None:
        """Notes that an attempt is over."""
        account = self._accounts.get(sender)
        if account is not None:
            account.work.pop(key, None)

    def find_missing(
            self, sender: messages.Peer,
            listed: set[waiting_request.AttemptKey],
            now: datetime.timedelta) -> list[waiting_request.AttemptKey]:
        """Returns work that a complete heartbeat does not list."""
        work = self._accounts[sender].work
        return [
            key for key, changed_at in work.items()
            if key not in listed and now - changed_at > _GRACE
        ]

    def find_silent(self, now: datetime.timedelta) -> list[messages.Peer]:
        """Returns the entries whose work must be forgotten."""
        return [
            sender for sender, account in self._accounts.items()
            if now - account.heard_at > ENTRY_TIMEOUT
        ]

    def forget(self, sender: messages.Peer) -> list[waiting_request.AttemptKey]:
        """Forgets an entry and returns its work."""
        account = self._accounts.pop(sender, None)
        return list(account.work) if account is not None else []
