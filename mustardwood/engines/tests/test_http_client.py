"""Tests of `HttpClient` without the TLS libraries."""

import subprocess
import sys

import pytest

_TIMEOUT_SECONDS = 30
_PROGRAM = """
import sys
sys.modules["OpenSSL"] = None
from twisted.internet import reactor
from mustardwood import configuration, engines, routing

class Receiver:
    def handle_end(self, end):
        print(end.name)

endpoint = configuration.Endpoint("e", "m", "https://127.0.0.1:1", "z", "r")
call = routing.StartAttempt("r", 1, "a", endpoint, "POST", "/", (), b"", True)
engines.HttpClient(reactor).start_attempt(call, Receiver())
"""


@pytest.mark.processes
def test_an_https_endpoint_is_unreachable_without_tls():
    done = subprocess.run([sys.executable, "-c", _PROGRAM],
                          capture_output=True,
                          text=True,
                          timeout=_TIMEOUT_SECONDS,
                          check=False)
    assert done.stdout.strip() == "NOT_SENT", done.stderr
    assert "endpoints_tls" in done.stderr
