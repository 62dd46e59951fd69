"""Errors of the platform's key-value service."""

import datetime

from mustardwood.errors import mustardwood_error


class KeyValueError(mustardwood_error.MustardwoodError):
    """A call to the key-value service failed."""

    code = "key_value_error"


class UnavailableError(KeyValueError):
    """The service is unavailable, and the call had no effect."""

    code = "key_value_unavailable"


class UncertainWriteError(KeyValueError):
    """A write was sent but its response was lost; it may have taken effect."""

    code = "key_value_uncertain"


class ConflictError(KeyValueError):
    """A compare-and-swap found another revision than the expected one.

    Attributes:
        revision: Current revision of the key; 0 if the key doesn't exist.
    """

    code = "key_value_conflict"

    def __init__(self, message: str, remedy: str, revision: int) -> None:
        super().__init__(message, remedy)
        self.revision = revision


class RateLimitedError(KeyValueError):
    """The service rejected the call because of its rate limit.

    Attributes:
        retry_after: Time to wait before the next call.
    """

    code = "key_value_rate_limited"

    def __init__(self, message: str, remedy: str,
                 retry_after: datetime.timedelta) -> None:
        super().__init__(message, remedy)
        self.retry_after = retry_after


class LeaseLostError(KeyValueError):
    """The lease is unknown to the service or has expired."""

    code = "lease_lost"
