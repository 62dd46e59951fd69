"""The table of the fleet's members and their states."""

import collections.abc
import datetime

import msgspec

from mustardwood import messages
from mustardwood import vmlist

DEAD_MEMBER_RETENTION = datetime.timedelta(seconds=60)
"""Time for which a dead VM that is not listed stays in the table."""

_ENTRY_KIND = "entry"

_STATE_RANK = {
    messages.MemberState.ALIVE: 0,
    messages.MemberState.SUSPECT: 1,
    messages.MemberState.LEAVING: 2,
    messages.MemberState.DEAD: 3,
}


class MemberTable:
    """The VMs with their states, from the platform's list and from updates.

    Of two updates about a VM, the one with the higher incarnation takes
    precedence, and at the same incarnation the one with the worse state. All
    tables that received the same updates therefore agree, whatever the order
    of arrival.

    A VM that responds to probes stays in the table even if it is missing from
    the platform's list. A listed VM stays even if it is dead.
    """

    def __init__(self) -> None:
        self._members: dict[str, messages.Member] = {}
        self._changed_at: dict[str, datetime.timedelta] = {}
        self._listed_vms: dict[str, vmlist.VmRecord] = {}
        self._by_state: dict[messages.MemberState, set[str]] = {
            state: set() for state in messages.MemberState
        }
        self._sorted_members: tuple[messages.Member, ...] | None = None

    def __len__(self) -> int:
        return len(self._members)

    def get(self, vm: str) -> messages.Member | None:
        """Returns the member with a VM's name, or None."""
        return self._members.get(vm)

    def members(self) -> tuple[messages.Member, ...]:
        """Returns all members, sorted by VM name."""
        if self._sorted_members is None:
            self._sorted_members = tuple(
                self._members[vm] for vm in sorted(self._members))
        return self._sorted_members

    def find_in_state(
            self, state: messages.MemberState) -> tuple[messages.Member, ...]:
        """Returns the members in a state, sorted by VM name."""
        return tuple(self._members[vm] for vm in sorted(self._by_state[state]))

    def changed_at(self, vm: str) -> datetime.timedelta:
        """Returns the time of the last change of a member's state."""
        return self._changed_at[vm]

    def restart_timer(self, vm: str, now: datetime.timedelta) -> None:
        """Sets the time of the last change of a member's state to `now`."""
        self._changed_at[vm] = now

    def put(self, member: messages.Member, now: datetime.timedelta) -> None:
        """Sets a member, whatever its current incarnation and state."""
        known = self._members.get(member.vm)
        self._members[member.vm] = member
        self._sorted_members = None
        if known is not None and known.state is member.state:
            return
        if known is not None:
            self._by_state[known.state].discard(member.vm)
        self._by_state[member.state].add(member.vm)
        self._changed_at[member.vm] = now

    def merge(self, received: messages.Member, now: datetime.timedelta) -> bool:
        """Applies an update about a VM if it takes precedence.

        Args:
            received: The update.
            now: Current monotonic time.

        Returns:
            Whether the update is to be forwarded to other VMs. It is not if
            it only adds the incarnation of a VM known from the list.
        """
        known = self._members.get(received.vm)
        if known is None:
            if received.state is messages.MemberState.DEAD:
                return False
            self.put(received, now)
            return True
        if _precedence(received) <= _precedence(known):
            self._update_version(known, received)
            return False
        self.put(received, now)
        return known.incarnation > 0 or received.state is not known.state

    def _update_version(self, known: messages.Member,
                        received: messages.Member) -> None:
        if (received.incarnation == known.incarnation and
                received.version > known.version):
            self._members[known.vm] = msgspec.structs.replace(
                known, version=received.version)
            self._sorted_members = None

    def update_list(self, records: collections.abc.Iterable[vmlist.VmRecord],
                    now: datetime.timedelta) -> tuple[str, ...]:
        """Applies the platform's list of VMs.

        Args:
            records: The list; VMs of other kinds than ``entry`` are ignored.
            now: Current monotonic time.

        Returns:
            Names of the VMs that are new or newly marked as leaving. It is
            empty for the first list, as all of its VMs are new to the table.
        """
        is_first_list = not self._listed_vms
        self._listed_vms = {
            each.vm: each for each in records if each.kind == _ENTRY_KIND
        }
        changed = tuple(each.vm
                        for each in self._listed_vms.values()
                        if self._apply_record(each, now))
        return () if is_first_list else changed

    def _apply_record(self, record: vmlist.VmRecord,
                      now: datetime.timedelta) -> bool:
        known = self._members.get(record.vm)
        if known is None:
            state = (messages.MemberState.LEAVING
                     if record.leaving else messages.MemberState.ALIVE)
            member = messages.Member(record.vm, record.ip, record.zone,
                                     record.region, state)
            self.put(member, now)
            return True
        if not record.leaving:
            return False
        leaving = msgspec.structs.replace(known,
                                          state=messages.MemberState.LEAVING)
        return self.merge(leaving, now)

    def remove_expired_dead(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Removes unlisted VMs dead for over `DEAD_MEMBER_RETENTION`.

        Returns:
            Names of the removed VMs.
        """
        dead = self._by_state[messages.MemberState.DEAD]
        removed_vms = tuple(vm for vm in sorted(dead)
                            if vm not in self._listed_vms and now -
                            self._changed_at[vm] > DEAD_MEMBER_RETENTION)
        for vm in removed_vms:
            dead.remove(vm)
            del self._members[vm]
            del self._changed_at[vm]
            self._sorted_members = None
        return removed_vms


def _precedence(member: messages.Member) -> tuple[int, int]:
    return member.incarnation, _STATE_RANK[member.state]
