"""Configuration versions in force on a VM."""

import msgspec


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

    def get_lowest(self) -> int:
        """Returns the lowest of the three versions."""
        return min(self.agent, self.entry, self.scheduler)

    def list_outdated_processes(self, version: int) -> tuple[str, ...]:
        """Returns the names of the processes with a lower version.

        Examples:
            >>> versions = Versions(agent=3, entry=2, scheduler=3)
            >>> versions.list_outdated_processes(3)
            ('entry',)
        """
        versions = {
            "agent": self.agent,
            "entry": self.entry,
            "scheduler": self.scheduler,
        }
        return tuple(process for process, version_in_force in versions.items()
                     if version_in_force < version)
