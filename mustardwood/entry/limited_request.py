"""Limits the size and the duration of callers' requests."""

import io
import secrets
import typing
import urllib.parse

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import http
from twisted.web import server
from zope import interface

from mustardwood import errors
from mustardwood import routing
from mustardwood.entry import error_body

READ_TIMEOUT_SECONDS = 30.0
"""Time limit for receiving one request."""

MAX_HEADER_BYTES = 64 * 1024
"""Maximum total size of the request line and the headers."""

# The method names below are defined by Twisted's classes.
# pylint: disable=invalid-name


class LimitedRequest(server.Request):
    """A request whose body is kept in memory and limited in size.

    Attributes:
        request_id: Id that the router gives the request.
    """

    def __init__(self, channel: typing.Any, *args: typing.Any,
                 **kwargs: typing.Any) -> None:
        super().__init__(channel, *args, **kwargs)
        self.request_id = f"req-{secrets.token_hex(12)}"
        self._received_bytes = 0
        self._refused = False

    def gotLength(self, length: int | None) -> None:
        """Prepares for the body; refuses a Content-Length over the limit."""
        self.content = io.BytesIO()
        if length is not None and length > routing.MAX_REQUEST_BODY_BYTES:
            self._refuse(_make_body_too_large_error())

    def handleContentChunk(self, data: bytes) -> None:
        """Handles a part of the body; refuses a body over the limit."""
        self._received_bytes += len(data)
        if self._refused:
            return
        if self._received_bytes > routing.MAX_REQUEST_BODY_BYTES:
            self._refuse(_make_body_too_large_error())
            return
        super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes,
                        version: bytes) -> None:
        """Handles the complete request without parsing its body as a form."""
        if self._refused:
            return
        assert self.content is not None
        self.content.seek(0, 0)
        self.method = command
        self.uri = path
        self.clientproto = version
        self.path = path.partition(b"?")[0]
        self.args = {}
        self.client = self.channel.getPeer()
        self.host = self.channel.getHost()
        if not _is_well_formed(path) or not _is_well_formed(command):
            self._refuse(
                errors.RequestError(errors.RequestCode.UNKNOWN_PATH,
                                    "the path is not valid.",
                                    "Percent-encode the path as UTF-8."))
            return
        self.process()

    def _refuse(self, error: errors.RequestError) -> None:
        self._refused = True
        channel: typing.Any = self.channel
        channel.refuse(error, self.request_id)


@interface.implementer(interfaces.IHalfCloseableProtocol)
class LimitedChannel(http.HTTPChannel):
    """A caller's connection with limits on header size and receive time."""

    totalHeadersSize = MAX_HEADER_BYTES
    MAX_LENGTH = MAX_HEADER_BYTES

    def __init__(self) -> None:
        super().__init__()
        self.site: server.Site | None = None
        self._read_timeout: typing.Any = None
        self._has_received_data = False

    def connectionMade(self) -> None:
        """Starts the read timeout."""
        super().connectionMade()
        self._start_read_timeout()
        if isinstance(self.site, LimitedSite):
            self.site.channels.add(self)

    def allContentReceived(self) -> None:
        """Cancels the read timeout: the request is complete."""
        self._cancel_read_timeout()
        self._has_received_data = False
        super().allContentReceived()

    def dataReceived(self, data: bytes) -> None:
        """Handles received bytes; a new request restarts the read timeout."""
        if self._read_timeout is None and not self.requests:
            self._start_read_timeout()
        self._has_received_data = True
        super().dataReceived(data)

    def connectionLost(self,
                       reason: failure.Failure = protocol.connectionDone
                      ) -> None:
        """Cancels the read timeout and unregisters the connection."""
        self._cancel_read_timeout()
        if isinstance(self.site, LimitedSite):
            self.site.channels.discard(self)
        super().connectionLost(reason)

    def readConnectionLost(self) -> None:
        """Handles a half-close by the caller.

        A truncated request is refused. After a complete request, the caller is
        treated as disconnected.
        """
        transport: typing.Any = self.transport
        if self._read_timeout is not None and self._has_received_data:
            self.refuse(
                errors.RequestError(errors.RequestCode.MALFORMED_BODY,
                                    "the request was cut short.",
                                    "Send the whole request."),
                f"req-{secrets.token_hex(12)}")
        else:
            transport.abortConnection()

    def writeConnectionLost(self) -> None:
        """Does nothing: this side always closes both directions at once."""

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuses a line that alone exceeds the limit of all headers."""
        self._receivedHeaderSize = self.totalHeadersSize + len(line)
        self._respondToBadRequestAndDisconnect()

    def refuse(self, error: errors.RequestError, request_id: str) -> None:
        """Writes an error response and closes the connection."""
        self._cancel_read_timeout()
        body = error_body.encode_error(error, request_id)
        lines = [f"HTTP/1.1 {int(error.status)} {error.status.phrase}"]
        lines += [
            f"{name}: {value}" for name, value in error_body.make_headers(error)
        ]
        lines += [
            f"content-length: {len(body)}", f"x-request-id: {request_id}",
            "connection: close", "", ""
        ]
        transport: typing.Any = self.transport
        transport.write("\r\n".join(lines).encode("ascii") + body)
        self.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        too_large = self._receivedHeaderSize > self.totalHeadersSize
        code = (errors.RequestCode.HEADERS_TOO_LARGE
                if too_large else errors.RequestCode.MALFORMED_BODY)
        self.refuse(
            errors.RequestError(code, "the request is not usable HTTP.",
                                "Send HTTP/1.1 with fewer or valid headers."),
            f"req-{secrets.token_hex(12)}")

    def _start_read_timeout(self) -> None:
        self._read_timeout = self.callLater(READ_TIMEOUT_SECONDS,
                                            self._handle_read_timeout)

    def _cancel_read_timeout(self) -> None:
        if self._read_timeout is not None and self._read_timeout.active():
            self._read_timeout.cancel()
        self._read_timeout = None

    def _handle_read_timeout(self) -> None:
        self._read_timeout = None
        self.refuse(
            errors.RequestError(errors.RequestCode.REQUEST_TIMEOUT,
                                "the request took too long to arrive.",
                                "Send the whole request at once."),
            f"req-{secrets.token_hex(12)}")


class LimitedSite(server.Site):
    """A site whose connections have the limits of this module.

    Attributes:
        channels: Open connections of callers.
    """

    def __init__(self, resource: typing.Any, reactor: typing.Any) -> None:
        super().__init__(resource, requestFactory=LimitedRequest)
        self.displayTracebacks = False
        self.channels: set[LimitedChannel] = set()
        self._timeout_reactor = reactor

    def buildProtocol(self, addr: typing.Any) -> typing.Any:
        """Returns the protocol for a new connection."""
        channel: typing.Any = LimitedChannel()
        channel.requestFactory = self.requestFactory
        channel.site = self
        channel.factory = self
        channel.timeOut = self.timeOut
        channel.callLater = self._timeout_reactor.callLater
        return channel

    def log(self, request: typing.Any) -> None:
        """Writes no access log."""


def _make_body_too_large_error() -> errors.RequestError:
    return errors.RequestError(
        errors.RequestCode.BODY_TOO_LARGE,
        f"the body is over {routing.MAX_REQUEST_BODY_BYTES} bytes.",
        "Send a shorter request.")


def _is_well_formed(path: bytes) -> bool:
    try:
        text = path.decode("ascii")
        urllib.parse.unquote(text, errors="strict")
    except UnicodeDecodeError:
        return False
    return text.isprintable()
