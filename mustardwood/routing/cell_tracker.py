"""What an entry knows about the owner of one cell."""

import datetime

from mustardwood import cells
from mustardwood import messages

OWNER_TIMEOUT = datetime.timedelta(seconds=1)
"""Silence after which an owner is passed over."""

FIRST_HEARTBEAT_DELAY = datetime.timedelta(milliseconds=250)
"""Time from the first open work of a cell to its first heartbeat."""

DECLINED_OWNER_BACKOFF = datetime.timedelta(seconds=5)
"""Time for which an owner that declined a cell is not asked again."""

NO_OWNER_TIMEOUT = datetime.timedelta(seconds=2)
"""Silence of all owners after which an entry grants to itself."""

HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two messages of open work."""


class CellTracker:
    """Tracks which VM answers for a cell.

    Attributes:
        cell: The cell.
        queue_delay: Delay of its queue, from the owner's last answer.
        sequence: Number of the last heartbeat.
    """

    def __init__(self, cell: cells.Cell) -> None:
        self.cell = cell
        self.queue_delay = datetime.timedelta()
        self.sequence = 0
        self._members: tuple[messages.Member, ...] = ()
        self._demoted_vm = ""
        self._ranking_cache: tuple[messages.Member, ...] | None = ()
        self._skipped: dict[str, int] = {}
        self._declined_until: dict[str, datetime.timedelta] = {}
        self._last_retry_at: datetime.timedelta | None = None
        self._owner_unanswered_since: datetime.timedelta | None = None
        self._all_owners_unanswered_since: datetime.timedelta | None = None
        self._last_heartbeat_at: datetime.timedelta | None = None

    def update_members(self, members: tuple[messages.Member, ...]) -> None:
        """Takes over the fleet's VMs; a restarted VM is tried again."""
        if members == self._members:
            return
        self._members = members
        self._ranking_cache = None
        incarnations = {each.vm: each.incarnation for each in members}
        self._skipped = {
            vm: incarnation
            for vm, incarnation in self._skipped.items()
            if incarnations.get(vm) == incarnation
        }

    def demote_vm(self, vm: str) -> None:
        """Puts a VM behind all others; an empty name for none."""
        if vm != self._demoted_vm:
            self._demoted_vm = vm
            self._ranking_cache = None

    @property
    def _ranked(self) -> tuple[messages.Member, ...]:
        if self._ranking_cache is None:
            ranked = cells.rank_owners(self.cell.name, self.cell.region,
                                       self._members)
            self._ranking_cache = tuple(
                sorted(ranked, key=lambda each: each.vm == self._demoted_vm))
        return self._ranking_cache

    @property
    def owner(self) -> messages.Member | None:
        """The VM to ask now; None when none is left."""
        for each in self._ranked:
            if each.vm not in self._skipped:
                return each
        return None

    def is_owned_by(self, ip: str) -> bool:
        """Returns whether the VM with this address is asked now."""
        return self.owner is not None and self.owner.ip == ip

    @property
    def skipped_preferred_owner(self) -> messages.Member | None:
        """The first VM of the order, when it is passed over."""
        if not self._ranked or self._ranked[0].vm not in self._skipped:
            return None
        first = self._ranked[0]
        return None if first.vm in self._declined_until else first

    def record_sent(self, now: datetime.timedelta) -> None:
        """Records a message that the owner must answer."""
        if self._owner_unanswered_since is None:
            self._owner_unanswered_since = now
        if self._all_owners_unanswered_since is None:
            self._all_owners_unanswered_since = now

    def record_heartbeat(self, now: datetime.timedelta) -> None:
        """Records a heartbeat."""
        self.sequence += 1
        self._last_heartbeat_at = now
        self.record_sent(now)

    def record_open_work(self, now: datetime.timedelta) -> None:
        """Records that work is open; the first starts the heartbeats."""
        if self._last_heartbeat_at is None:
            self._last_heartbeat_at = now + FIRST_HEARTBEAT_DELAY - HEARTBEAT_INTERVAL

    def is_heartbeat_due(self, now: datetime.timedelta) -> bool:
        """Returns whether the next heartbeat is due."""
        return self._last_heartbeat_at is None or now >= self._last_heartbeat_at + HEARTBEAT_INTERVAL

    def record_reply(self, ip: str, queue_delay: datetime.timedelta | None,
                     now: datetime.timedelta) -> bool:
        """Records an answer of a VM.

        Args:
            ip: IP address of the VM.
            queue_delay: Delay of the queue, where the answer tells it.
            now: Monotonic time.

        Returns:
            Whether the owner is another one now.
        """
        before = self.owner
        self._expire_declined(now)
        for each in self._ranked:
            if each.ip == ip and each.vm not in self._declined_until:
                self._skipped.pop(each.vm, None)
        after = self.owner
        if after is not None and after.ip == ip:
            self._owner_unanswered_since = None
            self._all_owners_unanswered_since = None
            if queue_delay is not None:
                self.queue_delay = queue_delay
        return before != after

    def record_idle(self) -> None:
        """Records that no work is open in the cell."""
        self._owner_unanswered_since = None
        self._all_owners_unanswered_since = None
        self._last_heartbeat_at = None

    def skip_declining_owner(self, now: datetime.timedelta) -> None:
        """Passes over an owner that does not serve the cell now."""
        owner = self.skip_owner()
        if owner is not None:
            self._declined_until[owner.vm] = now + DECLINED_OWNER_BACKOFF

    def skip_owner(self) -> messages.Member | None:
        """Passes over the owner; returns it."""
        owner = self.owner
        if owner is not None:
            self._skipped[owner.vm] = owner.incarnation
        self._owner_unanswered_since = None
        self._last_heartbeat_at = None
        return owner

    def retry_all_owners(self, now: datetime.timedelta) -> bool:
        """Tries every VM again, once in a heartbeat's interval.

        Returns:
            Whether it did.
        """
        last = self._last_retry_at
        if last is not None and now - last < HEARTBEAT_INTERVAL:
            return False
        self._last_retry_at = now
        self._skipped.clear()
        self._declined_until.clear()
        return True

    def _expire_declined(self, now: datetime.timedelta) -> None:
        for vm in [
                vm for vm, end in self._declined_until.items() if end <= now
        ]:
            del self._declined_until[vm]

    def is_owner_timed_out(self, now: datetime.timedelta) -> bool:
        """Returns whether the owner has not answered in time."""
        since = self._owner_unanswered_since
        return since is not None and now - since >= OWNER_TIMEOUT

    def has_no_responsive_owner(self, now: datetime.timedelta) -> bool:
        """Returns whether nobody has answered in time."""
        since = self._all_owners_unanswered_since
        late = since is not None and now - since >= NO_OWNER_TIMEOUT
        return late or self.owner is None
