"""The lagging list of VMs."""

import datetime

from mustardwood import vmlist


class VmRecords:
    """Shows each change of the list only after a lag."""

    def __init__(self) -> None:
        self._changes: list[tuple[datetime.timedelta, tuple[vmlist.VmRecord,
                                                            ...]]] = []

    def replace(self, records: tuple[vmlist.VmRecord, ...],
                shown_at: datetime.timedelta) -> None:
        """Sets the list, to be seen from the monotonic time `shown_at`."""
        self._changes.append((shown_at, records))

    def show(self, now: datetime.timedelta) -> tuple[vmlist.VmRecord, ...]:
        """Returns the list as it is seen at `now`."""
        shown = [item for item in self._changes if item[0] <= now]
        if not shown:
            return ()
        later = [item for item in self._changes if item[0] > now]
        self._changes = [shown[-1], *later]
        return shown[-1][1]
