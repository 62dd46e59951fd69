"""The endpoint VMs that are about to go."""

import collections.abc
import datetime

from mustardwood import configuration
from mustardwood import vmlist

_ENDPOINT_KIND = "endpoint"

MARK_RETENTION = datetime.timedelta(seconds=60)
"""How long a mark outlives lists that no longer show it, since lists lag."""


class LeavingVmTracker:
    """Which endpoint VMs the platform marked as leaving.

    A mark stays until a list shows the VM without it `MARK_HELD` after the mark
    was last seen.
    """

    def __init__(self) -> None:
        self._last_seen: dict[str, datetime.timedelta] = {}

    def handle_vm_list(self, records: collections.abc.Iterable[vmlist.VmRecord],
                       now: datetime.timedelta) -> tuple[str, ...]:
        """Takes the platform's list.

        Returns:
            Names of the VMs that are newly marked.
        """
        listed = [each for each in records if each.kind == _ENDPOINT_KIND]
        for each in listed:
            if not each.leaving:
                self._remove_expired_mark(each.vm, now)
        return self.mark((each.vm for each in listed if each.leaving), now)

    def mark(self, vms: collections.abc.Iterable[str],
             now: datetime.timedelta) -> tuple[str, ...]:
        """Marks VMs.

        Returns:
            Names of those that are newly marked.
        """
        newly_marked = []
        for vm in vms:
            if vm not in self._last_seen:
                newly_marked.append(vm)
            self._last_seen[vm] = now
        return tuple(newly_marked)

    def marked(self) -> tuple[str, ...]:
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
