"""The table of members."""

import collections.abc
import datetime

import msgspec

from mustardwood import messages
from mustardwood import vmlist

DEAD_MEMBER_RETENTION = datetime.timedelta(seconds=60)
"""How long a dead VM that is not listed stays in the table."""

_ENTRY_KIND = "entry"

_STATE_RANK = {
    messages.MemberState.ALIVE: 0,
    messages.MemberState.SUSPECT: 1,
    messages.MemberState.LEAVING: 2,
    messages.MemberState.DEAD: 3,
}


class MemberTable:
    """The VMs with their states, from the platform's list and from news.

    Of two statements about a VM the one with the higher incarnation wins, and
    at the same incarnation the worse state; so all tables that have heard the
    same statements agree, in whatever order they came.

    A VM that answers stays in the table even when the list has lost it. A
    listed VM stays even when it is dead.
    """

    def __init__(self) -> None:
        self._members: dict[str, messages.Member] = {}
        self._changed_at: dict[str, datetime.timedelta] = {}
        self._listed: dict[str, vmlist.VmRecord] = {}
        self._by_state: dict[messages.MemberState, set[str]] = {
            state: set() for state in messages.MemberState
        }
        self._sorted: tuple[messages.Member, ...] | None = None

    def __len__(self) -> int:
        return len(self._members)

    def get(self, vm: str) -> messages.Member | None:
        """Returns a member by the name of its VM."""
        return self._members.get(vm)

    def members(self) -> tuple[messages.Member, ...]:
        """Returns all members, by name of their VMs."""
        if self._sorted is None:
            self._sorted = tuple(
                self._members[vm] for vm in sorted(self._members))
        return self._sorted

    def find_in_state(
            self, state: messages.MemberState) -> tuple[messages.Member, ...]:
        """Returns the members in a state, by name of their VMs."""
        return tuple(self._members[vm] for vm in sorted(self._by_state[state]))

    def changed_at(self, vm: str) -> datetime.timedelta:
        """Returns when a member's state changed last."""
        return self._changed_at[vm]

    def restart_timer(self, vm: str, now: datetime.timedelta) -> None:
        """Counts the time in the present state from now on."""
        self._changed_at[vm] = now

    def put(self, member: messages.Member, now: datetime.timedelta) -> None:
        """Sets a member whatever the table holds."""
        held = self._members.get(member.vm)
        self._members[member.vm] = member
        self._sorted = None
        if held is not None and held.state is member.state:
            return
        if held is not None:
            self._by_state[held.state].discard(member.vm)
        self._by_state[member.state].add(member.vm)
        self._changed_at[member.vm] = now

    def merge(self, heard: messages.Member, now: datetime.timedelta) -> bool:
        """Takes a statement about a VM.

        Args:
            heard: The statement.
            now: Present time.

        Returns:
            Whether others should hear it: not when it only tells the
            incarnation of a VM that was known from the list.
        """
        held = self._members.get(heard.vm)
        if held is None:
            if heard.state is messages.MemberState.DEAD:
                return False
            self.put(heard, now)
            return True
        if _precedence(heard) <= _precedence(held):
            self._update_version(held, heard)
            return False
        self.put(heard, now)
        return held.incarnation > 0 or heard.state is not held.state

    def _update_version(self, held: messages.Member,
                        heard: messages.Member) -> None:
        if (heard.incarnation == held.incarnation and
                heard.version > held.version):
            self._members[held.vm] = msgspec.structs.replace(
                held, version=heard.version)
            self._sorted = None

    def update_list(self, records: collections.abc.Iterable[vmlist.VmRecord],
                    now: datetime.timedelta) -> tuple[str, ...]:
        """Takes the platform's list.

        Args:
            records: The list; VMs of other kinds than ``entry`` are ignored.
            now: Present time.

        Returns:
            Names of the VMs that are new or newly marked as leaving; the VMs
            of the first list are not new.
        """
        first = not self._listed
        self._listed = {
            each.vm: each for each in records if each.kind == _ENTRY_KIND
        }
        changed = tuple(each.vm
                        for each in self._listed.values()
                        if self._apply_record(each, now))
        return () if first else changed

    def _apply_record(self, record: vmlist.VmRecord,
                      now: datetime.timedelta) -> bool:
        held = self._members.get(record.vm)
        if held is None:
            state = (messages.MemberState.LEAVING
                     if record.leaving else messages.MemberState.ALIVE)
            member = messages.Member(record.vm, record.ip, record.zone,
                                     record.region, state)
            self.put(member, now)
            return True
        if not record.leaving:
            return False
        leaving = msgspec.structs.replace(held,
                                          state=messages.MemberState.LEAVING)
        return self.merge(leaving, now)

    def remove_expired_dead(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Removes VMs that are dead, not listed, and have been so for long.

        Returns:
            Their names.
        """
        dead = self._by_state[messages.MemberState.DEAD]
        gone = tuple(vm for vm in sorted(dead)
                     if vm not in self._listed and now -
                     self._changed_at[vm] > DEAD_MEMBER_RETENTION)
        for vm in gone:
            dead.remove(vm)
            del self._members[vm]
            del self._changed_at[vm]
            self._sorted = None
        return gone


def _precedence(member: messages.Member) -> tuple[int, int]:
    return member.incarnation, _STATE_RANK[member.state]
