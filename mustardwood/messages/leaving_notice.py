"""Endpoint VMs that are about to go."""

import msgspec


class LeavingNotice(msgspec.Struct, frozen=True, tag="leaving_notice"):
    """Passes on that the platform lists endpoint VMs as leaving.

    Attributes:
        vms: Names of the VMs.
    """

    vms: tuple[str, ...]
