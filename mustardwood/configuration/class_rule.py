"""A rule that assigns requests to a class."""

import msgspec


class ClassRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Assigns a class to the requests that match all of its conditions.

    Rules are tried in order; the first match decides. A condition left out
    matches everything.

    Attributes:
        assign: Name of the class.
        serves: Name of the model or service asked for.
        organisation: Name of the caller's organisation.
        path_prefix: Start of a plain service's path.
        max_tokens_at_most: Largest ``max_tokens`` of a completion.
    """

    assign: str
    serves: str | None = None
    organisation: str | None = None
    path_prefix: str | None = None
    max_tokens_at_most: int | None = None
