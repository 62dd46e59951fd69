"""Tests of truncated, misdirected and malformed responses of endpoints."""

import pytest
from twisted.internet import error as internet_error
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import http1
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.http1 import endpoint_connection
from mustardwood.http1.tests import fake_transport

ms = harness_module.ms
_HEAD = b"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\n"


class _Listener:

    def __init__(self, request_id=b"mine"):
        self.request_id = request_id
        self.status = None
        self.body = b""
        self.end = None

    def accepts(self, status, headers):
        """Returns whether the response carries the id of the request."""
        del status
        return (b"Id", self.request_id) in headers

    def receive_head(self, status, headers):
        """Records the status."""
        del headers
        self.status = status

    def receive_data(self, data):
        """Records a part of the body."""
        self.body += data

    def receive_end(self):
        """Records the end."""
        assert self.end is None
        self.end = "complete"

    def receive_failure(self, was_sent, reason):
        """Records a failure."""
        assert self.end is None
        assert was_sent
        self.end = reason


class _Harness:

    def __init__(self, body=b"body"):
        self.idle = []
        self.lost = []
        self._body = body
        self.listener = _Listener()
        self.exchange = self._make_exchange(self.listener)
        self.response_memory = dispatch.ResponseMemory()
        clock = timing.ManualClock()
        self.scheduler = harness_module.FakeScheduler(clock)
        self.connection = endpoint_connection.EndpointConnection(
            clock, self.scheduler, self.idle.append, self.lost.append,
            self.exchange, self.response_memory)
        self.transport = fake_transport.FakeTransport()
        self.connection.makeConnection(self.transport)

    def _make_exchange(self, listener):
        return http1.Exchange(
            http1.HttpRequest("POST", "/a", [(b"Host", b"h")], self._body),
            listener)

    def set_body(self, body):
        """Sets the body of the next requests."""
        self._body = body

    def start_next(self, request_id=b"mine"):
        """Starts another exchange on the same connection."""
        self.listener = _Listener(request_id)
        self.exchange = self._make_exchange(self.listener)
        self.connection.start(self.exchange)

    def receive(self, data):
        """Delivers received bytes to the connection."""
        self.connection.dataReceived(data)

    def disconnect(self, kind):
        """Reports the loss of the connection."""
        self.connection.connectionLost(failure.Failure(kind))


def test_request_carries_its_content_length():
    harness = _Harness()
    sent = harness.transport.pop_written()
    assert sent.endswith(b"\r\n\r\nbody")
    assert b"content-length: 4" in sent.lower()


def test_connection_is_reused_after_a_complete_response():
    harness = _Harness()
    harness.receive(_HEAD % b"mine" + b"data")
    assert (harness.listener.body, harness.listener.end) == (b"data",
                                                             "complete")
    assert harness.idle == [harness.connection]
    harness.start_next()
    harness.receive(_HEAD % b"mine" + b"more")
    assert harness.listener.body == b"more"


def test_extra_response_after_the_first_closes_the_connection():
    harness = _Harness()
    harness.receive(_HEAD % b"mine" + b"data" + _HEAD % b"mine" + b"data")
    assert harness.listener.body == b"data"
    assert harness.transport.closed == "reset"
    assert not harness.idle


def test_data_between_exchanges_closes_the_connection():
    harness = _Harness()
    harness.receive(_HEAD % b"mine" + b"data")
    harness.receive(b"HTTP/1.1 200 OK\r\n")
    assert harness.transport.closed == "reset"


def test_response_to_another_request_is_discarded():
    harness = _Harness()
    harness.receive(_HEAD % b"other" + b"evil" + _HEAD % b"mine" + b"data")
    assert (harness.listener.body, harness.listener.end) == (b"data",
                                                             "complete")


