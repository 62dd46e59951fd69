"""A VM in the platform's list."""

import msgspec


class VmRecord(msgspec.Struct, frozen=True):
    """A VM in the platform's list, which may lag behind changes.

    Attributes:
        vm: Name.
        ip: IP address.
        zone: Availability zone.
        region: Region.
        kind: ``entry`` for a VM of this system, ``endpoint`` otherwise.
        leaving: Whether the platform is about to remove the VM.
    """

    vm: str
    ip: str
    zone: str
    region: str
    kind: str = "entry"
    leaving: bool = False
