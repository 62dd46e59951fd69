"""The VM list, whose changes become visible after a lag."""

import datetime

from mustardwood import vmlist


class VmRecords:
    """Holds the visible VM list and its changes that are not yet visible."""

    def __init__(self) -> None:
        self._changes: list[tuple[datetime.timedelta, tuple[vmlist.VmRecord,
                                                            ...]]] = []

    def replace(self, records: tuple[vmlist.VmRecord, ...],
                visible_from: datetime.timedelta) -> None:
        """Sets the list that is visible from the monotonic time `visible_from`.
        """
        self._changes.append((visible_from, records))

    def get_visible(self,
                    now: datetime.timedelta) -> tuple[vmlist.VmRecord, ...]:
        """Returns the list that is visible at the monotonic time `now`."""
        visible = [change for change in self._changes if change[0] <= now]
        if not visible:
            return ()
        pending = [change for change in self._changes if change[0] > now]
        self._changes = [visible[-1], *pending]
        return visible[-1][1]
