"""Objects of `dispatch` that do nothing, for modelled VMs."""

import datetime
import typing

from mustardwood import dispatch


class AllowAllAuthorizer:
    """Authorizes every request unless a denial is set.

    Attributes:
        denial: Refusal of every request; None to authorize them.
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


class SingleVersionRecord:
    """Record of services of one software version, which is not told."""

    def find_only_version(self, service: str,
                          period: datetime.timedelta) -> None:
        """See `forwarding_context.VersionRecord`."""
        del service, period

    def is_recorded(self, service: str, version: str) -> bool:
        """See `forwarding_context.VersionRecord`."""
        del service, version
        return True

    def handle_new_stream(self) -> None:
        """See `forwarding_context.VersionRecord`."""


class NullRegistrationReader:
    """Reads nothing; no stream is resumed with an unknown version."""

    def request_read(self) -> None:
        """See `dispatch.RegistrationReader`."""


class NullJournal:
    """Journal that discards all events."""

    def write(self, event: str, **fields: typing.Any) -> None:
        """See `dispatch.Journal`."""


class NullMetrics:
    """Metrics that count nothing."""

    def count_request(self, tier: int, outcome: str, status: int,
                      took: datetime.timedelta,
                      first_byte: datetime.timedelta | None) -> None:
        """See `dispatch.Metrics`."""

    def count_attempt(self, service: str, end: str) -> None:
        """See `dispatch.Metrics`."""
