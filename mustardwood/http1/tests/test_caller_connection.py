"""Tests of connections from callers: framing, limits and timeouts."""

import dataclasses
import datetime

import pytest

from mustardwood import dispatch
from mustardwood import http1
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.http1.tests import fake_transport

ms = harness_module.ms
_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class _Handler:

    def __init__(self):
        self.limits = http1.ConnectionLimits(
            max_header_bytes=1000,
            max_body_bytes=100,
            header_timeout=datetime.timedelta(seconds=3),
            idle_timeout=datetime.timedelta(seconds=15))
        self.stopping = False
        self.body_budget = http1.BodyBudget(1000)
        self.response_memory = dispatch.ResponseMemory()
        self.chunk_turns = None
        self.requests = []
        self.connections = set()
        self.unanswered_bytes = []

    def get_limits(self):
        """Returns the limits."""
        return self.limits

    def get_body_budget(self):
        """Returns the room for bodies."""
        return self.body_budget

    def get_response_memory(self):
        """Returns the bound on the buffers of responses."""
        return self.response_memory

    def get_chunk_turns(self):
        """Returns the turns in which connections decode chunks."""
        return self.chunk_turns

    def is_stopping(self):
        """Returns whether connections close after their next response."""
        return self.stopping

    def handle_request(self, request, writer):
        """Records the request."""
        self.requests.append((request, writer))

    def add_connection(self, connection):
        """Records an open connection."""
        self.connections.add(connection)

    def remove_connection(self, connection, reason):
        """Removes a connection from the record."""
        assert reason
        self.connections.discard(connection)
        self.unanswered_bytes.append(connection.unanswered_bytes)


class _Harness:

    def __init__(self):
        self.handler = _Handler()
        self.scheduler = harness_module.FakeScheduler(timing.ManualClock())
        self.handler.chunk_turns = http1.ChunkTurns(self.scheduler)
        self.connection = http1.CallerConnection(self.handler, self.scheduler)
        self.transport = fake_transport.FakeTransport()
        self.connection.makeConnection(self.transport)

    def receive(self, data):
        """Delivers received bytes to the connection."""
        self.connection.dataReceived(data)

    def respond(self, body=b"ok"):
        """Responds to the last request and returns the bytes sent."""
        _, writer = self.handler.requests[-1]
        writer.begin(200, [], len(body))
        writer.write(body)
        writer.finish()
        return self.transport.pop_written()


def test_connection_is_reused_for_the_next_request():
    harness = _Harness()
    for _ in range(3):
        harness.receive(_REQUEST)
        assert harness.respond().endswith(b"ok")
    assert len(harness.handler.requests) == 3
    assert not harness.transport.closed


def _make_post(length):
    return (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
            b"%d\r\n\r\n" % length)


@pytest.mark.parametrize("data", [
    _make_post(80),
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"50\r\n" + b"x" * 80 + b"\r\n"
])
def test_body_without_room_is_refused_as_not_run(data):
    """All bodies together exceeded the memory, and the process was killed."""
    harness = _Harness()
    harness.handler.body_budget.take(950)
    harness.receive(data)
    response = harness.transport.pop_written()
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 0.50" in response.lower()
    assert b"connection: close" in response.lower()
    assert not harness.handler.requests
    assert harness.handler.body_budget.taken_bytes == 950


def test_body_is_freed_when_the_response_has_ended():
    """Requests stay in memory until the garbage collection; bodies may not."""
    harness = _Harness()
    harness.receive(_make_post(80) + b"x" * 80 + _REQUEST)
    request, _ = harness.handler.requests[0]
    assert request.body == b"x" * 80
    harness.respond()
    assert not request.body
    assert len(harness.handler.requests) == 2


def test_body_takes_room_until_the_response_has_ended():
    """A request may be sent again, so its body is kept as long."""
    harness = _Harness()
    harness.receive(_make_post(80))
    assert harness.handler.body_budget.taken_bytes == 80
    harness.receive(b"x" * 80)
    assert harness.handler.body_budget.taken_bytes == 80
    harness.respond()
    assert harness.handler.body_budget.taken_bytes == 0