def test_response_to_another_request_is_discarded_when_received_bytewise():
    harness = _Harness()
    for byte in _HEAD % b"other" + b"evil" + _HEAD % b"mine" + b"data":
        harness.receive(bytes([byte]))
    assert (harness.listener.body, harness.listener.end) == (b"data",
                                                             "complete")


def test_discarded_responses_are_counted():
    harness = _Harness()
    harness.receive(2 * (_HEAD % b"other" + b"them") + _HEAD % b"mine" +
                    b"body")
    assert harness.exchange.discarded_responses == 2


def test_truncated_response_is_a_failure():
    harness = _Harness()
    harness.receive(_HEAD % b"mine" + b"da")
    harness.disconnect(internet_error.ConnectionDone())
    assert harness.listener.end != "complete"


def test_response_without_length_is_complete_at_a_clean_close():
    harness = _Harness()
    harness.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\n\r\ndata")
    assert harness.listener.end is None
    harness.disconnect(internet_error.ConnectionDone())
    assert (harness.listener.body, harness.listener.end) == (b"data",
                                                             "complete")


def test_only_a_response_without_length_and_chunks_is_close_delimited():
    for framing, expected in ((b"", True), (b"Content-Length: 9\r\n", False),
                              (b"Transfer-Encoding: chunked\r\n", False)):
        harness = _Harness()
        harness.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\n%s\r\n" % framing)
        assert harness.exchange.is_close_delimited == expected


def test_response_without_length_fails_at_a_reset():
    harness = _Harness()
    harness.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\n\r\ndata")
    harness.disconnect(internet_error.ConnectionLost())
    assert harness.listener.end not in (None, "complete")


def test_malformed_response_is_a_failure():
    harness = _Harness()
    harness.receive(b"\x00\x01garbage\r\n\r\n")
    assert harness.listener.end not in (None, "complete")
    assert harness.transport.closed == "written"
    assert not harness.connection.is_usable
    harness.scheduler.advance(ms(400))
    assert harness.transport.closed == "reset"


def test_closed_exchange_ends_when_its_endpoint_closes_the_connection():
    harness = _Harness()
    closed = []
    harness.exchange.close(closed.append)
    assert harness.transport.closed == "written"
    harness.receive(_HEAD % b"mine")
    assert not closed and harness.listener.status is None
    harness.disconnect(internet_error.ConnectionDone)
    assert closed == [True]
    harness.scheduler.advance(ms(1000))
    assert closed == [True]
    assert harness.listener.end is None


def test_endpoint_that_notices_the_close_late_is_reset():
    harness = _Harness()
    closed = []
    harness.exchange.close(closed.append)
    harness.scheduler.advance(ms(390))
    assert not closed
    harness.scheduler.advance(ms(10))
    assert closed == [False]
    assert harness.transport.closed == "reset"
    harness.disconnect(internet_error.ConnectionAborted)
    assert closed == [False]


def test_endpoint_that_writes_on_after_the_close_is_reset():
    """Its next write fails, and tells it that its caller has left."""
    harness = _Harness()
    closed = []
    harness.exchange.close(closed.append)
    for _ in range(9):
        harness.receive(bytes(8 * 1024))
    assert harness.transport.closed == "reset"
    harness.disconnect(internet_error.ConnectionAborted)
    assert not closed
    harness.scheduler.advance(ms(400))
    assert closed == [False]


def test_exchange_whose_connection_was_lost_is_closed_at_once():
    harness = _Harness()
    harness.disconnect(internet_error.ConnectionLost)
    closed = []
    harness.exchange.close(closed.append)
    assert closed == [True]


def test_response_goes_on_after_the_end_of_sending():
    harness = _Harness()
    harness.receive((_HEAD % b"mine") + b"da")
    harness.exchange.end_sending()
    assert harness.transport.closed == "written"
    harness.receive(b"ta")
    assert (harness.listener.body, harness.listener.end) == (b"data",
                                                             "complete")
    assert not harness.idle


