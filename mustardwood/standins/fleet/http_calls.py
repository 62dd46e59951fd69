"""Blocking HTTP calls of a fleet's owner."""

import collections.abc
import http
import json
import time
import typing
import urllib.error
import urllib.request

_CALL_SECONDS = 5.0
"""Bound on one call."""

_POLL_SECONDS = 0.05
"""Pause between two calls while something is awaited."""


def fetch_json(url: str, body: typing.Any = None) -> typing.Any:
    """Gets a JSON document, or posts `body` when it is given.

    Raises:
        OSError: The call failed, or its status is an error.
    """
    data = None if body is None else json.dumps(body).encode()
    headers = {"content-type": "application/json"}
    request = urllib.request.Request(url, data, headers)
    with urllib.request.urlopen(request, timeout=_CALL_SECONDS) as response:
        return json.loads(response.read() or b"null")


def wait_for_status_ok(
    url: str,
    seconds: float,
    should_continue: collections.abc.Callable[[], bool] = lambda: True,
) -> bool:
    """Polls a URL until it answers 200.

    Args:
        url: The URL.
        seconds: Bound on the wait.
        should_continue: Tells whether the wait still makes sense.

    Returns:
        Whether it answered 200 in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline and should_continue():
        if _is_ok(url):
            return True
        time.sleep(_POLL_SECONDS)
    return False


def _is_ok(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=_CALL_SECONDS) as response:
            return response.status == http.HTTPStatus.OK
    except (OSError, urllib.error.URLError):
        return False
