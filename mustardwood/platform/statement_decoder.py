"""Decodes what an endpoint states of itself in a response."""

from mustardwood import dispatch
from mustardwood import http1
from mustardwood.platform import brittleness_decoder
from mustardwood.platform import headers
from mustardwood.platform import pause_decoder
from mustardwood.platform import rate_limit_decoder

_IS_LEAVING = b"1"


def decode_statements(
        status: int,
        response_headers: http1.Headers) -> dispatch.EndpointStatements:
    """Returns what a response states of its endpoint.

    Args:
        status: HTTP status.
        response_headers: All headers of the response.

    Examples:
        >>> decode_statements(200, [(b"Server-Leaving", b"1")]).is_leaving
        True
        >>> decode_statements(200, [(b"Server-Leaving", b"0")]).is_leaving
        False
        >>> decode_statements(503, [(b"Server-Brittle", b"4")]).max_refusals
        4
    """
    return dispatch.EndpointStatements(
        rate=rate_limit_decoder.decode_statement(response_headers),
        is_leaving=any(name.lower() == headers.LEAVING and
                       value.strip(b" \t") == _IS_LEAVING
                       for name, value in response_headers),
        pause=pause_decoder.decode_pause(status, response_headers),
        max_refusals=brittleness_decoder.decode_max_refusals(response_headers))
