"""The status of a VM."""

import typing

import msgspec

from mustardwood.fleetstatus import versions as versions_module


class VmRow(msgspec.Struct, frozen=True):
    """The status of a VM.

    Attributes:
        vm: Name.
        ip: IP address.
        zone: Availability zone.
        region: Region.
        state: What the failure detector holds of it.
        answered: Whether its agent answered.
        versions: Configuration versions in force there; None without answer.
        entry: Answer of its entry; None without answer.
        scheduler_answered: Whether its scheduler answered.
    """

    vm: str
    ip: str
    zone: str
    region: str
    state: str
    answered: bool
    versions: versions_module.Versions | None = None
    entry: dict[str, typing.Any] | None = None
    scheduler_answered: bool = False
