"""The report on error-budget burn."""

import msgspec

from mustardwood.reports import alert as alert_module
from mustardwood.reports import burn_window


class GroupBurn(msgspec.Struct, frozen=True):
    """The error-budget burn of a class, or of a class and organisation.

    Attributes:
        class_name: Request class.
        organisation: Organisation; empty for all organisations.
        objective: Share of requests that should meet their targets.
        windows: Burn by window, shortest first.
        budget_left: Share of the error budget of the longest window that
            remains; negative if more than the budget was spent.
        alert: Most severe alert rule whose threshold is reached; None if
            there is no alert.
        goodput: Tokens of complete answers per second over the last hour.
        first_token_p50: Median time to the first token over the last hour, in
            seconds; only for a class as a whole.
        first_token_p95: 95th percentile of the same times.
    """

    class_name: str
    organisation: str
    objective: float
    windows: tuple[burn_window.BurnWindow, ...]
    budget_left: float
    alert: alert_module.AlertRule | None = None
    goodput: float = 0.0
    first_token_p50: float = 0.0
    first_token_p95: float = 0.0


class EndpointCost(msgspec.Struct, frozen=True):
    """Missed targets and wasted tokens of an endpoint in the last hour.

    Attributes:
        endpoint: Name of the endpoint.
        asked: Number of requests whose last attempt ran there.
        missed: Number of these requests that missed their targets.
        wasted_tokens: Tokens generated there that were not part of a complete
            answer.
    """

    endpoint: str
    asked: int
    missed: int
    wasted_tokens: int


class TimelinePoint(msgspec.Struct, frozen=True):
    """Counts of one class in one minute, for plots.

    Attributes:
        minute: Start of the minute, in minutes since 1970.
        class_name: Request class.
        asked: Number of requests that ended.
        met: Number of requests that met their targets.
        useful_tokens: Tokens of complete answers.
        wasted_tokens: Tokens that were not part of a complete answer.
    """

    minute: int
    class_name: str
    asked: int
    met: int
    useful_tokens: int
    wasted_tokens: int


class BurnReport(msgspec.Struct, frozen=True):
    """The report on error-budget burn of the fleet.

    Attributes:
        made_at: Wall-clock time of the report, ISO 8601 in UTC.
        classes: Burn by class, most urgent first.
        organisations: Burn by class and organisation, smallest remaining
            budget first.
        wasted_tokens: Wasted tokens of the last hour by cause.
        useful_tokens: Tokens of complete answers of the last hour.
        refused: Number of requests of the last hour that ended in an error,
            by error code.
        endpoints: Endpoints of the last hour, most missed targets first.
        timeline: Counts by minute and class of the last hour.
        unanswered: VMs that did not answer when the report was made.
        incomplete_minutes: Missing VMs by start of the minute, for the minutes
            of the last hour whose stored counts lack VMs.
        incomplete_hours: Missing VMs by start of the hour, for the hours of
            the last three days whose stored counts lack VMs.
        storage_failed: Whether the platform's key-value service could not be
            read, so that the report has only the counts of running VMs.
    """

    made_at: str
    classes: tuple[GroupBurn, ...]
    organisations: tuple[GroupBurn, ...]
    wasted_tokens: dict[str, int]
    useful_tokens: int
    refused: dict[str, int]
    endpoints: tuple[EndpointCost, ...]
    timeline: tuple[TimelinePoint, ...]
    unanswered: tuple[str, ...] = ()
    incomplete_minutes: dict[str, tuple[str, ...]] = {}
    incomplete_hours: dict[str, tuple[str, ...]] = {}
    storage_failed: bool = False
