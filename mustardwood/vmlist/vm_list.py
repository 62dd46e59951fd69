"""The interface of the platform's list of VMs."""

import typing

from mustardwood.vmlist import vm_record


class VmList(typing.Protocol):
    """The live VMs, and which of them are leaving; the list may lag."""

    async def fetch(self) -> tuple[vm_record.VmRecord, ...]:
        """Fetches the list.

        Raises:
            UnavailableError: The platform can't be reached.
        """
