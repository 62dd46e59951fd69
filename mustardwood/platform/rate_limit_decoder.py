"""Decodes the rate limit that an endpoint states in a response."""

import re

from mustardwood import dispatch
from mustardwood import http1
from mustardwood.platform import headers

_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}")
"""A decimal number without sign or exponent; its length keeps it finite."""
_MAX_LOGGED_BYTES = 32
"""Length to which an invalid value is cut in the log."""


def decode_statement(response_headers: http1.Headers) -> dispatch.RateStatement:
    """Returns what a response states of its endpoint's rate limit.

    Args:
        response_headers: All headers of the response.

    Examples:
        >>> decode_statement([(b"Server-Limit", b"2.3")])
        RateStatement(limit=2.3, problem='')
        >>> decode_statement([]).limit is None
        True
    """
    values = [
        value for name, value in response_headers
        if name.lower() == headers.RATE_LIMIT
    ]
    if not values:
        return dispatch.RateStatement()
    if len(values) > 1:
        return dispatch.RateStatement(
            problem="several rate limits; the endpoint must state one")
    value = values[0].strip(b" \t")
    if not _DECIMAL_NUMBER.fullmatch(value):
        return dispatch.RateStatement(
            problem=f"{value[:_MAX_LOGGED_BYTES]!r} is not a decimal number")
    return dispatch.RateStatement(float(value))
