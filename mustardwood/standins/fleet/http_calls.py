"""Blocking HTTP requests to the processes of a fleet."""

import collections.abc
import http
import json
import time
import typing
import urllib.error
import urllib.request

_REQUEST_TIMEOUT_SECONDS = 5.0
"""Timeout of one request."""

_POLL_INTERVAL_SECONDS = 0.05
"""Time between two requests that poll for a status."""


def fetch_json(url: str, body: typing.Any = None) -> typing.Any:
    """Fetches a JSON document: by GET, or by POST if `body` is given.

    Raises:
        OSError: The request failed, or the status is an error.
    """
    data = None if body is None else json.dumps(body).encode()
    headers = {"content-type": "application/json"}
    request = urllib.request.Request(url, data, headers)
    with urllib.request.urlopen(request,
                                timeout=_REQUEST_TIMEOUT_SECONDS) as response:
        return json.loads(response.read() or b"null")


def wait_for_status_ok(
    url: str,
    seconds: float,
    should_continue: collections.abc.Callable[[], bool] = lambda: True,
) -> bool:
    """Polls a URL until it answers 200.

    Args:
        url: The URL.
        seconds: How long to poll at most.
        should_continue: Polling stops early when it returns False, for
            example because the process has ended.

    Returns:
        Whether it answered 200 in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline and should_continue():
        if _is_ok(url):
            return True
        time.sleep(_POLL_INTERVAL_SECONDS)
    return False


def _is_ok(url: str) -> bool:
    try:
        with urllib.request.urlopen(
                url, timeout=_REQUEST_TIMEOUT_SECONDS) as response:
            return response.status == http.HTTPStatus.OK
    except (OSError, urllib.error.URLError):
        return False
