"""An organisation whose requests share the endpoints."""

import msgspec


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer, known by its API keys.

    Attributes:
        name: Unique name.
        key_hashes: Hexadecimal SHA-256 digests of the API keys.
        weight: Relative share of a cell under contention.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