def test_response_without_length_is_lost_at_a_close_after_the_end_of_sending():
    """The endpoint may have closed because it has dropped the request."""
    harness = _Harness()
    harness.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\n\r\ndata")
    harness.exchange.end_sending()
    harness.disconnect(internet_error.ConnectionDone())
    assert harness.listener.end == "connection closed"


def test_exchange_that_ended_sending_is_closed_in_time():
    harness = _Harness()
    closed = []
    harness.exchange.end_sending()
    harness.exchange.close(closed.append)
    harness.scheduler.advance(ms(400))
    assert closed == [False]
    assert harness.transport.closed == "reset"


def test_connection_closed_by_the_endpoint_is_not_reused():
    harness = _Harness()
    harness.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\n"
                    b"Content-Length: 0\r\n\r\n")
    assert harness.listener.end == "complete"
    assert not harness.idle


def test_keep_alive_header_limits_the_idle_time():
    harness = _Harness()
    harness.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\nKeep-Alive: timeout=2\r\n"
                    b"Content-Length: 0\r\n\r\n")
    assert harness.connection.max_idle_time.total_seconds() == 1.5


def test_aborted_exchange_receives_no_further_events():
    harness = _Harness()
    harness.exchange.abort()
    harness.disconnect(internet_error.ConnectionLost())
    assert harness.listener.end is None
    assert harness.transport.closed == "reset"


def test_connection_whose_reading_was_paused_is_read_again_when_reused():
    harness = _Harness()
    harness.exchange.pause()
    assert harness.transport.producerState == "paused"
    harness.receive(_HEAD % b"mine" + b"data")
    assert harness.listener.end == "complete"
    assert harness.transport.producerState == "producing"


def test_only_bytes_that_are_no_answer_make_a_response_invalid():
    harness = _Harness()
    harness.receive(b"\x00\x01garbage\r\n\r\n")
    assert harness.exchange.is_response_invalid
    for kind in (internet_error.ConnectionDone, internet_error.ConnectionLost):
        harness = _Harness()
        harness.disconnect(kind())
        assert harness.listener.end is not None
        assert not harness.exchange.is_response_invalid


def test_keep_alive_header_beyond_any_time_is_no_failure():
    harness = _Harness()
    harness.receive(b"HTTP/1.1 200 OK\r\nId: mine\r\nKeep-Alive: timeout=" +
                    b"9" * 5000 + b"\r\nContent-Length: 0\r\n\r\n")
    assert harness.listener.end == "complete"
    assert harness.connection.max_idle_time.total_seconds() == 4.0


def test_refusal_that_is_written_again_is_no_response_to_the_next_request():
    refusal = (b"HTTP/1.1 503 Service Unavailable\r\nId: mine\r\n"
               b"Mustardwood-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull")
    harness = _Harness()
    harness.receive(refusal)
    assert harness.listener.status == 503
    harness.start_next(b"next")
    harness.receive(refusal)
    assert (harness.listener.status, harness.listener.end) == (None, None)
    harness.receive(_HEAD % b"next" + b"data")
    assert (harness.listener.status, harness.listener.body,
            harness.listener.end) == (200, b"data", "complete")


def test_repeated_refusal_that_ends_the_connection_is_a_failure_after_the_send(
):
    harness = _Harness()
    harness.receive(
        b"HTTP/1.1 503 Full\r\nId: mine\r\nContent-Length: 0\r\n\r\n")
    harness.start_next(b"next")
    harness.receive(b"HTTP/1.1 503 Full\r\nId: mine\r\nConnection: close\r\n"
                    b"Content-Length: 0\r\n\r\n")
    harness.disconnect(internet_error.ConnectionDone())
    assert harness.listener.status is None
    assert harness.listener.end not in (None, "complete")


