"""The decisions about the configuration's version."""

import datetime
import typing

import msgspec

from mustardwood import configuration


class Adopt(msgspec.Struct, frozen=True):
    """Put a document in force and pass it on.

    Attributes:
        document: The document.
    """

    document: configuration.VersionedDocument


class Repair(msgspec.Struct, frozen=True):
    """Write the document in force over an older state of the platform.

    Attributes:
        document: The document in force.
        revision: Revision that the write must find; 0 for an absent key.
    """

    document: configuration.VersionedDocument
    revision: int


Command = Adopt | Repair


class Replica(typing.Protocol):
    """One VM's copy of the configuration."""

    @property
    def in_force(self) -> configuration.VersionedDocument | None:
        """The document in force; None before the first."""

    def accept_platform(self, document: configuration.VersionedDocument | None,
                        revision: int,
                        now: datetime.timedelta) -> tuple[typing.Any, ...]:
        """Takes what the platform holds; None when it holds nothing."""

    def accept_neighbour(self, document: configuration.VersionedDocument,
                         now: datetime.timedelta) -> tuple[typing.Any, ...]:
        """Takes what another VM has in force."""


class HighestVersionReplica:
    """Keeps the highest version that it has seen.

    Examples:
        >>> import datetime
        >>> replica = HighestVersionReplica()
        >>> old = configuration.VersionedDocument(1, "a", "{}")
        >>> new = configuration.VersionedDocument(2, "b", "{}")
        >>> _ = replica.accept_neighbour(new, datetime.timedelta())
        >>> replica.accept_platform(old, 7, datetime.timedelta())
        (Repair(document=VersionedDocument(version=2, ...), revision=7),)
    """

    def __init__(self) -> None:
        self._in_force: configuration.VersionedDocument | None = None

    @property
    def in_force(self) -> configuration.VersionedDocument | None:
        """The document in force; None before the first."""
        return self._in_force

    def accept_platform(self, document: configuration.VersionedDocument | None,
                        revision: int,
                        now: datetime.timedelta) -> tuple[Command, ...]:
        """Takes what the platform holds; None when it holds nothing."""
        del now
        held = self._in_force
        if held is not None and _version(document) < held.version:
            return (Repair(held, revision),)
        return self._adopt(document)

    def accept_neighbour(self, document: configuration.VersionedDocument,
                         now: datetime.timedelta) -> tuple[Command, ...]:
        """Takes what another VM has in force."""
        del now
        return self._adopt(document)

    def _adopt(
        self, document: configuration.VersionedDocument | None
    ) -> tuple[Command, ...]:
        if document is None or document.version <= _version(self._in_force):
            return ()
        self._in_force = document
        return (Adopt(document),)


def _version(document: configuration.VersionedDocument | None) -> int:
    return 0 if document is None else document.version
