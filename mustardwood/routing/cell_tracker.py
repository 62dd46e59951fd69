"""Tracking of the scheduler that owns a cell."""

import datetime

from mustardwood import cells
from mustardwood import messages

OWNER_TIMEOUT = datetime.timedelta(seconds=1)
"""Time without a reply after which an owner is skipped."""

FIRST_HEARTBEAT_DELAY = datetime.timedelta(milliseconds=250)
"""Time from the first open request of a cell to its first heartbeat."""

DECLINED_OWNER_BACKOFF = datetime.timedelta(seconds=5)
"""Time for which a VM that declined a cell is not asked again."""

NO_OWNER_TIMEOUT = datetime.timedelta(seconds=2)
"""Time without a reply from any owner after which local grants start."""

HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two heartbeats, which carry the open work of a cell."""


class CellTracker:
    """Tracks which VM owns a cell, and whether its scheduler replies.

    Entries rank the VMs for a cell in the same order. The owner is the first VM
    of that order that is not skipped. A VM that doesn't reply in time is
    skipped until it replies again or restarts. A VM that declines the cell is
    skipped in the same way, but for the backoff at least. When all VMs are
    skipped, all of them are tried again.

    Attributes:
        cell: The cell.
        queue_delay: Queueing delay of the cell, from the owner's last reply.
        sequence: Sequence number of the last heartbeat.
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
        """Sets the VMs of the fleet; a restarted VM is no longer skipped."""
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
        """Ranks a VM behind all others; an empty name demotes none."""
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
        """The VM to send requests to; None when all VMs are skipped."""
        for each in self._ranked:
            if each.vm not in self._skipped:
                return each
        return None

    def is_owned_by(self, ip: str) -> bool:
        """Returns whether the VM with an IP address is the owner."""
        return self.owner is not None and self.owner.ip == ip

    @property
    def skipped_preferred_owner(self) -> messages.Member | None:
        """The first VM of the order if it is skipped, but did not decline.

        It is probed with each heartbeat, so that it becomes the owner again as
        soon as it replies.
        """
        if not self._ranked or self._ranked[0].vm not in self._skipped:
            return None
        first = self._ranked[0]
        return None if first.vm in self._declined_until else first

    def record_sent(self, now: datetime.timedelta) -> None:
        """Records the sending of a message that the owner must reply to."""
        if self._owner_unanswered_since is None:
            self._owner_unanswered_since = now
        if self._all_owners_unanswered_since is None:
            self._all_owners_unanswered_since = now

    def record_heartbeat(self, now: datetime.timedelta) -> None:
        """Records the sending of a heartbeat."""
        self.sequence += 1
        self._last_heartbeat_at = now
        self.record_sent(now)

    def record_open_work(self, now: datetime.timedelta) -> None:
        """Records that the cell has open work; this starts the heartbeats."""
        if self._last_heartbeat_at is None:
            self._last_heartbeat_at = (now + FIRST_HEARTBEAT_DELAY -
                                       HEARTBEAT_INTERVAL)

    def is_heartbeat_due(self, now: datetime.timedelta) -> bool:
        """Returns whether the next heartbeat is due."""
        return (self._last_heartbeat_at is None or
                now >= self._last_heartbeat_at + HEARTBEAT_INTERVAL)

    def record_reply(self, ip: str, queue_delay: datetime.timedelta | None,
                     now: datetime.timedelta) -> bool:
        """Records a reply; the VM is no longer skipped unless it declined.

        Args:
            ip: IP address of the VM.
            queue_delay: Queueing delay of the cell; None if the reply has none.
            now: Monotonic time.

        Returns:
            Whether the owner has changed.
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
        """Records that the cell has no open work; this stops the heartbeats."""
        self._owner_unanswered_since = None
        self._all_owners_unanswered_since = None
        self._last_heartbeat_at = None

    def skip_declining_owner(self, now: datetime.timedelta) -> None:
        """Skips an owner that declined the cell, for the backoff at least."""
        owner = self.skip_owner()
        if owner is not None:
            self._declined_until[owner.vm] = now + DECLINED_OWNER_BACKOFF

    def skip_owner(self) -> messages.Member | None:
        """Skips the owner; returns it, or None if there was none."""
        owner = self.owner
        if owner is not None:
            self._skipped[owner.vm] = owner.incarnation
        self._owner_unanswered_since = None
        self._last_heartbeat_at = None
        return owner

    def retry_all_owners(self, now: datetime.timedelta) -> bool:
        """Stops skipping VMs, at most once in a heartbeat interval.

        Returns:
            Whether the VMs may be tried again now.
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
        """Returns whether the owner has not replied within `OWNER_TIMEOUT`."""
        since = self._owner_unanswered_since
        return since is not None and now - since >= OWNER_TIMEOUT

    def has_no_responsive_owner(self, now: datetime.timedelta) -> bool:
        """Returns whether no owner has replied within `NO_OWNER_TIMEOUT`."""
        since = self._all_owners_unanswered_since
        late = since is not None and now - since >= NO_OWNER_TIMEOUT
        return late or self.owner is None
