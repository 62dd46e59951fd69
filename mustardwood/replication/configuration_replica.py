"""The configuration in force on one VM."""

import datetime

from mustardwood import configuration
from mustardwood.replication import precedence
from mustardwood.replication import replica_command

MIN_REPAIR_INTERVAL = datetime.timedelta(seconds=2)
"""Shortest time between two repairs of the same platform revision."""

BOOT_TIMEOUT = datetime.timedelta(seconds=1)
"""Time that a starting VM waits for a neighbour's configuration."""

Commands = tuple[replica_command.ReplicaCommand, ...]
"""Commands in the order in which they are carried out."""


class ConfigurationReplica:
    """Agrees on the highest version without I/O.

    The version in force never decreases, wherever a document comes from. The
    transitions have the names of `spec.configuration_protocol`.

    Examples:
        >>> import datetime
        >>> now = datetime.timedelta()
        >>> replica = ConfigurationReplica()
        >>> new = configuration.VersionedDocument(2, "b", "{}")
        >>> old = configuration.VersionedDocument(1, "a", "{}")
        >>> [type(one).__name__ for one in replica.accept_platform(new, 5, now)]
        ['Adopt', 'Push']
        >>> replica.accept_neighbour(old, now)
        (Push(document=VersionedDocument(version=2, ...),)
        >>> type(replica.accept_platform(old, 6, now)[0]).__name__
        'Repair'
        >>> replica.in_force.version
        2
    """

    def __init__(self) -> None:
        self._is_booting = False
        self._neighbour_document: configuration.VersionedDocument | None = None
        self._platform_document: configuration.VersionedDocument | None = None
        self._platform_revision = -1
        self._in_force: configuration.VersionedDocument | None = None
        self._last_repaired_revision = -1
        self._last_repair_at = datetime.timedelta()

    @classmethod
    def for_boot(cls) -> "ConfigurationReplica":
        """Makes a replica that hears the platform, then a neighbour, first.

        A platform restored to an older state, or a neighbour that lags, would
        otherwise lower what this VM had in force before its restart. A
        neighbour counts only when it answers after the platform did. The
        caller asks a neighbour once the platform answered, and calls
        `end_boot` when the boot lasts longer than `BOOT_TIMEOUT`.
        """
        replica = cls()
        replica._is_booting = True
        return replica

    @property
    def in_force(self) -> configuration.VersionedDocument | None:
        """The document in force, or None before the first."""
        return self._in_force

    def accept_platform(self, document: configuration.VersionedDocument | None,
                        revision: int, now: datetime.timedelta) -> Commands:
        """Takes what the platform shows.

        Args:
            document: The platform's document; None when the key is absent.
            revision: Its revision; 0 when the key is absent.
            now: Monotonic time.

        Returns:
            `Adopt` and `Push` for a newer document, `Repair` for an older one.
        """
        if self._is_booting:
            self._platform_document = document
            self._platform_revision = revision
            return ()
        present = self._in_force
        if document is not None and precedence.is_newer(document, present):
            return self._adopt(document)
        if present is None or document == present:
            return ()
        return self._repair(present, revision, now)

    def accept_neighbour(self, document: configuration.VersionedDocument | None,
                         now: datetime.timedelta) -> Commands:
        """Takes what a neighbour has in force.

        Args:
            document: The neighbour's document; None when it has none.
            now: Monotonic time.

        Returns:
            `Adopt` and `Push` for a newer document; `Push` alone when the
            neighbour lags; nothing when both are equal.
        """
        if self._is_booting:
            return self._accept_neighbour_during_boot(document, now)
        present = self._in_force
        if document is not None and precedence.is_newer(document, present):
            return self._adopt(document)
        if present is None or document == present:
            return ()
        return (replica_command.Push(present),)

    def end_boot(self, now: datetime.timedelta) -> Commands:
        """Takes the highest that was heard since the start; no effect later.

        Args:
            now: Monotonic time.

        Returns:
            As `accept_platform`.
        """
        if not self._is_booting:
            return ()
        self._is_booting = False
        commands: Commands = ()
        if self._neighbour_document is not None:
            commands = self.accept_neighbour(self._neighbour_document, now)
        if self._platform_revision < 0:
            return commands
        return commands + self.accept_platform(self._platform_document,
                                               self._platform_revision, now)

    def _accept_neighbour_during_boot(self,
                                      document: configuration.VersionedDocument
                                      | None,
                                      now: datetime.timedelta) -> Commands:
        if document is not None and precedence.is_newer(
                document, self._neighbour_document):
            self._neighbour_document = document
        return self.end_boot(now) if self._platform_revision >= 0 else ()

    def _adopt(self, document: configuration.VersionedDocument) -> Commands:
        self._in_force = document
        return (replica_command.Adopt(document), replica_command.Push(document))

    def _repair(self, present: configuration.VersionedDocument, revision: int,
                now: datetime.timedelta) -> Commands:
        recent = now - self._last_repair_at < MIN_REPAIR_INTERVAL
        if revision == self._last_repaired_revision and recent:
            return ()
        self._last_repaired_revision = revision
        self._last_repair_at = now
        return (replica_command.Repair(present, revision),)
