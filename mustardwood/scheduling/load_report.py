"""An endpoint's own report of its load."""

import datetime

import msgspec


class LoadReport(msgspec.Struct, frozen=True):
    """The load of an endpoint at some time in the past.

    Attributes:
        running: Requests running there, of any sender.
        queued: Requests in its own queue.
        cached_tokens: Prompt tokens in its prefix cache.
        age: How old the figures are.
    """

    running: int
    queued: int
    cached_tokens: int
    age: datetime.timedelta
