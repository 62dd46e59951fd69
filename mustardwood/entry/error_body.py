"""Encodes errors in the format of OpenAI's API."""

import http
import math

import msgspec

from mustardwood import errors

_NON_RETRYABLE_CODES = (errors.RequestCode.OUTCOME_UNKNOWN,
                        errors.RequestCode.SUSPECTED_POISON,
                        errors.RequestCode.DEADLINE_EXCEEDED)
"""Errors after which a client library must not retry automatically."""


def encode_error(error: errors.RequestError, request_id: str) -> bytes:
    """Returns the JSON body of an error response.

    Args:
        error: The error.
        request_id: Id of the request.
    """
    return msgspec.json.encode({
        "error": {
            "message": str(error),
            "type": _get_error_type(error.status),
            "code": error.request_code.value,
            "param": None,
            "remedy": error.remedy,
            "ran": error.ran.value,
            "request_id": request_id,
        }
    })


def make_headers(error: errors.RequestError) -> tuple[tuple[str, str], ...]:
    """Returns the headers of an error response.

    A client library must not automatically retry a request that may have run.
    OpenAI's clients obey the header ``x-should-retry``.
    """
    headers = [("content-type", "application/json")]
    if error.retry_after is not None:
        seconds = max(1, math.ceil(error.retry_after.total_seconds()))
        headers.append(("retry-after", str(seconds)))
    if error.request_code in _NON_RETRYABLE_CODES:
        headers.append(("x-should-retry", "false"))
    if error.request_code is errors.RequestCode.UNKNOWN_KEY:
        headers.append(("www-authenticate", "Bearer"))
    return tuple(headers)


def _get_error_type(status: int) -> str:
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        return "rate_limit_error"
    if status == http.HTTPStatus.UNAUTHORIZED:
        return "authentication_error"
    if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return "server_error"
    return "invalid_request_error"
