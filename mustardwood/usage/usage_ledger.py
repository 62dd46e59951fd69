"""The counts that a VM has received from all VMs."""

import collections
import collections.abc
import dataclasses
import datetime

from mustardwood.usage import usage_counter
from mustardwood.usage import usage_windows

_COMPLETION_MARGIN = datetime.timedelta(milliseconds=500)
"""Time after the end of a window after which a report covers all of it.

It covers differences of true time between VMs, and plain requests that began in
the window and whose answers arrive after its end.
"""


@dataclasses.dataclass
class _VmState:
    """What was received of a process of a VM.

    Attributes:
        first_window: Window in which the process started to count.
        reported_at: True time at which its last whole report was received.
    """

    first_window: int
    reported_at: datetime.datetime


class UsageLedger:
    """Adds up the counts of all VMs by window.

    Reports are totals, so the largest count of a process wins whatever the
    order in which its reports arrive. Failure: a VM that is killed and started
    again counts from 0; processes are therefore told apart. The counts of a
    killed VM are kept as it reported them last.
    """

    def __init__(self, windows: usage_windows.UsageWindows) -> None:
        self._windows = windows
        self._counts: dict[int, dict[tuple[str, int], dict[str, int]]] = {}
        self._vms: dict[str, _VmState] = {}
        self._closed_through = -1

    def record(self, vm: str, incarnation: int, first_window: int,
               is_whole: bool,
               counts: collections.abc.Mapping[int,
                                               collections.abc.Mapping[str,
                                                                       int]],
               now: datetime.datetime) -> dict[int, int]:
        """Records a report of a VM.

        Args:
            vm: Name of the VM.
            incarnation: Random number of its process.
            first_window: Window in which the process started to count.
            is_whole: Whether the counts of all its windows are included.
            counts: Totals by window and organisation.
            now: True time.

        Returns:
            The number of requests, by window, that are left out because their
            window had been finalized before. They are returned once.
        """
        if is_whole:
            self._vms[vm] = _VmState(first_window, now)
        left_out: dict[int, int] = {}
        newest = self._windows.find_window(now) + 1
        for window, by_organisation in counts.items():
            if not newest - usage_counter.MAX_WINDOWS <= window <= newest:
                continue
            known = self._counts.setdefault(window, {}).setdefault(
                (vm, incarnation), {})
            added = 0
            for organisation, count in by_organisation.items():
                added += max(0, count - known.get(organisation, 0))
                known[organisation] = max(count, known.get(organisation, 0))
            if added and window <= self._closed_through:
                left_out[window] = added
        return left_out

    def close_windows(self, through: int) -> None:
        """Marks windows as finalized and discards old ones.

        Args:
            through: The last window that is finalized.
        """
        self._closed_through = max(self._closed_through, through)
        oldest = self._closed_through - usage_counter.MAX_WINDOWS
        for window in [each for each in self._counts if each < oldest]:
            del self._counts[window]

    def forget_vm(self, vm: str) -> None:
        """Stops waiting for a VM that has left; its counts are kept."""
        self._vms.pop(vm, None)

    def find_total(self, window: int) -> dict[str, int]:
        """Returns the requests of a window by organisation, of all VMs."""
        total: collections.Counter[str] = collections.Counter()
        for by_organisation in self._counts.get(window, {}).values():
            total.update(by_organisation)
        return dict(sorted(total.items()))

    def find_first_window(self) -> int | None:
        """Returns the first window in which a VM counted; None if unknown."""
        return min((each.first_window for each in self._vms.values()),
                   default=None)

    def is_complete(self, window: int,
                    vms: collections.abc.Iterable[str]) -> bool:
        """Returns whether all VMs have reported since the end of a window."""
        complete_at = self._windows.find_end(window) + _COMPLETION_MARGIN
        return all(
            each in self._vms and self._vms[each].reported_at >= complete_at
            for each in vms)

    def is_covered(self, window: int, vm: str) -> bool:
        """Returns whether the counts of a window are not lost.

        Failure: all VMs are restarted, and the counts of the windows before
        are gone. Such a window must not be reported as one without requests.

        Args:
            window: The window.
            vm: Name of this VM, which counts are sent to.

        Returns:
            Whether this VM or half of the VMs ran during that window.
        """
        own = self._vms.get(vm)
        if own is not None and own.first_window <= window:
            return True
        covering = sum(
            each.first_window <= window for each in self._vms.values())
        return 0 < len(self._vms) <= 2 * covering
