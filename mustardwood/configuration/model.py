"""A language model that callers can request."""

import msgspec


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model served by one or more endpoints.

    Attributes:
        name: Name that callers send.
        max_output_tokens: Maximum length of a response, in tokens.
    """

    name: str
    max_output_tokens: int = 4096
