"""The error that a caller gets."""

import datetime
import http

from mustardwood.errors import mustardwood_error
from mustardwood.errors import request_code
from mustardwood.errors import run_state

_HTTP_STATUSES = {
    request_code.RequestCode.MALFORMED_BODY:
        http.HTTPStatus.BAD_REQUEST,
    request_code.RequestCode.WRONG_TYPE:
        http.HTTPStatus.BAD_REQUEST,
    request_code.RequestCode.BODY_TOO_LARGE:
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    request_code.RequestCode.HEADERS_TOO_LARGE:
        http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    request_code.RequestCode.REQUEST_TIMEOUT:
        http.HTTPStatus.REQUEST_TIMEOUT,
    request_code.RequestCode.UNKNOWN_KEY:
        http.HTTPStatus.UNAUTHORIZED,
    request_code.RequestCode.UNKNOWN_PATH:
        http.HTTPStatus.NOT_FOUND,
    request_code.RequestCode.UNKNOWN_MODEL:
        http.HTTPStatus.NOT_FOUND,
    request_code.RequestCode.UNKNOWN_SERVICE:
        http.HTTPStatus.NOT_FOUND,
    request_code.RequestCode.UNKNOWN_CLASS:
        http.HTTPStatus.BAD_REQUEST,
    request_code.RequestCode.BAD_IDEMPOTENCY_KEY:
        http.HTTPStatus.BAD_REQUEST,
    request_code.RequestCode.KEY_REUSED:
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
    request_code.RequestCode.NOT_READY:
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    request_code.RequestCode.SHED:
        http.HTTPStatus.TOO_MANY_REQUESTS,
    request_code.RequestCode.DEADLINE_EXCEEDED:
        http.HTTPStatus.GATEWAY_TIMEOUT,
    request_code.RequestCode.NO_ENDPOINT:
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    request_code.RequestCode.SUSPECTED_POISON:
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
    request_code.RequestCode.IN_PROGRESS:
        http.HTTPStatus.CONFLICT,
    request_code.RequestCode.CLAIM_UNAVAILABLE:
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    request_code.RequestCode.ENDPOINT_FAILED:
        http.HTTPStatus.BAD_GATEWAY,
    request_code.RequestCode.ENDPOINT_REFUSED:
        http.HTTPStatus.BAD_GATEWAY,
    request_code.RequestCode.INCOMPLETE_ANSWER:
        http.HTTPStatus.BAD_GATEWAY,
    request_code.RequestCode.OUTCOME_UNKNOWN:
        http.HTTPStatus.BAD_GATEWAY,
}


class RequestError(mustardwood_error.MustardwoodError):
    """The final response to a request that can't get a complete response.

    Attributes:
        request_code: Reason of the error, for programs.
        ran: Whether the request may have run on an endpoint.
        retry_after: Time after which the caller should retry; None if a retry
            doesn't help.
        status: HTTP status of the response.
    """

    code = "request_error"

    def __init__(
        self,
        code: request_code.RequestCode,
        message: str,
        remedy: str,
        *,
        ran: run_state.RunState = run_state.RunState.NOT_RUN,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        super().__init__(message, remedy)
        self.request_code = code
        self.ran = ran
        self.retry_after = retry_after
        self.status = _HTTP_STATUSES[code]
