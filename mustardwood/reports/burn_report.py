"""The report on service-level burn."""

import msgspec

from mustardwood.reports import alert as alert_module
from mustardwood.reports import burn_window


class GroupBurn(msgspec.Struct, frozen=True):
    """The burn of one class, or of one class and organisation.

    Attributes:
        class_name: Request class.
        organisation: Organisation; empty for all together.
        objective: Share of requests that should meet their targets.
        windows: Burn by window, the shortest first.
        budget_left: Share of the error budget of the longest window that is
            left; negative when overspent.
        alert: Rule that is fulfilled; None for no alert.
        goodput: Tokens of whole answers per second over the last hour.
        first_token_p50: Median time to the first token over the last hour, in
            seconds; only for a class as a whole.
        first_token_p95: 95th percentile, likewise.
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
    """What an endpoint cost over the last hour.

    Attributes:
        endpoint: Name of the endpoint.
        asked: Requests that ended there.
        missed: Requests that missed their targets there.
        wasted_tokens: Tokens that no caller got in a whole answer.
    """

    endpoint: str
    asked: int
    missed: int
    wasted_tokens: int


class TimelinePoint(msgspec.Struct, frozen=True):
    """Attainment of one class in one minute, for plots.

    Attributes:
        minute: Start of the minute, in minutes since 1970.
        class_name: Request class.
        asked: Requests that ended.
        met: Requests that met their targets.
        useful_tokens: Tokens of whole answers.
        wasted_tokens: Tokens that no caller got in a whole answer.
    """

    minute: int
    class_name: str
    asked: int
    met: int
    useful_tokens: int
    wasted_tokens: int


class BurnReport(msgspec.Struct, frozen=True):
    """The report.

    Attributes:
        made_at: Wall-clock time of the report, ISO 8601 in UTC.
        classes: Burn by class, the most urgent first.
        organisations: Burn by class and organisation, the worst first.
        wasted_tokens: Tokens of the last hour by cause of waste.
        useful_tokens: Tokens of whole answers of the last hour.
        refused: Refusals of the last hour by code.
        endpoints: Endpoints of the last hour, the costliest first.
        timeline: Attainment by minute of the last hour.
        unanswered: VMs that did not answer now.
        incomplete_minutes: Minutes of the last hour whose stored counts miss a
            VM, with the missing VMs.
        incomplete_hours: Hours of the last three days, likewise.
        storage_failed: Whether the platform's service could not be read, so
            that only the counts of running VMs are in the report.
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
