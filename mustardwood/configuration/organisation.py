"""An organisation whose requests share the endpoints."""

import msgspec


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer, identified by its API keys.

    Attributes:
        name: Unique name of the organisation.
        key_hashes: Hexadecimal SHA-256 digests of its API keys.
        weight: Relative share of a cell that the organisation gets while
            organisations compete for it.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
