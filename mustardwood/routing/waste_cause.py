"""Causes of wasted tokens."""

import enum


class WasteCause(enum.StrEnum):
    """The cause for which generated tokens were not used.

    `RETRIED` are tokens of attempts after which the request started over,
    `CANCELLED` those of a request whose callers disconnected, `CUT` those of a
    request that ended with an error, and `RESUMED` those held back at the end
    of a failed attempt, which the resumed attempt generates again.
    """

    RETRIED = "retried"
    CANCELLED = "cancelled"
    CUT = "cut"
    RESUMED = "resumed"
