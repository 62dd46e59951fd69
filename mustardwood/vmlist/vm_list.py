"""The interface of the platform's list of VMs."""

import typing

from mustardwood.vmlist import vm_record


class VmList(typing.Protocol):
    """Tells which VMs are live and which are leaving, with a lag."""

    async def fetch(self) -> tuple[vm_record.VmRecord, ...]:
        """Returns the list.

        Raises:
            UnavailableError: The platform can't be reached.
        """
