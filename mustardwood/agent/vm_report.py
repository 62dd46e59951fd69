"""What an agent answers to another agent's question."""

import typing

import msgspec

from mustardwood import reports


class Versions(msgspec.Struct, frozen=True):
    """Configuration versions in force on a VM; 0 for none.

    Attributes:
        agent: Version at the agent.
        entry: Version that the entry acknowledged.
        scheduler: Version that the scheduler acknowledged.
    """

    agent: int = 0
    entry: int = 0
    scheduler: int = 0

    def lowest(self) -> int:
        """Returns the version that all three have at least."""
        return min(self.agent, self.entry, self.scheduler)


class VmReport(msgspec.Struct, frozen=True):
    """One VM's answer: its agent's, its entry's and its scheduler's.

    Attributes:
        versions: Configuration versions in force.
        entry: Body of the entry's answer; None when it did not answer.
        scheduler: Body of the scheduler's answer; None when it did not answer.
        handed: Counts of service levels of entries that stopped.
    """

    versions: Versions
    entry: dict[str, typing.Any] | None = None
    scheduler: dict[str, typing.Any] | None = None
    handed: tuple[reports.LevelRecord, ...] = ()
