"""The decision which configuration is in force on one VM."""

import datetime

from mustardwood import configuration
from mustardwood.replication import precedence
from mustardwood.replication import replica_command

MIN_REPAIR_INTERVAL = datetime.timedelta(seconds=2)
"""Minimum time between two repairs of the same platform revision."""

BOOT_TIMEOUT = datetime.timedelta(seconds=1)
"""Maximum time that a starting VM waits for a neighbour's configuration."""

Commands = tuple[replica_command.ReplicaCommand, ...]
"""Commands in the order in which they are to be carried out."""


class ConfigurationReplica:
    """Keeps the document with the highest version that was received.

    Documents come from the platform and from neighbours, which are other VMs of
    the fleet. The version in force never decreases, whatever the source of a
    document. The class does no I/O: it returns commands for the agent.

    The methods have the names of transitions in `spec.configuration_protocol`.

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
        """Returns a replica that puts nothing in force until booting ends.

        Booting ends when a neighbour answers after the platform did; then the
        highest version of all documents received is put in force. Otherwise
        a platform restored to an older state, or a neighbour with an old
        document, could lower the version that this VM had in force before its
        restart.

        The caller asks a neighbour once the platform has answered, and calls
        `end_boot` when booting takes longer than `BOOT_TIMEOUT`.
        """
        replica = cls()
        replica._is_booting = True
        return replica

    @property
    def in_force(self) -> configuration.VersionedDocument | None:
        """The document in force; None before the first one."""
        return self._in_force

    def accept_platform(self, document: configuration.VersionedDocument | None,
                        revision: int, now: datetime.timedelta) -> Commands:
        """Processes the document that was read from the platform.

        Args:
            document: The platform's document; None when the key is absent.
            revision: Its revision; 0 when the key is absent.
            now: Current monotonic time.

        Returns:
            `Adopt` and `Push` if the document is newer than the one in force,
            `Repair` if it is older or absent, and nothing if both are equal.
            A repair of the same revision is repeated only after
            `MIN_REPAIR_INTERVAL`. While booting, the document is only stored.
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
        """Processes the document that a neighbour has in force.

        Args:
            document: The neighbour's document; None when it has none.
            now: Current monotonic time.

        Returns:
            `Adopt` and `Push` if the document is newer than the one in force,
            only `Push` if it is older or absent, and nothing if both are
            equal. While booting, the commands of `end_boot` if the platform
            has answered, else nothing.
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
        """Ends booting; does nothing when booting has ended already.

        Args:
            now: Current monotonic time.

        Returns:
            Commands for the neighbour's and the platform's documents received
            while booting, as of `accept_neighbour` and `accept_platform`.
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
