"""Builds and processes the parts of peer updates that concern the usage."""

import collections.abc
import datetime
import random

from mustardwood import timing
from mustardwood.usage import true_time as true_time_module
from mustardwood.usage import usage_counter
from mustardwood.usage import usage_ledger
from mustardwood.usage import usage_report
from mustardwood.usage import usage_windows

REPORT_INTERVAL = datetime.timedelta(seconds=1)
"""Interval at which a peer gets this VM's clock, and its counts if it is to
keep them. The counts of a killed VM are lost for less than this time."""
STANDBY_COUNT = 2
"""Number of VMs besides the holder that keep the counts of all VMs."""
MAX_ENTRIES = 500
"""Maximum number of counts in a report, which then has about 6 kB.

A deployment with 40 organisations has at most 120 in three windows. If there
are more, further reports hold the others.
"""
_INCARNATION_BITS = 61
"""Size of the random number of this process."""
_MILLISECOND = datetime.timedelta(milliseconds=1)


class UsageExchange:
    """Tells peers this VM's clock and counts, and receives theirs.

    It implements `peers.UsageExchange`. Every peer gets the clock; the counts
    go only to the holder and to the first other VMs in the stable order, since
    counts sent to all peers would amount to megabytes per second.
    """

    def __init__(self, vm: str, clock: timing.Clock,
                 true_time: true_time_module.TrueTime,
                 counter: usage_counter.UsageCounter,
                 ledger: usage_ledger.UsageLedger,
                 list_keepers: collections.abc.Callable[
                     [], collections.abc.Iterable[str]],
                 on_left_out: collections.abc.Callable[[str, dict[int, int]],
                                                       None],
                 rng: random.Random) -> None:
        """Creates an exchange without peers.

        Args:
            vm: Name of this VM.
            clock: Its wall clock is sent to peers.
            true_time: Receives the clocks of peers.
            counter: Holds this VM's counts.
            ledger: Receives the counts of peers.
            list_keepers: Returns the names of the VMs that keep counts.
            on_left_out: Is called with the name of a VM and the number of its
                requests, by window, that arrived after the window was
                finalized.
            rng: Draws the number of this process.
        """
        self._vm = vm
        self._clock = clock
        self._true_time = true_time
        self._counter = counter
        self._ledger = ledger
        self._list_keepers = list_keepers
        self._on_left_out = on_left_out
        self._incarnation = rng.getrandbits(_INCARNATION_BITS) + 1
        self._sent_at: dict[str, datetime.timedelta] = {}
        self._cursors: dict[str, int] = {}

    def build_report(self, receiver: str) -> usage_report.UsageReport | None:
        """Returns the report for a peer; None if it got one recently.

        Args:
            receiver: Name of the peer.
        """
        now = self._clock.monotonic()
        sent_at = self._sent_at.get(receiver)
        if sent_at is not None and now - sent_at < REPORT_INTERVAL:
            return None
        self._sent_at[receiver] = now
        clock_ms = (self._clock.now() - usage_windows.EPOCH) // _MILLISECOND
        first_window = self._counter.first_window
        if receiver not in self._list_keepers() or first_window is None:
            return usage_report.UsageReport(clock_ms)
        counts, is_whole = self._select_counts(receiver)
        return usage_report.UsageReport(clock_ms, self._incarnation,
                                        first_window, is_whole, counts)

    def receive_report(self, sender: str,
                       report: usage_report.UsageReport) -> None:
        """Records the clock and the counts of a peer."""
        self._true_time.record_peer_clock(
            sender, usage_windows.EPOCH + report.clock_ms * _MILLISECOND)
        if report.incarnation:
            self._record(sender, report.incarnation, report.first_window,
                         report.is_whole, report.counts)

    def record_own_counts(self) -> None:
        """Records this VM's counts in its ledger, before they are added up."""
        first_window = self._counter.first_window
        if first_window is not None:
            self._record(self._vm, self._incarnation, first_window, True,
                         self._counter.list_counts())

    def forget_peer(self, name: str) -> None:
        """Discards the state of a peer that has left, except its counts."""
        self._sent_at.pop(name, None)
        self._cursors.pop(name, None)
        self._true_time.forget_peer(name)
        self._ledger.forget_vm(name)

    def _record(
        self, vm: str, incarnation: int, first_window: int, is_whole: bool,
        counts: collections.abc.Mapping[int, collections.abc.Mapping[str, int]]
    ) -> None:
        left_out = self._ledger.record(vm, incarnation, first_window, is_whole,
                                       counts, self._true_time.now())
        if left_out:
            self._on_left_out(vm, left_out)

    def _select_counts(self, receiver: str) -> tuple[usage_report.Counts, bool]:
        """Returns counts for a report, and whether they are all counts.

        If there are too many, consecutive reports hold one part after another.
        """
        counts = self._counter.list_counts()
        size = sum(len(each) for each in counts.values())
        if size <= MAX_ENTRIES:
            return {window: dict(each) for window, each in counts.items()}, True
        entries = [(window, organisation)
                   for window in sorted(counts)
                   for organisation in sorted(counts[window])]
        start = self._cursors.get(receiver, 0) % size
        self._cursors[receiver] = start + MAX_ENTRIES
        selected: usage_report.Counts = {}
        for window, organisation in (entries * 2)[start:start + MAX_ENTRIES]:
            selected.setdefault(window,
                                {})[organisation] = counts[window][organisation]
        return selected, False


def choose_keepers(holder: str,
                   order: collections.abc.Iterable[str]) -> tuple[str, ...]:
    """Returns the VMs that keep the counts of all VMs.

    Args:
        holder: VM that holds the term; empty if it is unknown.
        order: Names of all VMs in the stable order of candidates.
    """
    others = [each for each in order if each != holder]
    if holder:
        return (holder, *others[:STANDBY_COUNT])
    return tuple(others[:STANDBY_COUNT + 1])
