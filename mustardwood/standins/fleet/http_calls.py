"""Blocking HTTP calls of a fleet's owner."""

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


def wait_for_status_ok(url: str, seconds: float) -> bool:
    """Polls a URL; returns whether it answered 200 within `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
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
