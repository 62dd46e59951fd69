"""Failures of the platform's key-value service."""

import datetime

from mustardwood.errors import mustardwood_error


class KeyValueError(mustardwood_error.MustardwoodError):
    """The key-value service did not carry out a call."""

    code = "key_value_error"


class UnavailableError(KeyValueError):
    """The service can't be reached, and the call had no effect."""

    code = "key_value_unavailable"


class UncertainWriteError(KeyValueError):
    """A write was sent but its answer was lost; it may have taken effect."""

    code = "key_value_uncertain"


class ConflictError(KeyValueError):
    """A compare-and-swap found another revision than it expected.

    Attributes:
        revision: The key's present revision; 0 when the key is absent.
    """

    code = "key_value_conflict"

    def __init__(self, message: str, remedy: str, revision: int) -> None:
        super().__init__(message, remedy)
        self.revision = revision


class RateLimitedError(KeyValueError):
    """The service refused the call because of its rate limit.

    Attributes:
        retry_after: How long to wait before the next call.
    """

    code = "key_value_rate_limited"

    def __init__(self, message: str, remedy: str,
                 retry_after: datetime.timedelta) -> None:
        super().__init__(message, remedy)
        self.retry_after = retry_after


class LeaseLostError(KeyValueError):
    """The lease is unknown to the service or has expired."""

    code = "lease_lost"
