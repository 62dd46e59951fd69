"""What an entry knows about the owner of one cell."""

import datetime

from mustardwood import cells
from mustardwood import messages

OWNER_TIMEOUT = datetime.timedelta(seconds=1)
"""Silence after which an owner is passed over."""

NO_OWNER_TIMEOUT = datetime.timedelta(seconds=2)
"""Silence of all owners after which an entry grants to itself."""

HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two messages of open work."""


class CellContact:
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
        self._ranked: tuple[messages.Member, ...] = ()
        self._passed_over: dict[str, int] = {}
        self._awaiting_since: datetime.timedelta | None = None
        self._unanswered_since: datetime.timedelta | None = None
        self._beaten: datetime.timedelta | None = None

    def rank(self, members: tuple[messages.Member, ...]) -> None:
        """Takes over the fleet's VMs; a restarted VM is tried again."""
        self._ranked = cells.rank_owners(self.cell.name, self.cell.region,
                                         members)
        incarnations = {each.vm: each.incarnation for each in members}
        self._passed_over = {
            vm: incarnation
            for vm, incarnation in self._passed_over.items()
            if incarnations.get(vm) == incarnation
        }

    @property
    def owner(self) -> messages.Member | None:
        """The VM to ask now; None when none is left."""
        for each in self._ranked:
            if each.vm not in self._passed_over:
                return each
        return None

    def is_owned_by(self, ip: str) -> bool:
        """Returns whether the VM with this address is asked now."""
        return self.owner is not None and self.owner.ip == ip

    @property
    def first_choice(self) -> messages.Member | None:
        """The first VM of the order, when it is passed over."""
        if not self._ranked or self._ranked[0].vm not in self._passed_over:
            return None
        return self._ranked[0]

    def note_sent(self, now: datetime.timedelta) -> None:
        """Records a message that the owner must answer."""
        if self._awaiting_since is None:
            self._awaiting_since = now
        if self._unanswered_since is None:
            self._unanswered_since = now

    def note_heartbeat(self, now: datetime.timedelta) -> None:
        """Records a heartbeat."""
        self.sequence += 1
        self._beaten = now
        self.note_sent(now)

    def is_heartbeat_due(self, now: datetime.timedelta) -> bool:
        """Returns whether the next heartbeat is due."""
        return self._beaten is None or now - self._beaten >= HEARTBEAT_INTERVAL

    def note_answer(self, ip: str,
                    queue_delay: datetime.timedelta | None) -> bool:
        """Records an answer of a VM.

        Args:
            ip: IP address of the VM.
            queue_delay: Delay of the queue, where the answer tells it.

        Returns:
            Whether the owner is another one now.
        """
        before = self.owner
        for each in self._ranked:
            if each.ip == ip:
                self._passed_over.pop(each.vm, None)
        after = self.owner
        if after is not None and after.ip == ip:
            self._awaiting_since = None
            self._unanswered_since = None
            if queue_delay is not None:
                self.queue_delay = queue_delay
        return before != after

    def note_idle(self) -> None:
        """Records that no work is open in the cell."""
        self._awaiting_since = None
        self._unanswered_since = None
        self._beaten = None

    def pass_over(self) -> messages.Member | None:
        """Passes over the owner; returns it."""
        owner = self.owner
        if owner is not None:
            self._passed_over[owner.vm] = owner.incarnation
        self._awaiting_since = None
        self._beaten = None
        return owner

    def retry_all(self) -> None:
        """Tries every VM again."""
        self._passed_over.clear()

    def is_silent(self, now: datetime.timedelta) -> bool:
        """Returns whether the owner has not answered in time."""
        since = self._awaiting_since
        return since is not None and now - since >= OWNER_TIMEOUT

    def is_ownerless(self, now: datetime.timedelta) -> bool:
        """Returns whether nobody has answered in time."""
        since = self._unanswered_since
        late = since is not None and now - since >= NO_OWNER_TIMEOUT
        return late or self.owner is None
