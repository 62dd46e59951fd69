"""Endpoint VMs that the platform is about to remove."""

import msgspec


class LeavingNotice(msgspec.Struct, frozen=True, tag="leaving_notice"):
    """Informs agents of endpoint VMs that the platform lists as leaving.

    Attributes:
        vms: Names of the VMs.
    """

    vms: tuple[str, ...]
