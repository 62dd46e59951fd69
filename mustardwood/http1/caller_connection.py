"""The server side of an HTTP/1.1 connection from a caller."""

import collections.abc
import datetime
import http
import re
import typing

import h11
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from zope import interface

from mustardwood import dispatch
from mustardwood.http1 import chunk_decoder
from mustardwood.http1 import http_request
from mustardwood.http1 import request_handler
from mustardwood.http1 import response_writer
from mustardwood.http1 import socket_options

_BUFFER_BYTES = 16 * 1024
"""Bytes of a response to send beyond which its endpoint is not read."""
_RECEIVE_BUFFER_BYTES = 64 * 1024
"""Received bytes that the system holds for a connection that is not read."""
_LINGER_TIMEOUT = datetime.timedelta(seconds=1)
"""Time after the last byte sent for which received data is discarded.

Closing a socket that has unread data resets the connection, and the caller
could lose the response.
"""
_MAX_PIPELINED_BYTES = 64 * 1024
"""Number of bytes received behind an open response at which reading pauses."""
_MAX_BYTES_PER_BODY_BYTE = 8
"""Bytes received for each byte of a body; chunks of one byte take six."""
_BODY_TIME = datetime.timedelta(seconds=2)
"""Time for receiving a body, after which others may take its room."""
_OVERLOAD_RETRY_AFTER = datetime.timedelta(milliseconds=500)
"""Time in which other requests end and make room."""
_HEAD_END = re.compile(rb"\n\r?\n")
_HEAD_END_BYTES = 3
"""Maximum length of the lines' ends that end a head."""
_MAX_HEADERS_PER_REQUEST = 3
"""Maximum size of the rest of a request, in sizes of the largest headers.

These are the headers, the trailers and one line of a chunk.
"""


@interface.implementer(interfaces.IHalfCloseableProtocol,
                       interfaces.IPushProducer)
