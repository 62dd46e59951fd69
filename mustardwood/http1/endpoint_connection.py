"""The client side of an HTTP/1.1 connection to an endpoint."""

import collections.abc
import datetime
import http
import re
import typing

import h11
from twisted.internet import error as internet_error
from twisted.internet import protocol
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.http1 import body_sender
from mustardwood.http1 import confirmed_end
from mustardwood.http1 import exchange as exchange_module
from mustardwood.http1 import http_request
from mustardwood.http1 import received_bytes
from mustardwood.http1 import socket_options

_MAX_HEADER_BYTES = 64 * 1024
"""Maximum size of a response's status line and headers.

A response with a larger head is treated as malformed.
"""
_READ_BYTES = 8 * 1024
"""Number of bytes that are read before other connections have their turn.

Small chunks take up to a millisecond of processor time per kilobyte.
"""
_MAX_SHORT_BODY_BYTES = 32 * 1024
"""Size up to which an endpoint's receive buffer holds a request's body."""
_CLOSE_TIMEOUT = datetime.timedelta(milliseconds=400)
"""Time for which an endpoint may take to close its side of a connection."""
_MAX_BYTES_AFTER_CLOSE = 64 * 1024
"""Number of bytes received after a close from which a connection is reset.

It covers what was on the way; an endpoint that writes more has to fail to.
"""
_MAX_STATUS = 599
"""Largest valid status code [1]_; h11 refuses the invalid ones below 100.

References:
    .. [1] R. Fielding, M. Nottingham and J. Reschke, "HTTP Semantics", RFC
       9110, 2022, section 15.
"""
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
"""Headers of which a response without either ends with its connection."""
_MAX_REQUEST_IDS = 1000
"""Number of requests with an id after which a connection is not reused."""
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,9})")
_KEEP_ALIVE_MARGIN = datetime.timedelta(milliseconds=500)
"""Time before the endpoint's idle timeout at which reuse stops."""
_DEFAULT_MAX_IDLE_TIME = datetime.timedelta(seconds=4)
"""Maximum idle time before reuse; a Keep-Alive header may only shorten it."""