def _make_pair(rest_seconds):
    """Returns a connection that waits for a body, and one that needs room."""
    waiting, other = _Harness(), _Harness()
    budget = waiting.handler.body_budget = other.handler.body_budget = (
        http1.BodyBudget(100))
    for each in (waiting, other):
        each.transport = fake_transport.FakeTransport()
        each.connection = http1.CallerConnection(each.handler, each.scheduler)
        each.connection.makeConnection(each.transport)
    waiting.receive(_make_post(80) + b"x" * 79)
    waiting.scheduler.advance(datetime.timedelta(seconds=rest_seconds))
    return waiting, other, budget


def test_unfinished_body_loses_its_room_to_others_after_a_time():
    """Bodies that never ended kept all others from being received."""
    waiting, other, budget = _make_pair(rest_seconds=2.1)
    other.receive(_make_post(30) + b"x" * 30)
    assert waiting.transport.pop_written().startswith(b"HTTP/1.1 503 ")
    assert len(other.handler.requests) == 1
    assert (budget.taken_bytes, budget.drops) == (30, 1)


def test_unfinished_body_keeps_its_room_while_there_is_enough():
    waiting, other, budget = _make_pair(rest_seconds=10)
    other.receive(_make_post(20) + b"x" * 20)
    waiting.receive(b"x")
    assert len(waiting.handler.requests) == len(other.handler.requests) == 1
    assert budget.drops == 0


