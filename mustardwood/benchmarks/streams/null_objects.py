"""Parts of a process that a modelled one does without."""

import datetime
import typing

from mustardwood import dispatch


class AllowAllAuthorizer:
    """Allows every request unless a denial is set.

    Attributes:
        denial: Why requests must not be sent; None if they may.
    """

    denial: dispatch.Refusal | None = None

    def find_denial(
            self, request: dispatch.ServiceRequest) -> dispatch.Refusal | None:
        """See `forwarding_context.Authorizer`."""
        del request
        return self.denial

    def describe(self) -> dict[str, typing.Any]:
        """See `forwarding_context.Authorizer`."""
        return {}


class NullJournal:
    """Writes nothing."""

    def write(self, event: str, **fields: typing.Any) -> None:
        """See `dispatch.Journal`."""


class NullMetrics:
    """Counts nothing."""

    def count_request(self, tier: int, outcome: str, status: int,
                      took: datetime.timedelta,
                      first_byte: datetime.timedelta | None) -> None:
        """See `dispatch.Metrics`."""

    def count_attempt(self, service: str, end: str) -> None:
        """See `dispatch.Metrics`."""
