"""Load that an endpoint reports about itself."""

import datetime

import msgspec


class LoadReport(msgspec.Struct, frozen=True):
    """The load of an endpoint at a time in the past.

    Attributes:
        running: Number of running requests, from all senders.
        queued: Number of requests in the endpoint's own queue.
        cached_tokens: Number of prompt tokens in its prefix cache.
        age: Time since the figures were measured.
    """

    running: int
    queued: int
    cached_tokens: int
    age: datetime.timedelta
