"""Decodes the pause that an endpoint asks for in a response."""

import datetime
import http
import re

from mustardwood import dispatch
from mustardwood import http1
from mustardwood.platform import headers

_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}")
"""A decimal number without sign or exponent; its length keeps it finite."""
_MAX_SECONDS = dispatch.MAX_PAUSE.total_seconds()
_MAX_LOGGED_BYTES = 32
"""Length to which an invalid value is cut in the log."""


def decode_pause(status: int,
                 response_headers: http1.Headers) -> dispatch.PauseStatement:
    """Returns the pause that a response asks for.

    Only a refusal asks for one. A time beyond the longest pause is cut to it.

    Args:
        status: HTTP status.
        response_headers: All headers of the response.

    Examples:
        >>> decode_pause(503, [(b"Retry-After", b"1.5")]).duration
        datetime.timedelta(seconds=1, microseconds=500000)
        >>> decode_pause(200, [(b"Retry-After", b"1.5")]).duration is None
        True
    """
    values = [
        value.strip(b" \t")
        for name, value in response_headers
        if name.lower() == headers.RETRY_AFTER
    ]
    if status != http.HTTPStatus.SERVICE_UNAVAILABLE or not values:
        return dispatch.PauseStatement()
    if len(values) > 1:
        return dispatch.PauseStatement(
            problem="several pauses; the endpoint must state one")
    if not _DECIMAL_NUMBER.fullmatch(values[0]):
        return dispatch.PauseStatement(
            problem=f"{values[0][:_MAX_LOGGED_BYTES]!r} is not a number of "
            "seconds")
    seconds = min(float(values[0]), _MAX_SECONDS)
    return dispatch.PauseStatement(datetime.timedelta(seconds=seconds))
