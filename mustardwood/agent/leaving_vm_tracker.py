"""Endpoint VMs that the platform is about to remove."""

import collections.abc
import datetime

from mustardwood import configuration
from mustardwood import vmlist

_ENDPOINT_KIND = "endpoint"

MARK_RETENTION = datetime.timedelta(seconds=60)
"""Minimum time that a mark is kept after it was last seen.

The platform's list lags: one without the mark may be older than the mark.
"""


class LeavingVmTracker:
    """Tracks the endpoint VMs that the platform has marked as leaving.

    A mark is removed when a list shows the VM without it and the mark was last
    seen more than `MARK_RETENTION` ago.
    """

    def __init__(self) -> None:
        self._last_seen: dict[str, datetime.timedelta] = {}

    def handle_vm_list(self, records: collections.abc.Iterable[vmlist.VmRecord],
                       now: datetime.timedelta) -> tuple[str, ...]:
        """Updates the marks from the platform's list.

        Args:
            records: The list.
            now: Current monotonic time.

        Returns:
            Names of the VMs that were not marked before.
        """
        listed = [each for each in records if each.kind == _ENDPOINT_KIND]
        for each in listed:
            if not each.leaving:
                self._remove_expired_mark(each.vm, now)
        return self.mark_leaving((each.vm for each in listed if each.leaving),
                                 now)

    def mark_leaving(self, vms: collections.abc.Iterable[str],
                     now: datetime.timedelta) -> tuple[str, ...]:
        """Marks VMs as leaving.

        Args:
            vms: Names of the VMs.
            now: Current monotonic time.

        Returns:
            Names of those that were not marked before.
        """
        newly_marked = []
        for vm in vms:
            if vm not in self._last_seen:
                newly_marked.append(vm)
            self._last_seen[vm] = now
        return tuple(newly_marked)

    def list_marked(self) -> tuple[str, ...]:
        """Returns the names of all marked VMs."""
        return tuple(sorted(self._last_seen))

    def find_endpoints(
            self, document: configuration.Document | None) -> tuple[str, ...]:
        """Returns the names of the endpoints on marked VMs."""
        if document is None:
            return ()
        return tuple(each.name
                     for each in document.endpoints
                     if each.vm in self._last_seen)

    def _remove_expired_mark(self, vm: str, now: datetime.timedelta) -> None:
        last_seen = self._last_seen.get(vm)
        if last_seen is not None and now - last_seen > MARK_RETENTION:
            del self._last_seen[vm]
