"""Statistics about one request."""

import datetime
import http
import typing

import msgspec

from mustardwood import errors
from mustardwood import reports
from mustardwood.routing import attempt as attempt_module
from mustardwood.routing import caller_request
from mustardwood.routing import request_kind
from mustardwood.routing import routing_context
from mustardwood.routing import waste_cause

_CANCELLED = "cancelled"


class RequestStatistics:
    """Updates the metrics and the service level counters for one request."""

    def __init__(self, request: caller_request.CallerRequest,
                 context: routing_context.RoutingContext) -> None:
        self._request = request
        self._context = context
        self._first_token_at: datetime.timedelta | None = None

    def record_first_token(self, now: datetime.timedelta) -> None:
        """Records the time of the first token.

        The first tokens of later attempts are ignored.
        """
        if self._first_token_at is None:
            self._first_token_at = now
            self._context.metrics.observe_first_token(
                self._request.request_class.name,
                now - self._request.arrived_at)

    def record_complete_response(self, attempt: attempt_module.Attempt,
                                 tokens: int, now: datetime.timedelta) -> None:
        """Counts a complete response, and whether it met the latency targets.

        A model engine's error response is counted as a refusal.

        Args:
            attempt: The last attempt, which completed the response.
            tokens: Number of tokens of the response, over all attempts.
            now: Monotonic time.
        """
        if self._is_engine_error(attempt):
            code = errors.RequestCode.ENDPOINT_REFUSED.value
            self._record_refusal(code, attempt.endpoint.name)
            return
        self.record_first_token(now)
        self._record_end(attempt.endpoint.name,
                         whole=1,
                         met=int(self._meets_targets(attempt)),
                         useful_tokens=tokens)
        self._context.metrics.count_tokens(self._request.request_class.name,
                                           tokens)

    def record_cancellation(self, endpoint: str,
                            now: datetime.timedelta) -> None:
        """Counts a caller that disconnected when its first token was overdue.

        An earlier disconnect is not counted, as the latency target could still
        have been met.
        """
        target = self._request.request_class.first_token_target
        late = now - self._request.arrived_at > target
        if self._first_token_at is None and late:
            self._record_end(endpoint, refused={_CANCELLED: 1})

    def discard_first_token(self) -> None:
        """Discards the time of a first token that no caller received."""
        self._first_token_at = None

    def record_retry(self) -> None:
        """Counts a retry."""
        self._context.metrics.count_retry(self._request.request_class.name)

    def record_error(self, error: errors.RequestError, endpoint: str) -> None:
        """Counts a request that ended with an error."""
        self._record_refusal(error.request_code.value, endpoint)

    def record_waste(self, cause: waste_cause.WasteCause, tokens: int,
                     endpoint: str) -> None:
        """Counts generated tokens that were wasted."""
        self._context.recorder.add_waste(self._make_row(endpoint), cause,
                                         tokens)
        self._context.metrics.count_waste(self._request.request_class.name,
                                          cause.value, tokens)

    def _record_refusal(self, code: str, endpoint: str) -> None:
        self._record_end(endpoint, refused={code: 1})
        self._context.metrics.count_refusal(self._request.request_class.name,
                                            code)

    def _is_engine_error(self, attempt: attempt_module.Attempt) -> bool:
        failed = attempt.status >= http.HTTPStatus.BAD_REQUEST
        service = self._request.kind is request_kind.RequestKind.SERVICE
        return failed and not service

    def _meets_targets(self, attempt: attempt_module.Attempt) -> bool:
        target = self._request.request_class
        assert self._first_token_at is not None
        first = self._first_token_at - self._request.arrived_at
        if first > target.first_token_target:
            return False
        if self._request.kind is request_kind.RequestKind.SERVICE:
            return True
        inter_token_time = attempt.mean_inter_token_time
        return (inter_token_time is None or
                inter_token_time <= target.inter_token_target)

    def _record_end(self, endpoint: str, **counts: typing.Any) -> None:
        row = msgspec.structs.replace(self._make_row(endpoint),
                                      asked=1,
                                      **counts)
        self._context.recorder.add_row(row)
        if self._first_token_at is not None:
            self._context.recorder.add_first_token(
                row.minute, row.class_name,
                self._first_token_at - self._request.arrived_at)

    def _make_row(self, endpoint: str) -> reports.LevelRow:
        minute = self._context.recorder.compute_minute(
            self._context.clock.now())
        return reports.LevelRow(minute, self._request.request_class.name,
                                self._request.organisation, endpoint)
