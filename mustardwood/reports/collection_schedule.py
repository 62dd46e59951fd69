"""Schedule by which VMs collect the service-level counts of the fleet."""

import collections.abc
import datetime
import hashlib

import msgspec

from mustardwood import messages

_DIGEST_BYTES = 8


class ScheduleRule(msgspec.Struct, frozen=True):
    """Parameters of the collection of one kind of record.

    Attributes:
        name: Prefix of the key by which VMs are ranked.
        length: Length of the time that a record covers.
        grace: Delay from the end of a record's time until the first VM may
            collect it.
        turn: Time that each VM has before the next VM may collect the record.
        candidates: Number of VMs that may collect a record.
        kept: Time after the end of a record's time until which its collection
            is retried.
    """

    name: str
    length: datetime.timedelta
    grace: datetime.timedelta
    turn: datetime.timedelta
    candidates: int
    kept: datetime.timedelta


class CollectionSchedule:
    """Determines which records one VM has to write now.

    The VMs do not agree on a writer. For each record every VM ranks the live
    VMs by rendezvous hashing, and a VM writes when the VMs ranked before it
    have had their time. If two VMs write the same record, compare-and-swap
    lets only the first write succeed.

    Args:
        vm: Name of this VM.
        rule: Parameters of the collection.
        now: Wall-clock time of the start. Of the records that ended before,
            only the last one is written by this VM; older ones are written by
            the VMs that were running at the time.
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

        A record's number is the start of its time since 1970, divided by its
        length.

        Args:
            members: The known VMs, including this one.
            now: Current wall-clock time.
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
        """Records that this or another VM has stored a record."""
        self._stored.add(number)
        self._not_before.pop(number, None)

    def postpone(self, number: int, now: datetime.datetime) -> None:
        """Makes a record that could not be stored due again later."""
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
    """Ranks VMs by rendezvous hashing [1]_.

    Args:
        key: Key of the record that is to be collected.
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
    """Returns the rule for records of a minute.

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
    """Returns the rule for records of an hour.

    Args:
        minute_seconds: Length of a minute of the report, in seconds.
    """
    minute = datetime.timedelta(seconds=minute_seconds)
    return ScheduleRule(name="burn/hour",
                        length=minute * 60,
                        grace=minute * 2,
                        turn=minute,
                        candidates=3,
                        kept=minute * 90)