class CallerConnection(protocol.Protocol):
    """Receives requests one after the other and sends the responses.

    Pipelined requests are buffered until the previous response is complete
    and sent.

    It is the producer of the bytes of a response, which the transport pauses
    while the caller reads more slowly than the response arrives.

    Attributes:
        unanswered_bytes: Number of bytes received of requests that were neither
            handled nor refused.
    """

    transport: typing.Any

    def __init__(self, handler: request_handler.RequestHandler,
                 scheduler: dispatch.Scheduler) -> None:
        self._handler = handler
        self._scheduler = scheduler
        limits = handler.get_limits()
        self._http = h11.Connection(h11.SERVER, limits.max_header_bytes)
        self._unparsed = bytearray()
        self._last_head_bytes = b""
        self._missing_bytes = 0
        self._chunks: chunk_decoder.ChunkDecoder | None = None
        self._chunk_turns = handler.get_chunk_turns()
        self._is_waiting_for_turn = False
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._body_budget = handler.get_body_budget()
        self._taken_bytes = 0
        self._body_timer: dispatch.Timer | None = None
        self._response_memory = handler.get_response_memory()
        self._unsent_bytes = 0
        self._writer: response_writer.ResponseWriter | None = None
        self._timer: dispatch.Timer | None = None
        self._is_receiving = False
        self._is_lingering = False
        self._is_paused = False
        self._is_reading = False
        self._idle_timeout = datetime.timedelta()
        self.unanswered_bytes = 0
        self._is_full = False
        self._is_producer = False
        self._is_lost = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is received or handled and no response is sent."""
        return (self._writer is None and self._request is None and
                not self._is_receiving and not self._is_lingering)

    def connectionMade(self) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        socket_options.configure_socket(self.transport,
                                        socket_options.SLOW_READER_TIMEOUT)
        socket_options.limit_receive_buffer(self.transport,
                                            _RECEIVE_BUFFER_BYTES)
        self.transport.bufferSize = _BUFFER_BYTES
        self.transport.registerProducer(self, True)
        self._is_producer = True
        self._handler.add_connection(self)
        self._start_idle_timer()

    def dataReceived(self, data: bytes) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        if self._is_lingering:
            if self._http.their_state is h11.DONE:
                self.unanswered_bytes += len(data)
            return
        self.unanswered_bytes += len(data)
        if self._writer is None and not self._is_receiving:
            self._is_receiving = True
            self._start_timer(self._handler.get_limits().header_timeout,
                              self._refuse_slow_request)
        self._unparsed += data
        self._read_requests()

    def connectionLost(  # pylint: disable=invalid-name
            self,
            reason: failure.Failure = protocol.connectionDone) -> None:
        """See `protocol.Protocol`."""
        self._is_lost = True
        self._unparsed.clear()
        self._cancel_timer()
        self._handler.remove_connection(self, reason.getErrorMessage())
        self._response_memory.release(self)
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.handle_disconnect()
        self._drop_body()

    def readConnectionLost(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IHalfCloseableProtocol`."""
        if self._writer is None:
            self._lose_connection()
        else:
            self.transport.abortConnection()

    def writeConnectionLost(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IHalfCloseableProtocol`."""
        # The system may still send the end of the response after the close, but
        # not after a reset.
        self._start_timer(_LINGER_TIMEOUT, self.transport.loseConnection)

    def pauseProducing(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IPushProducer`."""
        self._is_full = True
        if self._writer is not None:
            self._writer.handle_pause()

    def resumeProducing(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IPushProducer`."""
        self._is_full = False
        self._unsent_bytes = 0
        self._response_memory.release(self)
        if self._writer is not None:
            self._writer.handle_resume()
        else:
            self._read_requests()

    def stopProducing(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IPushProducer`; `connectionLost` follows."""

    def release_memory(self) -> None:
        """See `dispatch.ResponseMemory`; the caller reads too slowly."""
        self.transport.abortConnection()

    def close(self) -> None:
        """Closes the connection unless a request has arrived.

        It must be idle.
        """
        # Timers run before sockets are read. If the VM was busy, a request may
        # be waiting.
        self._start_timer(datetime.timedelta(), self._lose_connection)

    def send_head(self, status: int, headers: http_request.Headers) -> None:
        """See `response_writer.ResponseConnection`."""
        sent = list(headers)
        # A pipelined request has been received and is answered, too.
        if self._handler.is_stopping() and not self._unparsed:
            sent.append((b"Connection", b"close"))
        self._send(
            h11.Response(status_code=status,
                         headers=sent,
                         reason=_get_reason_phrase(status)))

    def send_data(self, data: bytes) -> None:
        """See `response_writer.ResponseConnection`."""
        if self._request is None or self._request.method != b"HEAD":
            self._send(h11.Data(data=data))

    def send_end(self) -> None:
        """See `response_writer.ResponseConnection`."""
        self._send(h11.EndOfMessage())
        self._writer = None
        self._request = None
        self._drop_body()
        if (self._http.our_state is not h11.DONE or
                self._http.their_state is not h11.DONE):
            self._linger()
            return
        self._http.start_next_cycle()
        self._is_receiving = bool(self._unparsed)
        if self._is_receiving:
            self._start_timer(self._handler.get_limits().header_timeout,
                              self._refuse_slow_request)
        else:
            self._start_idle_timer()
        # If the handler has responded at once, the caller of the handler reads
        # on. Reading from here would nest as deeply as there are requests.
        if not self._is_reading:
            self._read_requests()

    def abort(self) -> None:
        """See `response_writer.ResponseConnection`."""
        self._writer = None
        self._cancel_timer()
        self._drop_body()
        self.transport.abortConnection()

    def _read_requests(self) -> None:
        self._is_reading = True
        try:
            self._read_events()
        finally:
            self._is_reading = False
        self._pause_or_resume()

    def _read_events(self) -> None:
        while not (self._writer or self._is_lingering or self._is_full):
            try:
                event = self._parse()
            except h11.RemoteProtocolError as error:
                self._refuse(error.error_status_hint or 400,
                             f"The request can't be read: {error}.")
                return
            except chunk_decoder.LineTooLongError as error:
                self._refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                             f"The body can't be read: {error}.")
                return
            except chunk_decoder.ChunkError as error:
                self._refuse(http.HTTPStatus.BAD_REQUEST,
                             f"The body can't be read: {error}.")
                return
            if event is h11.NEED_DATA:
                if self._has_too_much_framing():
                    self._refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                                 "The chunks have too much framing.")
                    return
                self._send_continue_if_expected()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._handle_head(event)
            elif isinstance(event, h11.Data):
                self._handle_data(event)
            elif isinstance(event, h11.EndOfMessage):
                self._handle_end()

    def _parse(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event of the request that is received.

        The parser gets the head and a body with a length. It takes too long
        for small chunks and gets only the end of a chunked body.
        """
        while True:
            if self._chunks is not None:
                return self._decode_chunks(self._chunks)
            event = self._http.next_event()
            if event is not h11.NEED_DATA or not self._unparsed:
                return event
            count = self._find_part_end()
            self._http.receive_data(bytes(self._unparsed[:count]))
            del self._unparsed[:count]

    def _find_part_end(self) -> int:
        """Returns how many bytes belong to the head or body being received."""
        if self._request is not None:
            count = min(self._missing_bytes, len(self._unparsed))
            self._missing_bytes -= count
            return count
        before = self._last_head_bytes
        for found in _HEAD_END.finditer(before + self._unparsed):
            if found.end() > len(before):
                self._last_head_bytes = b""
                return found.end() - len(before)
        self._last_head_bytes = (before +
                                 self._unparsed)[-(_HEAD_END_BYTES - 1):]
        return len(self._unparsed)

    def _decode_chunks(
        self, chunks: chunk_decoder.ChunkDecoder
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        if not self._unparsed:
            return h11.NEED_DATA
        if self._is_waiting_for_turn:
            return h11.PAUSED
        if not self._chunk_turns.may_decode:
            self._is_waiting_for_turn = self._chunk_turns.wait(
                self._decode_in_turn)
            if not self._is_waiting_for_turn:
                self._refuse(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    "This VM receives too many small chunks; the request has "
                    "not run. Send it again after the given time.",
                    _OVERLOAD_RETRY_AFTER)
            return h11.PAUSED
        data, count = chunks.decode(bytes(self._unparsed))
        self._unparsed.clear()
        self._chunk_turns.record(count)
        if chunks.is_complete:
            self._unparsed += chunks.rest
            self._chunks = None
            self._http.receive_data(b"0\r\n\r\n")
        if data:
            return h11.Data(data=data)
        return self._parse()

    def _decode_in_turn(self) -> None:
        self._is_waiting_for_turn = False
        if self._is_lost:
            return
        # The close is not seen while what was received before is waiting.
        if socket_options.is_closed_by_peer(self.transport):
            self.transport.abortConnection()
        else:
            self._read_requests()

    def _has_too_much_framing(self) -> bool:
        limit = (_MAX_BYTES_PER_BODY_BYTE * len(self._body) +
                 _MAX_HEADERS_PER_REQUEST *
                 self._handler.get_limits().max_header_bytes)
        return self.unanswered_bytes > limit

    def _send_continue_if_expected(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._send(
                h11.InformationalResponse(status_code=100,
                                          headers=[],
                                          reason=b"Continue"))

    def _handle_head(self, event: h11.Request) -> None:
        self._request = event
        names = {name for name, _ in event.headers}
        if b"transfer-encoding" in names and b"content-length" in names:
            self._refuse(
                http.HTTPStatus.BAD_REQUEST,
                "The request has a length and chunks; send one of them.")
            return
        if b"transfer-encoding" in names:
            self._chunks = chunk_decoder.ChunkDecoder(
                self._handler.get_limits().max_header_bytes)
        length = sum(
            int(value)
            for name, value in event.headers
            if name == b"content-length")
        self._missing_bytes = length
        if not self._take_body_bytes(
                min(length,
                    self._handler.get_limits().max_body_bytes)):
            return
        self._body_timer = self._scheduler.call_later(
            _BODY_TIME, lambda: self._body_budget.offer_room(self))
        self._start_timer(self._handler.get_limits().idle_timeout,
                          self._refuse_slow_request)

    def _handle_data(self, event: h11.Data) -> None:
        self._body += event.data
        limits = self._handler.get_limits()
        if len(self._body) > limits.max_body_bytes:
            self._refuse(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"The body is longer than {limits.max_body_bytes} bytes.")
            return
        if not self._take_body_bytes(len(self._body) - self._taken_bytes):
            return
        self._start_timer(limits.idle_timeout, self._refuse_slow_request)

    def _handle_end(self) -> None:
        request = self._request
        if request is None:
            return
        self._cancel_timer()
        self._keep_room()
        self._is_receiving = False
        self.unanswered_bytes = len(self._unparsed)
        writer = response_writer.ResponseWriter(self)
        self._writer = writer
        received = http_request.HttpRequest(request.method.decode("latin-1"),
                                            request.target.decode("latin-1"),
                                            request.headers.raw_items(),
                                            self._body)
        self._handler.handle_request(received, writer)

    def _refuse_slow_request(self) -> None:
        self._refuse(http.HTTPStatus.REQUEST_TIMEOUT,
                     "The request did not arrive in time; it has not run.")

    def _take_body_bytes(self, count: int) -> bool:
        """Takes room for a part of the body, or refuses the request.

        Args:
            count: Number of bytes; there is room if it is not positive.
        """
        if count <= 0:
            return True
        if self._body_budget.take(count, self):
            self._taken_bytes += count
            return True
        self.release_room()
        return False

    def release_room(self) -> None:
        """See `body_budget.UnfinishedBody`."""
        self._refuse(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            "This VM has no memory left for the body; the request has not run. "
            "Send it again after the given time.", _OVERLOAD_RETRY_AFTER)

    def _keep_room(self) -> None:
        """Keeps the room of the body, which is complete or dropped."""
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None
        self._body_budget.withdraw_offer(self)

    def _drop_body(self) -> None:
        """Frees the body, also where others still refer to its request.

        What belongs to a request refers to each other, so that it stays in
        memory until the next garbage collection.
        """
        self._keep_room()
        body, self._body = self._body, bytearray()
        body.clear()
        self._body_budget.give_back(self._taken_bytes)
        self._taken_bytes = 0

    def _refuse(self,
                status: int,
                text: str,
                retry_after: datetime.timedelta | None = None) -> None:
        """Responds to a request that is not handled; closes the connection."""
        self._drop_body()
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.abortConnection()
            return
        self.unanswered_bytes = 0
        writer = response_writer.ResponseWriter(_LastResponseConnection(self))
        writer.refuse(
            dispatch.Refusal(http.HTTPStatus(status), text, retry_after))

    def send_last_head(self, status: int,
                       headers: http_request.Headers) -> None:
        """Sends status and headers of the last response of the connection."""
        self._send(
            h11.Response(status_code=status,
                         headers=[*headers, (b"Connection", b"close")],
                         reason=_get_reason_phrase(status)))

    def end_last_response(self) -> None:
        """Completes the last response and closes the connection."""
        self._send(h11.EndOfMessage())
        self._linger()

    def _linger(self) -> None:
        self._is_lingering = True
        self._unparsed.clear()
        # The connection closes when its caller has read the response and what
        # it has sent until then is discarded.
        self.transport.bufferSize = _RECEIVE_BUFFER_BYTES
        self._cancel_timer()
        self._pause_or_resume()
        self._unregister_producer()
        self.transport.loseWriteConnection()

    def _pause_or_resume(self) -> None:
        """Pauses reading while a turn or the end of a response is due."""
        should_pause = not self._is_lingering and (
            (self._writer is not None or self._is_full) and
            self.unanswered_bytes >= _MAX_PIPELINED_BYTES or
            self._is_waiting_for_turn)
        if should_pause == self._is_paused:
            return
        self._is_paused = should_pause
        if should_pause:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def _lose_connection(self) -> None:
        self._unregister_producer()
        self.transport.loseConnection()

    def _unregister_producer(self) -> None:
        """Lets the transport close after what is left to send."""
        if self._is_producer:
            self._is_producer = False
            self.transport.unregisterProducer()

    def _send(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if not data:
            return
        self.transport.write(data)
        if self._is_full:
            self._unsent_bytes += len(data)
            self._response_memory.hold(self, self._unsent_bytes)

    def _start_idle_timer(self) -> None:
        self._idle_timeout = self._handler.get_limits().idle_timeout
        self._start_timer(self._idle_timeout, self._handle_idle_timeout)

    def _handle_idle_timeout(self) -> None:
        """Closes the connection, or waits on if the limit was raised."""
        raised_by = self._handler.get_limits().idle_timeout - self._idle_timeout
        if raised_by > datetime.timedelta():
            self._idle_timeout += raised_by
            self._start_timer(raised_by, self._handle_idle_timeout)
        else:
            self.close()

    def _start_timer(self, delay: datetime.timedelta,
                     function: collections.abc.Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._scheduler.call_later(delay, function)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _LastResponseConnection:
    """Sends a response after which the connection is closed."""

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection

    def send_head(self, status: int, headers: http_request.Headers) -> None:
        """See `response_writer.ResponseConnection`."""
        self._connection.send_last_head(status, headers)

    def send_data(self, data: bytes) -> None:
        """See `response_writer.ResponseConnection`."""
        self._connection.send_data(data)

    def send_end(self) -> None:
        """See `response_writer.ResponseConnection`."""
        self._connection.end_last_response()

    def abort(self) -> None:
        """See `response_writer.ResponseConnection`."""
        self._connection.abort()


def _get_reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
