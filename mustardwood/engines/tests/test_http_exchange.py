"""Tests of odd responses of endpoints to the product's own entry."""

import pytest
from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http_headers

from mustardwood import routing
from mustardwood.engines import http_exchange


class _Receiver:
    """Records the response."""

    def __init__(self):
        self.statuses = []
        self.ends = []

    def handle_head(self, status, headers):
        """Records the status."""
        del headers
        self.statuses.append(status)

    def handle_body(self, data):
        """Ignores a part of the body."""

    def handle_end(self, end):
        """Records the end."""
        self.ends.append(end)


class _Transport:
    """Records whether the connection was closed."""

    def __init__(self):
        self.is_closed = False

    def loseConnection(self):  # pylint: disable=invalid-name
        """Records the close."""
        self.is_closed = True


class _Response:
    """A response of Twisted's `Agent`."""

    def __init__(self, code):
        self.code = code
        self.headers = http_headers.Headers()
        self.transport = _Transport()

    def deliverBody(self, receiver):  # pylint: disable=invalid-name
        """Delivers an empty body."""
        receiver.makeConnection(self.transport)
        receiver.connectionLost(protocol.connectionDone if self.transport.
                                is_closed else client.ResponseDone())


def _receive(code):
    """Returns the receiver and the response with a status."""
    receiver, response = _Receiver(), _Response(code)
    exchange = http_exchange.HttpExchange(receiver, expects_events=False)
    exchange.track_response(defer.succeed(response))
    return receiver, response


@pytest.mark.parametrize("code", [0, 1, 99, 600, 999, 2000])
def test_response_with_an_invalid_status_is_malformed(code):
    # An endpoint in trouble sent the status 000, which callers got.
    receiver, response = _receive(code)
    assert not receiver.statuses
    assert receiver.ends == [routing.AttemptEnd.MALFORMED]
    assert response.transport.is_closed


def test_response_with_a_valid_status_is_delivered():
    receiver, _ = _receive(599)
    assert receiver.statuses == [599]