@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n", b""])
def test_response_that_is_closed_inside_its_head_is_a_failure(framing):
    head = b"HTTP/1.1 200 OK\r\nId: mine\r\n%sDate: now\r\n\r\n" % framing
    for length in range(len(head)):
        harness = _Harness()
        harness.receive(head[:length])
        harness.disconnect(internet_error.ConnectionDone())
        assert harness.listener.status is None
        assert harness.listener.end not in (None, "complete")


_LONG_BODY = bytes(range(256)) * 4096
"""A body that is longer than what a transport should buffer."""


def _pause_after(harness, count):
    """Lets the transport pause its producer after a number of bytes."""
    transport, write = harness.transport, harness.transport.write

    def write_and_pause(data):
        write(data)
        if len(transport.value()) >= count and transport.producer is not None:
            transport.producer.pauseProducing()

    transport.write = write_and_pause


def test_long_body_is_written_as_the_endpoint_reads():
    """Each request with a long body took its size once more in a buffer."""
    harness = _Harness(_LONG_BODY)
    harness.receive(_HEAD % b"mine" + b"body")
    assert harness.transport.value().endswith(_LONG_BODY)
    assert harness.transport.producer is None
    assert harness.idle
    harness.transport.clear()
    _pause_after(harness, 300_000)
    harness.start_next()
    assert 300_000 <= len(harness.transport.value()) < 400_000
    while harness.transport.producer is not None:
        harness.transport.producer.resumeProducing()
    assert harness.transport.value().endswith(_LONG_BODY)


def test_connection_is_closed_if_the_answer_comes_before_the_body_was_sent():
    """The next request would be read as the rest of the body."""
    harness = _Harness()
    harness.receive(_HEAD % b"mine" + b"body")
    harness.idle.clear()
    _pause_after(harness, 300_000)
    harness.set_body(_LONG_BODY)
    harness.start_next()
    harness.receive(_HEAD % b"mine" + b"body")
    assert harness.listener.end == "complete"
    assert harness.transport.closed == "reset"
    assert not harness.idle


def test_head_without_end_is_counted_until_it_is_cut_off():
    harness = _Harness()
    harness.connection.dataReceived(b"HTTP/1.1 200 OK\r\nId: mine\r\nLong: ")
    harness.connection.dataReceived(b"x" * 40_000)
    assert harness.response_memory.held_bytes > 40_000
    harness.connection.release_memory()
    assert harness.transport.closed == "reset"
    assert harness.listener.end == "no memory left for the response"
    assert harness.response_memory.held_bytes == 0


@pytest.mark.parametrize("received", [b"", b"HTTP/1.1 200 OK\r\nId: mi"])
def test_connection_that_ends_before_the_head_fails_the_exchange(received):
    """A transport has no socket any more when its connection is lost."""
    harness = _Harness()
    harness.connection.dataReceived(received)
    harness.transport.getHandle = None
    harness.connection.connectionLost(
        failure.Failure(internet_error.ConnectionDone()))
    assert harness.listener.end.startswith("not an answer")


def test_exchange_may_be_aborted_by_what_its_lost_connection_delivers():
    harness = _Harness()
    harness.connection.dataReceived(b"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nab")
    harness.transport.getHandle = None
    harness.listener.receive_end = harness.exchange.abort
    harness.connection.connectionLost(
        failure.Failure(internet_error.ConnectionDone()))
    assert harness.listener.body == b"ab"


@pytest.mark.parametrize("status", [
    b"000", b"001", b"099", b"600", b"999", b"0", b"00", b"20", b"2000", b"+20",
    b"-00", b"2x0", b"", b"\xd9\xa2\xd9\xa0\xd9\xa0"
])
def test_response_with_an_invalid_status_is_none(status):
    # An endpoint in trouble sent the status 000, which callers got.
    harness = _Harness()
    harness.receive(b"HTTP/1.1 " + status + b" Odd\r\nId: mine\r\n"
                    b"Content-Length: 4\r\n\r\nbody")
    assert harness.listener.status is None
    assert harness.listener.end.startswith("not an answer")
    assert not harness.idle
