"""When a VM collects the counts of the fleet."""

import collections.abc
import datetime
import hashlib

import msgspec

from mustardwood import messages

_DIGEST_BYTES = 8


class ScheduleRule(msgspec.Struct, frozen=True):
    """How a kind of record is collected.

    Attributes:
        name: Start of the key of the rendezvous order.
        length: Time that a record covers.
        grace: Time from a record's end to its first collection.
        turn: Time that each VM of the order has before the next one's turn.
        candidates: Number of VMs of the order that have a turn.
        kept: Time from a record's end after which it is given up.
    """

    name: str
    length: datetime.timedelta
    grace: datetime.timedelta
    turn: datetime.timedelta
    candidates: int
    kept: datetime.timedelta


class CollectionSchedule:
    """Tells one VM which records it has to write now.

    The VMs don't agree on a writer. Each has its place in a rendezvous order
    of the live VMs for each record, and its turn comes when those before it
    had their time. A write that two VMs make is settled by compare-and-swap.

    Args:
        vm: Name of this VM.
        rule: What is collected.
        now: Wall-clock time of the start; records that ended long before are
            left to the VMs that ran then.
    """

    def __init__(self, vm: str, rule: ScheduleRule,
                 now: datetime.datetime) -> None:
        self._vm = vm
        self._rule = rule
        self._first = self._compute_number(now) - 1
        self._stored: set[int] = set()
        self._not_before: dict[int, datetime.datetime] = {}

    def list_due(self, members: collections.abc.Iterable[messages.Member],
                 now: datetime.datetime) -> tuple[int, ...]:
        """Returns the numbers of the records to write now, oldest first.

        A record's number is its start divided by its length, since 1970.

        Args:
            members: The VMs, this one included.
            now: Wall-clock time.
        """
        current_number = self._compute_number(now)
        self._first = max(self._first,
                          self._compute_number(now - self._rule.kept))
        self._stored = {each for each in self._stored if each >= self._first}
        open_numbers = [
            number for number in range(self._first, current_number)
            if number not in self._stored
        ]
        alive = [
            each.vm
            for each in members
            if each.state is messages.MemberState.ALIVE
        ]
        return tuple(number for number in open_numbers
                     if self._is_due(number, alive, now))

    def mark_stored(self, number: int) -> None:
        """Notes that a record is stored, by whomever."""
        self._stored.add(number)
        self._not_before.pop(number, None)

    def postpone(self, number: int, now: datetime.datetime) -> None:
        """Notes that a record could not be stored; it is due again later."""
        self._not_before[number] = now + self._rule.turn * self._rule.candidates

    def _is_due(self, number: int, alive: list[str],
                now: datetime.datetime) -> bool:
        if now < self._not_before.get(number, now):
            return False
        end = self._compute_end(number)
        if now < end + self._rule.grace:
            return False
        ranked = rank_collectors(f"{self._rule.name}/{number}",
                                 {*alive, self._vm})
        rank = ranked.index(self._vm)
        return (rank < self._rule.candidates and
                now >= end + self._rule.grace + rank * self._rule.turn)

    def _compute_number(self, time: datetime.datetime) -> int:
        return int(time.timestamp() // self._rule.length.total_seconds())

    def _compute_end(self, number: int) -> datetime.datetime:
        return datetime.datetime.fromtimestamp(
            (number + 1) * self._rule.length.total_seconds(), datetime.UTC)


def rank_collectors(key: str,
                    vms: collections.abc.Iterable[str]) -> tuple[str, ...]:
    """Orders VMs by rendezvous hashing [1]_.

    Args:
        key: What is to be collected.
        vms: Names of the VMs.

    References:
        .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to
           increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples:
        >>> sorted(rank_collectors("burn/1", ["a", "b"]))
        ['a', 'b']
    """
    return tuple(sorted(vms, key=lambda vm: _compute_rank(key, vm)))


def _compute_rank(key: str, vm: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{vm}".encode(),
                           digest_size=_DIGEST_BYTES).digest()


def make_minute_rule(minute_seconds: float) -> ScheduleRule:
    """Returns the rule of the records of a minute.

    Args:
        minute_seconds: Length of a minute of the report, in seconds.
    """
    minute = datetime.timedelta(seconds=minute_seconds)
    return ScheduleRule(name="burn",
                        length=minute,
                        grace=minute / 12,
                        turn=minute / 6,
                        candidates=3,
                        kept=minute * 50)


def make_hour_rule(minute_seconds: float) -> ScheduleRule:
    """Returns the rule of the records of an hour; as `make_minute_rule`."""
    minute = datetime.timedelta(seconds=minute_seconds)
    return ScheduleRule(name="burn/hour",
                        length=minute * 60,
                        grace=minute * 2,
                        turn=minute,
                        candidates=3,
                        kept=minute * 90)
