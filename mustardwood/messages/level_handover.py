"""The service-level counts of an entry that is shutting down."""

import msgspec


class LevelHandover(msgspec.Struct, frozen=True, tag="level_handover"):
    """Hands over an entry's service-level counts at its graceful shutdown.

    Attributes:
        vm: Name of the VM of the entry that is shutting down.
        body: JSON of a `reports.LevelRecord`.
    """

    vm: str
    body: bytes