class EndpointConnection(confirmed_end.ConfirmedEndProtocol):
    """Runs one exchange at a time.

    The connection may be reused only if the response was complete and no
    unexpected bytes followed it.

    It carries each request id once. An endpoint may send a response twice, the
    second time late. While the same id is under way again, the copy could not
    be told from the response to it.

    Attributes:
        idle_since: Monotonic time at which the last exchange ended.
        max_idle_time: Idle time up to which the connection may be reused.
        number: Number of the connection, unique in its pool, for the log.
        is_relayed: Whether it leads through another VM.
    """

    transport: typing.Any

    def __init__(
            self,
            clock: timing.Clock,
            scheduler: dispatch.Scheduler,
            on_idle: collections.abc.Callable[["EndpointConnection"], None],
            on_lost: collections.abc.Callable[["EndpointConnection"], None],
            first_exchange: exchange_module.Exchange,
            response_memory: dispatch.ResponseMemory,
            number: int = 0,
            is_relayed: bool = False,
            on_write: collections.abc.Callable[[], None] = lambda: None,
            on_data: collections.abc.Callable[[], None] = lambda: None) -> None:
        self.is_relayed = is_relayed
        self._on_write = on_write
        self._on_data = on_data
        self.number = number
        self._request_ids: set[int] = set()
        self._clock = clock
        self._scheduler = scheduler
        self._response_memory = response_memory
        self._unparsed_bytes = 0
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._first_exchange: exchange_module.Exchange | None = first_exchange
        self._exchange: exchange_module.Exchange | None = None
        self._http = h11.Connection(h11.CLIENT, _MAX_HEADER_BYTES)
        self._sent_events: list[h11.Event] = []
        self._body_sender: body_sender.BodySender | None = None
        self._received = received_bytes.ReceivedBytes(
            first_exchange.max_body_bytes)
        self._data = bytearray()
        self._is_discarding = False
        self._is_closed = False
        self._is_lost = False
        self._is_reset = False
        self._has_ended_sending = False
        self._opened_at: datetime.timedelta | None = None
        self._bytes_after_close = 0
        self._on_closed: list[exchange_module.OnClosed] = []
        self._close_timer: dispatch.Timer | None = None
        self._send_timeout = socket_options.UNREACHABLE_TIMEOUT
        self.idle_since = clock.monotonic()
        self.max_idle_time = _DEFAULT_MAX_IDLE_TIME

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may be started."""
        return not self._is_closed and self._exchange is None

    def is_open_since(self, time: datetime.timedelta) -> bool:
        """Returns whether the connection is open since a monotonic time."""
        return (self._opened_at is not None and self._opened_at <= time and
                not (self._is_lost or self._is_reset))

    def has_carried(self, request_id: bytes) -> bool:
        """Returns whether a request with an id was written before.

        Args:
            request_id: The id; empty for a request without one.
        """
        return hash(request_id) in self._request_ids

    def connectionMade(self) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        self._opened_at = self._clock.monotonic()
        socket_options.configure_socket(self.transport, self._send_timeout)
        self.transport.bufferSize = _READ_BYTES
        # The connection outlives the exchange, whose request has a body.
        exchange, self._first_exchange = self._first_exchange, None
        if exchange is None or exchange.is_finished:
            self.abort()
        else:
            self.start(exchange)

    def start(self, exchange: exchange_module.Exchange) -> None:
        """Sends the request of an exchange, unless it is held back."""
        request = exchange.request
        self._set_send_timeout(len(request.body))
        headers = list(request.headers)
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        self._sent_events = [
            h11.Request(method=request.method.encode("latin-1"),
                        target=request.target.encode("latin-1"),
                        headers=headers)
        ]
        if request.body:
            self._sent_events.append(
                h11.Data(data=request.body))  # type: ignore[arg-type]
        self._sent_events.append(h11.EndOfMessage())
        self._received = received_bytes.ReceivedBytes(exchange.max_body_bytes)
        self._data.clear()
        self._exchange = exchange
        exchange.connection_number = self.number
        exchange.attach(self, is_connected=True)
        if not exchange.before_write():
            self.write_request()

    def write_request(self) -> None:
        """Writes the request of the exchange, unless the exchange has ended."""
        exchange = self._exchange
        if exchange is None or exchange.is_finished or exchange.is_written:
            return
        exchange.is_written = True
        self._on_write()
        if exchange.request_id:
            # Callers choose the ids, which may be long.
            self._request_ids.add(hash(exchange.request_id))
        request = exchange.request
        parts = [
            part for each in self._sent_events
            for part in self._http.send_with_data_passthrough(each) or ()
        ]
        if len(request.body) > body_sender.SLICE_BYTES:
            self.transport.write(b"".join(
                each for each in parts if each is not request.body))
            self._body_sender = body_sender.BodySender(self.transport,
                                                       request.body)
            self._body_sender.start()
        else:
            self.transport.write(b"".join(parts))

    def _set_send_timeout(self, body_bytes: int) -> None:
        """Lets an endpoint read a long body slowly."""
        timeout = (socket_options.SLOW_READER_TIMEOUT
                   if body_bytes > _MAX_SHORT_BODY_BYTES else
                   socket_options.UNREACHABLE_TIMEOUT)
        if timeout != self._send_timeout:
            self._send_timeout = timeout
            socket_options.set_send_timeout(self.transport, timeout)

    def dataReceived(self, data: bytes) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        self._on_data()
        if self._exchange is None:
            # Data that arrives without an exchange belongs to no request.
            self._handle_unexpected_data(len(data))
            return
        if not self._exchange.is_written:
            self._fail("data before the request", is_reset=True)
            return
        self._received.add_received(len(data))
        self._unparsed_bytes += len(data)
        self._http.receive_data(data)
        self._read_events()

    def connectionLost(  # pylint: disable=invalid-name
            self,
            reason: failure.Failure = protocol.connectionDone) -> None:
        """See `protocol.Protocol`."""
        is_clean = reason.check(internet_error.ConnectionDone) is not None
        self._is_closed = self._is_lost = True
        self._response_memory.release(self)
        if (self._exchange is not None and self._exchange.is_written and
                is_clean and not self._has_ended_sending):
            # A response without a length ends when the connection closes. An
            # endpoint closes it, too, when it drops the request.
            self._http.receive_data(b"")
            self._read_events()
        exchange, self._exchange = self._exchange, None
        self._on_lost(self)
        if exchange is not None:
            exchange.fail("connection closed" if is_clean else
                          f"connection lost: {reason.getErrorMessage()}")
        if not self._is_reset:
            self._report_closed(True)

    def abort(self) -> None:
        """Closes the connection immediately."""
        self._exchange = None
        self._reset()

    def close(self, on_closed: exchange_module.OnClosed) -> None:
        """See `Exchange.close`."""
        if self._is_lost and not self._is_reset:
            on_closed(True)
            return
        self._on_closed.append(on_closed)
        self._exchange = None
        self._end_sending()
        if self._close_timer is None:
            self._close_timer = self._scheduler.call_later(
                _CLOSE_TIMEOUT, self._handle_close_timeout)

    def end_sending(self) -> None:
        """See `Exchange.end_sending`."""
        if not self._is_closed:
            self._is_closed = self._has_ended_sending = True
            socket_options.end_sending(self.transport)

    def release_memory(self) -> None:
        """See `response_memory.Holder`."""
        self._fail("no memory left for the response", is_reset=True)

    def pause(self) -> None:
        """Stops reading until `resume` is called or the exchange ends."""
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Reads again."""
        self.transport.resumeProducing()

    def _read_events(self) -> None:
        while self._exchange is not None:
            excess = self._received.find_excess()
            if excess:
                self._fail(excess, is_reset=True)
                return
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._deliver_data()
                self._fail(f"not an answer: {error}",
                           is_reset=error.error_status_hint ==
                           http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
                return
            if isinstance(event, h11.Data):
                self._unparsed_bytes = 0
                self._handle_data(event.data)
                continue
            self._deliver_data()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                excess = self._received.find_framing_excess()
                if excess:
                    self._fail(excess, is_reset=True)
                else:
                    self._response_memory.hold(self, self._unparsed_bytes)
                return
            self._unparsed_bytes = 0
            if isinstance(event, h11.Response):
                self._handle_head(event)
            elif isinstance(event, h11.InformationalResponse):
                self._received.add_informational_response()
            elif isinstance(event, h11.EndOfMessage):
                self._handle_end()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _handle_head(self, event: h11.Response) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        if event.status_code > _MAX_STATUS:
            self._fail(f"not an answer: status {event.status_code}")
            return
        headers: http_request.Headers = event.headers.raw_items()
        if not exchange.listener.accepts(event.status_code, headers):
            self._is_discarding = True
            exchange.discarded_responses += 1
            self._received.add_discarded_response()
            return
        for name, value in event.headers:
            if name == b"keep-alive":
                self._apply_keep_alive(value)
        exchange.is_close_delimited = not any(
            name in _FRAMING_HEADERS for name, _ in event.headers)
        exchange.listener.receive_head(event.status_code, headers)

    def _handle_data(self, data: bytes | bytearray) -> None:
        if self._is_discarding:
            self._received.add_discarded(len(data))
        else:
            self._received.add_body(len(data))
            self._data += data

    def _deliver_data(self) -> None:
        """Passes on the data of all chunks that were received together."""
        exchange = self._exchange
        if exchange is not None and self._data:
            data = bytes(self._data)
            self._data.clear()
            exchange.listener.receive_data(data)

    def _apply_keep_alive(self, value: bytes) -> None:
        found = _KEEP_ALIVE_TIMEOUT.search(value)
        if found is not None:
            seconds = datetime.timedelta(seconds=int(found.group(1)))
            self.max_idle_time = min(_DEFAULT_MAX_IDLE_TIME,
                                     seconds - _KEEP_ALIVE_MARGIN)

    def _handle_end(self) -> None:
        if self._is_discarding:
            self._expect_next_response()
            return
        exchange, self._exchange = self._exchange, None
        self._response_memory.release(self)
        if exchange is None:
            return
        is_sent = self._body_sender is None or self._body_sender.is_done
        # An idle connection does not keep the last body.
        self._sent_events = []
        self._body_sender = None
        if self._is_closed or not is_sent or not self._may_carry_another():
            self._is_closed = True
            self.transport.abortConnection()
        else:
            self._http.start_next_cycle()
            self.resume()
            self.idle_since = self._clock.monotonic()
            self._on_idle(self)
        exchange.complete()

    def _may_carry_another(self) -> bool:
        """Returns whether another request may follow a complete response."""
        trailing, _ = self._http.trailing_data
        return (not trailing and len(self._request_ids) < _MAX_REQUEST_IDS and
                self._http.our_state is h11.DONE and
                self._http.their_state is h11.DONE)

    def _expect_next_response(self) -> None:
        """Prepares to read the next response after a discarded one.

        The HTTP state is created again, as if the request had just been sent.
        """
        self._is_discarding = False
        if self._http.their_state is not h11.DONE:
            self._fail("an answer to another request ended the connection")
            return
        trailing, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT, _MAX_HEADER_BYTES)
        for event in self._sent_events:
            self._http.send_with_data_passthrough(event)
        if trailing:
            self._http.receive_data(trailing)

    def _reset(self) -> None:
        """Resets the connection unless it is reset or lost."""
        self._is_closed = True
        self._response_memory.release(self)
        if not (self._is_reset or self._is_lost):
            self._is_reset = True
            socket_options.close_at_once(self.transport)

    def _end_sending(self) -> None:
        """Closes the sending direction unless the connection is closed.

        The endpoint closes the other one when it has ended its work.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self._response_memory.release(self)
        self.transport.resumeProducing()
        socket_options.end_sending(self.transport)
        self._close_timer = self._scheduler.call_later(
            _CLOSE_TIMEOUT, self._handle_close_timeout)

    def _handle_close_timeout(self) -> None:
        self._close_timer = None
        self._reset()
        self._report_closed(False)

    def _report_closed(self, is_closed_by_endpoint: bool) -> None:
        if self._close_timer is not None:
            self._close_timer.cancel()
            self._close_timer = None
        callbacks, self._on_closed = self._on_closed, []
        for each in callbacks:
            each(is_closed_by_endpoint)

    def _handle_unexpected_data(self, count: int) -> None:
        """Handles data that belongs to no exchange."""
        self._bytes_after_close += count
        if (not self._is_closed or
                self._bytes_after_close > _MAX_BYTES_AFTER_CLOSE):
            self._reset()

    def _fail(self, reason: str, is_reset: bool = False) -> None:
        """Ends the exchange because of what the endpoint has sent.

        Args:
            reason: Cause of the failure, for the log.
            is_reset: Whether the connection is reset at once.
        """
        exchange, self._exchange = self._exchange, None
        was_closed = self._is_closed
        if is_reset:
            self._reset()
        else:
            self._end_sending()
        if exchange is not None:
            exchange.is_response_invalid = not was_closed
            exchange.fail(reason)
