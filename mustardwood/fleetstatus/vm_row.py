"""The status of a VM."""

import typing

import msgspec

from mustardwood.fleetstatus import versions as versions_module


class VmRow(msgspec.Struct, frozen=True):
    """The status of a VM.

    Attributes:
        vm: Name of the VM.
        ip: IP address.
        zone: Availability zone.
        region: Region.
        state: Its state at the failure detector of the responding agent.
        answered: Whether its agent answered the query.
        versions: Configuration versions in force there; None if its agent did
            not answer.
        entry: Body of its entry's answer; None if it did not answer.
        scheduler_answered: Whether its scheduler answered the query.
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
