"""The counts of an entry that stops."""

import msgspec


class LevelHandover(msgspec.Struct, frozen=True, tag="level_handover"):
    """Hands an entry's counts of service levels over at a planned stop.

    Attributes:
        vm: Name of the VM that stops.
        body: JSON of a `reports.LevelRecord`.
    """

    vm: str
    body: bytes