def test_growing_body_that_offers_its_room_returns_what_it_took():
    harness = _Harness()
    harness.handler.body_budget.take(950)
    harness.receive(b"POST /a HTTP/1.1\r\nHost: h\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                    b"20\r\n" + b"x" * 32 + b"\r\n")
    harness.scheduler.advance(ms(3000))
    harness.receive(b"20\r\n" + b"x" * 32 + b"\r\n")
    assert harness.transport.pop_written().startswith(b"HTTP/1.1 503 ")
    assert harness.handler.body_budget.taken_bytes == 950


@pytest.mark.parametrize("rest_seconds, is_complete", [(1.9, False),
                                                       (10, True)])
def test_body_in_time_or_complete_keeps_its_room(rest_seconds, is_complete):
    waiting, other, _ = _make_pair(rest_seconds)
    if is_complete:
        waiting.receive(b"x")
    other.receive(_make_post(30) + b"x" * 30)
    assert not waiting.transport.pop_written()
    assert other.transport.pop_written().startswith(b"HTTP/1.1 503 ")


@pytest.mark.parametrize("received", [0, 40, 80])
def test_lost_connection_returns_the_room_of_its_body(received):
    """Room that is never returned would let the VM refuse all bodies."""
    harness = _Harness()
    harness.receive(_make_post(80) + b"x" * received)
    harness.connection.connectionLost()
    assert harness.handler.body_budget.taken_bytes == 0


def test_reset_of_a_response_returns_the_room_of_the_body():
    """The connection is lost later, and must not return it again."""
    harness = _Harness()
    harness.receive(_make_post(80) + b"x" * 80)
    harness.handler.requests[0][1].abort()
    harness.connection.connectionLost()
    assert harness.handler.body_budget.taken_bytes == 0


def test_pipelined_request_is_answered_although_the_process_stops():
    """A response that closes the connection would leave it unanswered."""
    harness = _Harness()
    harness.receive(_REQUEST + _REQUEST)
    harness.handler.stopping = True
    assert b"connection: close" not in harness.respond().lower()
    assert len(harness.handler.requests) == 2
    assert b"connection: close" in harness.respond().lower()
    assert harness.transport.closed


def test_chunked_body_is_decoded():
    harness = _Harness()
    harness.receive(b"POST /a HTTP/1.1\r\nHost: h\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
    assert not harness.handler.requests
    harness.receive(b"1\r\nc\r\n0\r\n\r\n")
    assert harness.handler.requests[0][0].body == b"abc"


def test_expect_100_continue_is_answered_with_status_100():
    harness = _Harness()
    harness.receive(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    b"Expect: 100-continue\r\n\r\n")
    assert harness.transport.pop_written().startswith(b"HTTP/1.1 100 ")
    harness.receive(b"abc")
    assert harness.handler.requests[0][0].body == b"abc"


@pytest.mark.parametrize("head", [
    b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    b"Content-Length: 5\r\nContent-Length: 6\r\n",
    b"Content-Length: -1\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Content-Length : 5\r\n",
])
def test_ambiguous_framing_is_rejected_and_the_connection_closed(head):
    harness = _Harness()
    harness.receive(b"POST /a HTTP/1.1\r\nHost: h\r\n" + head +
                    b"\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
    assert not harness.handler.requests
    response = harness.transport.pop_written()
    assert response.startswith(b"HTTP/1.1 400 ") or response.startswith(
        b"HTTP/1.1 501 ")
    assert b"connection: close" in response.lower()
    assert harness.transport.closed


def test_oversized_headers_and_body_are_rejected():
    harness = _Harness()
    harness.receive(b"GET /a HTTP/1.1\r\nX: " + b"x" * 2000)
    assert harness.transport.pop_written().startswith(b"HTTP/1.1 431 ")
    harness = _Harness()
    harness.receive(
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" +
        b"x" * 101)
    assert harness.transport.pop_written().startswith(b"HTTP/1.1 413 ")
    assert not harness.handler.requests


def test_headers_that_exceed_the_timeout_get_status_408():
    harness = _Harness()
    harness.receive(b"GET /a HT")
    harness.scheduler.advance(ms(3000))
    assert harness.transport.pop_written().startswith(b"HTTP/1.1 408 ")


def test_idle_connection_is_closed_without_a_response():
    harness = _Harness()
    harness.receive(_REQUEST)
    harness.respond()
    harness.scheduler.advance(ms(14_999))
    assert not harness.transport.closed
    harness.scheduler.advance(ms(1))
    assert harness.transport.closed == "closed"
    assert not harness.transport.pop_written()


def test_connection_is_closed_after_its_response_during_shutdown():
    harness = _Harness()
    harness.receive(_REQUEST)
    harness.handler.stopping = True
    assert b"connection: close" in harness.respond().lower()
    assert harness.transport.closed == "written"


def test_pipelined_request_waits_for_the_previous_response():
    harness = _Harness()
    harness.receive(_REQUEST + _REQUEST)
    assert len(harness.handler.requests) == 1
    harness.respond()
    assert len(harness.handler.requests) == 2


def test_disconnect_of_the_caller_is_reported_once():
    harness = _Harness()
    harness.receive(_REQUEST)
    disconnects = []
    _, writer = harness.handler.requests[0]
    writer.set_disconnect_callback(lambda: disconnects.append(True))
    harness.connection.connectionLost()
    writer.begin(200, [], 2)
    writer.finish()
    assert disconnects == [True]
    assert not harness.handler.connections


def test_aborted_response_resets_the_connection():
    harness = _Harness()
    harness.receive(_REQUEST)
    _, writer = harness.handler.requests[0]
    writer.begin(200, [], None)
    writer.write(b"part")
    writer.abort()
    assert harness.transport.closed == "reset"
    assert not harness.transport.pop_written().endswith(b"0\r\n\r\n")


def test_bytes_of_unanswered_requests_are_reported_when_a_connection_ends():
    for received, unanswered in ((_REQUEST, 0), (_REQUEST[:9], 9),
                                 (_REQUEST + _REQUEST, len(_REQUEST)),
                                 (b"GET / HTTP/0.9\r\n\r\n", 0)):
        harness = _Harness()
        harness.receive(received)
        harness.connection.connectionLost()
        assert harness.handler.unanswered_bytes == [unanswered]


def test_request_after_a_response_that_began_before_the_stop_is_handled():
    harness = _Harness()
    harness.receive(_REQUEST)
    _, writer = harness.handler.requests[0]
    writer.begin(200, [], 2)
    harness.handler.stopping = True
    harness.receive(_REQUEST)
    writer.write(b"ok")
    writer.finish()
    assert len(harness.handler.requests) == 2
    assert b"connection: close" in harness.respond().lower()
    assert harness.transport.closed == "written"


def test_last_response_is_not_cut_while_it_is_being_sent():
    harness = _Harness()
    harness.receive(_REQUEST)
    harness.handler.stopping = True
    harness.respond()
    assert not harness.connection.is_idle
    harness.scheduler.advance(ms(5000))
    assert harness.transport.closed == "written"
    harness.connection.writeConnectionLost()
    harness.scheduler.advance(ms(1000))
    assert harness.transport.closed == "closed"


def test_caller_that_disconnects_early_is_reset_and_a_finished_one_closed():
    harness = _Harness()
    harness.receive(_REQUEST)
    harness.connection.readConnectionLost()
    assert harness.transport.closed == "reset"
    harness = _Harness()
    harness.receive(_REQUEST)
    harness.respond()
    harness.connection.readConnectionLost()
    assert harness.transport.closed == "closed"


def test_idle_timeout_follows_a_raised_limit():
    harness = _Harness()
    harness.receive(_REQUEST)
    harness.respond()
    harness.scheduler.advance(ms(10_000))
    harness.handler.limits = dataclasses.replace(
        harness.handler.limits, idle_timeout=datetime.timedelta(seconds=20))
    harness.scheduler.advance(ms(9_999))
    assert not harness.transport.closed
    harness.scheduler.advance(ms(1))
    assert harness.transport.closed == "closed"


def test_waiting_request_is_read_before_an_idle_connection_is_closed():
    harness = _Harness()
    harness.receive(_REQUEST)
    harness.respond()
    harness.connection.close()
    harness.receive(_REQUEST)
    harness.scheduler.advance(ms(1))
    assert not harness.transport.closed
    assert harness.respond().endswith(b"ok")


def test_many_pipelined_bytes_pause_reading_and_keep_the_open_response():
    harness = _Harness()
    harness.receive(_REQUEST)
    pipelined = _REQUEST * 50_000
    assert len(pipelined) > 1024 * 1024
    sent = 0
    while harness.transport.producerState == "producing":
        harness.receive(pipelined[sent:sent + 4096])
        sent += 4096
        assert sent < len(pipelined)
    count = sent // len(_REQUEST)
    for _ in range(count):
        assert harness.respond().endswith(b"ok")
    assert len(harness.handler.requests) == count + 1
    assert harness.transport.producerState == "producing"
    assert not harness.transport.closed


def test_many_pipelined_requests_that_are_answered_at_once_are_all_answered():
    harness = _Harness()
    answered = []

    def answer(request, writer):
        answered.append(request)
        writer.begin(401, [], 0)
        writer.finish()

    harness.handler.handle_request = answer
    harness.receive(_REQUEST * 2000)
    assert len(answered) == 2000


def test_response_to_a_slow_caller_is_paused_until_it_has_been_read():
    harness = _Harness()
    harness.receive(_REQUEST)
    _, writer = harness.handler.requests[0]
    calls = []
    writer.set_flow_callbacks(lambda: calls.append("pause"),
                              lambda: calls.append("resume"))
    writer.begin(200, [], None)
    harness.transport.producer.pauseProducing()
    harness.transport.producer.resumeProducing()
    assert calls == ["pause", "resume"]


def test_next_request_waits_until_the_previous_response_has_been_read():
    harness = _Harness()
    harness.receive(_REQUEST + _REQUEST)
    harness.transport.producer.pauseProducing()
    harness.respond()
    assert len(harness.handler.requests) == 1
    harness.receive(_REQUEST * 3000)
    assert harness.transport.producerState == "paused"
    assert len(harness.handler.requests) == 1
    harness.transport.producer.resumeProducing()
    assert len(harness.handler.requests) == 2


@pytest.mark.parametrize("begin, part, status", [
    (b"GET /a HTTP/1.1\r\nHost: h\r\n", b"Name: value\r\n", 431),
    (b"GET /", b"a", 431),
    (b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", b"0",
     431),
    (b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
     b"0\r\n", b"Name: value\r\n", 431),
    (b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
     b"1\r\nx\r\n", 413),
    (b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
     b"1;" + b"e" * 900 + b"\r\nx\r\n", 413),
])
def test_request_without_end_is_refused(begin, part, status):
    harness = _Harness()
    harness.receive(begin)
    sent_bytes = 0
    while not harness.transport.closed and sent_bytes < 1_000_000:
        harness.receive(part)
        sent_bytes += len(part)
    assert sent_bytes <= 10 * 1024
    assert harness.transport.pop_written().startswith(b"HTTP/1.1 %d " % status)
    assert not harness.handler.requests


def test_chunks_of_one_byte_and_many_requests_on_a_connection_are_allowed():
    harness = _Harness()
    for _ in range(300):
        harness.receive(b"POST /a HTTP/1.1\r\nHost: h\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(100):
            harness.receive(b"1\r\nx\r\n")
        harness.receive(b"0\r\n\r\n" + _REQUEST * 20)
        harness.scheduler.advance(ms(0))
        for _ in range(21):
            harness.respond()
    assert len(harness.handler.requests) == 300 * 21
    assert not harness.transport.closed


def _wait_for_turn():
    """Returns a connection whose next chunk completes its request in a turn."""
    harness = _Harness()
    harness.handler.chunk_turns.record(10_000)
    harness.receive(b"POST /a HTTP/1.1\r\nHost: h\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                    b"1\r\nx\r\n0\r\n\r\n")
    assert not harness.handler.requests
    assert harness.transport.producerState == "paused"
    return harness


def test_request_in_chunks_is_refused_if_too_many_wait_for_their_turn():
    harness = _Harness()
    turns = harness.handler.chunk_turns
    turns.record(10_000)
    while turns.wait(lambda: None):
        pass
    harness.receive(b"POST /a HTTP/1.1\r\nHost: h\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
    response = harness.transport.pop_written()
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in response


def test_connection_is_read_again_after_it_has_waited_for_its_turn():
    harness = _wait_for_turn()
    harness.scheduler.advance(ms(0))
    assert len(harness.handler.requests) == 1
    assert harness.transport.producerState == "producing"


def test_chunks_of_a_caller_that_has_left_are_not_decoded():
    """What had arrived before kept closed connections open for a long time."""
    harness = _wait_for_turn()
    harness.transport.is_closed_by_peer = True
    harness.scheduler.advance(ms(0))
    assert harness.transport.closed == "reset"
    assert not harness.handler.requests


def test_request_whose_connection_is_lost_before_its_turn_is_not_handled():
    harness = _wait_for_turn()
    harness.connection.connectionLost()
    harness.scheduler.advance(ms(0))
    assert not harness.handler.requests


def test_caller_that_reads_too_slowly_is_closed_when_memory_is_short():
    harness = _Harness()
    harness.receive(_REQUEST)
    _, writer = harness.handler.requests[-1]
    harness.connection.pauseProducing()
    writer.begin(200, [], None)
    writer.write(b"x" * 100_000)
    assert harness.handler.response_memory.held_bytes >= 100_000
    harness.connection.resumeProducing()
    assert harness.handler.response_memory.held_bytes == 0
    harness.connection.pauseProducing()
    writer.write(b"x" * dispatch.response_memory.DEFAULT_MAX_BYTES)
    assert harness.transport.closed == "reset"
