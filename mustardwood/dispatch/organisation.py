"""Organisations, whose callers send API keys."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Organisation:
    """A customer of the router.

    Attributes:
        name: Name of the organisation.
        api_keys: API keys of its callers.
        tier: Priority of all its requests; None to use that of the route.
    """

    name: str
    api_keys: frozenset[str]
    tier: int | None = None
