"""What an agent answers to another agent's question."""

import typing

import msgspec

from mustardwood import fleetstatus
from mustardwood import reports


class VmReport(msgspec.Struct, frozen=True):
    """One VM's answer: its agent's, its entry's and its scheduler's.

    Attributes:
        versions: Configuration versions in force.
        entry: Body of the entry's answer; None when it did not answer.
        scheduler: Body of the scheduler's answer; None when it did not answer.
        handed: Counts of service levels of entries that stopped.
    """

    versions: fleetstatus.Versions
    entry: dict[str, typing.Any] | None = None
    scheduler: dict[str, typing.Any] | None = None
    handed: tuple[reports.LevelRecord, ...] = ()
