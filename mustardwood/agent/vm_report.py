"""An agent's answer to another agent's query."""

import typing

import msgspec

from mustardwood import fleetstatus
from mustardwood import reports


class VmReport(msgspec.Struct, frozen=True):
    """The answers of a VM's agent, entry and scheduler to one query.

    Attributes:
        versions: Configuration versions in force on the VM.
        entry: Body of the entry's answer; None when it did not answer.
        scheduler: Body of the scheduler's answer; None when it did not answer.
        handed: Service-level counts that stopped entries handed over.
    """

    versions: fleetstatus.Versions
    entry: dict[str, typing.Any] | None = None
    scheduler: dict[str, typing.Any] | None = None
    handed: tuple[reports.LevelRecord, ...] = ()
