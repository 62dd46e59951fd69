"""A rule that assigns a class to requests."""

import msgspec


class ClassRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Assigns a class to the requests that match all of its conditions.

    Rules are evaluated in order, and the first one that matches decides. A
    condition of None matches all requests.

    Attributes:
        assign: Name of the class.
        serves: Name of the requested model or service.
        organisation: Name of the caller's organisation.
        path_prefix: Prefix of the path of a request to a service.
        max_tokens_at_most: Maximum value of ``max_tokens`` of a completion.
    """

    assign: str
    serves: str | None = None
    organisation: str | None = None
    path_prefix: str | None = None
    max_tokens_at_most: int | None = None
