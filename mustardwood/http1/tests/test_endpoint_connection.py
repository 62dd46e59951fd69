"""Endpoints that break off, answer late, or send what is no answer."""

from twisted.internet import error as internet_error
from twisted.python import failure

from mustardwood import http1
from mustardwood import timing
from mustardwood.http1 import endpoint_connection
from mustardwood.http1.tests import fake_transport

_HEAD = b"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\n"


class _Listener:

    def __init__(self, own_id=b"mine"):
        self.own_id = own_id
        self.status = None
        self.body = b""
        self.end = None

    def accepts(self, status, headers):
        """Returns whether the id is that of the request."""
        del status
        return (b"Id", self.own_id) in headers

    def receive_head(self, status, headers):
        """Takes the head."""
        del headers
        self.status = status

    def receive_data(self, data):
        """Takes a part of the body."""
        self.body += data

    def receive_end(self):
        """Takes the end."""
        assert self.end is None
        self.end = "complete"

    def receive_failure(self, was_sent, reason):
        """Takes a failure."""
        assert self.end is None
        assert was_sent
        self.end = reason


class _Case:

    def __init__(self):
        self.idle = []
        self.lost = []
        self.listener = _Listener()
        self.exchange = self._make_exchange(self.listener)
        self.connection = endpoint_connection.EndpointConnection(
            timing.ManualClock(), self.idle.append, self.lost.append,
            self.exchange)
        self.transport = fake_transport.FakeTransport()
        self.connection.makeConnection(self.transport)

    def _make_exchange(self, listener):
        return http1.Exchange(
            http1.HttpRequest("POST", "/a", [(b"Host", b"h")], b"body"),
            listener)

    def start_next(self):
        """Starts another exchange on the same connection."""
        self.listener = _Listener()
        self.exchange = self._make_exchange(self.listener)
        self.connection.start(self.exchange)

    def receive(self, data):
        """Delivers bytes."""
        self.connection.dataReceived(data)

    def lose(self, kind):
        """Ends the connection."""
        self.connection.connectionLost(failure.Failure(kind))


def test_request_is_framed_by_its_length():
    case = _Case()
    sent = case.transport.take()
    assert sent.endswith(b"\r\n\r\nbody")
    assert b"content-length: 4" in sent.lower()


def test_sound_connection_is_used_again():
    case = _Case()
    case.receive(_HEAD % b"mine" + b"data")
    assert (case.listener.body, case.listener.end) == (b"data", "complete")
    assert case.idle == [case.connection]
    case.start_next()
    case.receive(_HEAD % b"mine" + b"more")
    assert case.listener.body == b"more"


def test_second_answer_in_the_same_bytes_ends_the_connection():
    case = _Case()
    case.receive(_HEAD % b"mine" + b"data" + _HEAD % b"mine" + b"data")
    assert case.listener.body == b"data"
    assert case.transport.closed == "reset"
    assert not case.idle


def test_bytes_between_exchanges_end_the_connection():
    case = _Case()
    case.receive(_HEAD % b"mine" + b"data")
    case.receive(b"HTTP/1.1 200 OK\r\n")
    assert case.transport.closed == "reset"


def test_answer_to_another_request_is_skipped():
    case = _Case()
    case.receive(_HEAD % b"other" + b"evil" + _HEAD % b"mine" + b"data")
    assert (case.listener.body, case.listener.end) == (b"data", "complete")


def test_answer_to_another_request_in_pieces_is_skipped():
    case = _Case()
    for byte in _HEAD % b"other" + b"evil" + _HEAD % b"mine" + b"data":
        case.receive(bytes([byte]))
    assert (case.listener.body, case.listener.end) == (b"data", "complete")


def test_short_answer_is_a_failure():
    case = _Case()
    case.receive(_HEAD % b"mine" + b"da")
    case.lose(internet_error.ConnectionDone())
    assert case.listener.end != "complete"


def test_answer_without_length_ends_with_its_connection():
    case = _Case()
    case.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\n\r\ndata")
    assert case.listener.end is None
    case.lose(internet_error.ConnectionDone())
    assert (case.listener.body, case.listener.end) == (b"data", "complete")


def test_reset_is_no_end_of_an_answer_without_length():
    case = _Case()
    case.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\n\r\ndata")
    case.lose(internet_error.ConnectionLost())
    assert case.listener.end not in (None, "complete")


def test_garbage_is_a_failure():
    case = _Case()
    case.receive(b"\x00\x01garbage\r\n\r\n")
    assert case.listener.end not in (None, "complete")
    assert case.transport.closed == "reset"


def test_connection_that_the_endpoint_ends_is_not_kept():
    case = _Case()
    case.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\n"
                 b"Content-Length: 0\r\n\r\n")
    assert case.listener.end == "complete"
    assert not case.idle


def test_named_idle_time_bounds_reuse():
    case = _Case()
    case.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\nKeep-Alive: timeout=2\r\n"
                 b"Content-Length: 0\r\n\r\n")
    assert case.connection.longest_idle.total_seconds() == 1.5


def test_aborted_exchange_hears_nothing_more():
    case = _Case()
    case.exchange.abort()
    case.lose(internet_error.ConnectionLost())
    assert case.listener.end is None
    assert case.transport.closed == "reset"
