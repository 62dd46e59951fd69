"""An organisation whose callers show API keys."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Organisation:
    """A customer.

    Attributes:
        name: Its name.
        api_keys: Its keys.
        tier: Rank of all its requests; None for that of the route.
    """

    name: str
    api_keys: frozenset[str]
    tier: int | None = None
