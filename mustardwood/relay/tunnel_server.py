"""Tunnels to endpoints for other VMs."""

import collections.abc
import datetime
import http
import socket
import struct
import typing

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from mustardwood import dispatch
from mustardwood.http1 import confirmed_end
from mustardwood.http1 import socket_options

METHOD = b"CONNECT "
"""Beginning of the request for a tunnel [1]_.

References:
    .. [1] R. Fielding, M. Nottingham and J. Reschke, "HTTP Semantics", RFC
       9110, 2022, section 9.3.6.
"""
END_OF_HEAD = b"\r\n\r\n"
MAX_HEAD_BYTES = 2048
"""Maximum size of the head of a request or response for a tunnel."""
MAX_TUNNELS = 256
"""Number of tunnels that may be open; each has two connections."""
CHUNKED_FORMAT = b"Tunnel-Format: chunked"
"""Header of requests and responses for tunnels with an explicit end.

What the endpoint sends comes in chunks [1]_, and the last chunk stands for the
end of its connection. An end without a last chunk is that of the tunnel alone.

References:
    .. [1] R. Fielding, M. Nottingham and J. Reschke, "HTTP/1.1", RFC 9112,
       2022, section 7.1.
"""
LAST_CHUNK = b"0\r\n\r\n"
_MAX_REQUEST_TIME = datetime.timedelta(seconds=2)
"""Time within which a connection has to bring a request for a tunnel."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)
"""Values of SO_LINGER: whether a close resets the connection."""

FindEndpoint = collections.abc.Callable[[str], dispatch.Endpoint | None]


class Connector(typing.Protocol):
    """Opens direct connections to endpoints."""

    def connect_directly(self, address: tuple[str, int],
                         factory: protocol.ClientFactory) -> typing.Any:
        """Opens a connection; returns Twisted's connector."""


class TunnelServer(protocol.ServerFactory):
    """Serves tunnels and, for all other requests, another factory's protocol.

    A tunnel leads to an endpoint that this VM knows, over its own path only, so
    that there are no loops. Only registered VMs may open one. It carries bytes,
    ends and resets in both directions; the endpoint gets just what the other VM
    would have sent.

    Failure: this process ends, and the system closes its connections as if the
    endpoint had closed them. The other VM must not take that for the end of a
    response.
    """

    noisy = False

    def __init__(
            self, pages: protocol.ServerFactory, scheduler: dispatch.Scheduler,
            connector: Connector, find_endpoint: FindEndpoint,
            is_vm: collections.abc.Callable[[str], bool],
            has_path: collections.abc.Callable[[dispatch.Endpoint],
                                               bool]) -> None:
        """Creates the factory.

        Args:
            pages: Builds the protocol of connections for other requests.
            scheduler: Schedules the timeouts of connections without a request.
            connector: Opens connections to endpoints.
            find_endpoint: Returns the endpoint of a name.
            is_vm: Returns whether an IP address is that of another VM.
            has_path: Returns whether this VM reaches an endpoint itself.
        """
        self._pages = pages
        self._scheduler = scheduler
        self._connector = connector
        self._find_endpoint = find_endpoint
        self._is_vm = is_vm
        self._has_path = has_path
        self._tunnels: set["_TunnelEnd"] = set()
        self._is_stopping = False

    @property
    def open_tunnels(self) -> int:
        """Number of tunnels that are open or being opened."""
        return len(self._tunnels)

    def add_tunnel(self, tunnel: "_TunnelEnd") -> None:
        """Counts a tunnel."""
        self._tunnels.add(tunnel)

    def remove_tunnel(self, tunnel: "_TunnelEnd") -> None:
        """Ends counting a tunnel."""
        self._tunnels.discard(tunnel)

    def stop(self) -> None:
        """Refuses further tunnels; the open ones go on."""
        self._is_stopping = True

    def abort_tunnels(self) -> None:
        """Resets all tunnels; the process is about to exit."""
        for each in list(self._tunnels):
            each.transport.abortConnection()

    def start_request_timer(self, transport: typing.Any) -> dispatch.Timer:
        """Has a connection reset unless the timer is cancelled in time.

        Failure: a VM vanishes, or connects and sends nothing, and its
        connections would count among the open tunnels from then on.
        """
        return self._scheduler.call_later(_MAX_REQUEST_TIME,
                                          transport.abortConnection)

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: typing.Any) -> protocol.Protocol:
        """See `protocol.ServerFactory`."""
        return _FirstBytes(self, addr)

    def build_page_protocol(self, address: typing.Any) -> typing.Any:
        """Returns the protocol of a connection for other requests."""
        return self._pages.buildProtocol(address)

    def find_target(self, ip: str,
                    name: str) -> dispatch.Endpoint | http.HTTPStatus:
        """Returns the endpoint to which a tunnel may be opened.

        Args:
            ip: IP address of the VM that asks for it.
            name: Name of the endpoint.

        Returns:
            The endpoint, or the status to refuse with.
        """
        if not self._is_vm(ip):
            return http.HTTPStatus.FORBIDDEN
        endpoint = self._find_endpoint(name)
        if endpoint is None:
            return http.HTTPStatus.NOT_FOUND
        if (self._is_stopping or not self._has_path(endpoint) or
                self.open_tunnels >= MAX_TUNNELS):
            return http.HTTPStatus.SERVICE_UNAVAILABLE
        return endpoint

    def connect(self, endpoint: dispatch.Endpoint,
                inner: "_TunnelEnd") -> typing.Any:
        """Opens the connection of a tunnel to its endpoint."""
        return self._connector.connect_directly((endpoint.host, endpoint.port),
                                                _OuterFactory(inner))


class _FirstBytes(protocol.Protocol):
    """Chooses the protocol of a connection by its first bytes."""

    transport: typing.Any

    def __init__(self, server: TunnelServer, address: typing.Any) -> None:
        self._server = server
        self._address = address
        self._data = b""
        self._timer: dispatch.Timer | None = None

    def connectionMade(self) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        self._timer = self._server.start_request_timer(self.transport)

    def connectionLost(  # pylint: disable=invalid-name
            self,
            reason: failure.Failure = protocol.connectionDone) -> None:
        """See `protocol.Protocol`."""
        del reason
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def dataReceived(self, data: bytes) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        self._data += data
        if METHOD.startswith(self._data):
            return
        self._cancel_timer()
        chosen: typing.Any = (_TunnelEnd(self._server, self._address.host)
                              if self._data.startswith(METHOD) else
                              self._server.build_page_protocol(self._address))
        self.transport.protocol = chosen
        chosen.makeConnection(self.transport)
        chosen.dataReceived(self._data)


class _End(confirmed_end.ConfirmedEndProtocol):
    """One of the two connections of a tunnel.

    Attributes:
        other: The other one; None while the tunnel is not open.
        is_read_ended: Whether the peer has closed its side.
    """

    def __init__(self) -> None:
        self.other: "_End | None" = None
        self.is_read_ended = False

    def dataReceived(self, data: bytes) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        if self.other is not None:
            self.other.write(data)

    def handle_end(self) -> None:
        """See `confirmed_end.ConfirmedEndProtocol`."""
        self.is_read_ended = True
        other = self.other
        if other is None:
            self.transport.loseConnection()
            return
        other.transport.unregisterProducer()
        other.end_writing()
        if other.is_read_ended:
            # Twisted does not report the loss of the second direction.
            other.transport.loseConnection()
            self.transport.loseConnection()

    def end_writing(self) -> None:
        """Passes on the end of the other connection."""
        self.transport.loseWriteConnection()

    def write(self, data: bytes) -> None:
        """Passes on data of the other connection."""
        self.transport.write(data)

    def connectionLost(  # pylint: disable=invalid-name
            self,
            reason: failure.Failure = protocol.connectionDone) -> None:
        """See `protocol.Protocol`."""
        other, self.other = self.other, None
        if other is None:
            return
        other.other = None
        other.transport.unregisterProducer()
        if reason.check(type(protocol.connectionDone.value)):
            other.end_writing()
            other.transport.loseConnection()
        else:
            other.transport.abortConnection()

    def join(self, other: "_End") -> None:
        """Connects the two ends, each of which holds back the other's data."""
        self.other, other.other = other, self
        self.transport.registerProducer(other.transport, True)
        other.transport.registerProducer(self.transport, True)


class _TunnelEnd(_End):
    """The connection to the VM that has asked for a tunnel."""

    def __init__(self, server: TunnelServer, ip: str) -> None:
        super().__init__()
        self._server = server
        self._ip = ip
        self._head = b""
        self._connector: typing.Any = None
        self._is_open = False
        self._is_chunked = False
        self._has_ended = False
        self._timer: dispatch.Timer | None = None

    def connectionMade(self) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        socket_options.configure_socket(self.transport,
                                        socket_options.UNREACHABLE_TIMEOUT)
        self._server.add_tunnel(self)
        self._timer = self._server.start_request_timer(self.transport)

    def dataReceived(self, data: bytes) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        if self._is_open:
            super().dataReceived(data)
            return
        self._head += data
        if END_OF_HEAD not in self._head:
            if len(self._head) > MAX_HEAD_BYTES:
                self._refuse(http.HTTPStatus.BAD_REQUEST)
            return
        if self._connector is not None or not self._head.endswith(END_OF_HEAD):
            # The other VM sends nothing before the tunnel is open.
            self._refuse(http.HTTPStatus.BAD_REQUEST)
            return
        self._cancel_timer()
        self._is_chunked = has_chunked_format(self._head)
        name = self._head[len(METHOD):].partition(b" ")[0].decode("latin-1")
        target = self._server.find_target(self._ip, name)
        if isinstance(target, http.HTTPStatus):
            self._refuse(target)
        else:
            self._connector = self._server.connect(target, self)

    def connectionLost(  # pylint: disable=invalid-name
            self,
            reason: failure.Failure = protocol.connectionDone) -> None:
        """See `protocol.Protocol`."""
        self._cancel_timer()
        self._server.remove_tunnel(self)
        if not self._is_open and self._connector is not None:
            self._connector.disconnect()
        super().connectionLost(reason)

    def open(self, outer: _End) -> None:
        """Opens the tunnel, whose connection to the endpoint is there."""
        self._is_open = True
        if self._is_chunked:
            self.transport.write(b"HTTP/1.1 200 OK\r\n" + CHUNKED_FORMAT +
                                 END_OF_HEAD)
        else:
            # A VM that knows no chunks takes any regular end for the
            # endpoint's.
            self._set_linger(_RESET_ON_CLOSE)
            self.transport.write(b"HTTP/1.1 200 OK" + END_OF_HEAD)
        self.join(outer)

    def write(self, data: bytes) -> None:
        """See `_End`."""
        if self._is_chunked:
            self.transport.writeSequence([b"%x\r\n" % len(data), data, b"\r\n"])
        else:
            super().write(data)

    def end_writing(self) -> None:
        """See `_End`."""
        if self._has_ended:
            return
        self._has_ended = True
        if self._is_chunked:
            self.transport.write(LAST_CHUNK)
        else:
            self._set_linger(_END_ON_CLOSE)
        super().end_writing()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_linger(self, value: bytes) -> None:
        self.transport.getHandle().setsockopt(socket.SOL_SOCKET,
                                              socket.SO_LINGER, value)

    def handle_failure(self) -> None:
        """Refuses the tunnel, since the endpoint can't be connected to."""
        self._refuse(http.HTTPStatus.BAD_GATEWAY)

    def _refuse(self, status: http.HTTPStatus) -> None:
        self._head = b""
        self.transport.write(b"HTTP/1.1 %d %b\r\nConnection: close" %
                             (status, status.phrase.encode()) + END_OF_HEAD)
        self.transport.loseConnection()


def has_chunked_format(head: bytes) -> bool:
    """Returns whether a head of a request or response names the format."""
    return any(line.strip().lower() == CHUNKED_FORMAT.lower()
               for line in head.split(b"\r\n")[1:])


class _OuterEnd(_End):
    """The connection to the endpoint."""

    def __init__(self, inner: _TunnelEnd) -> None:
        super().__init__()
        self._inner = inner

    def connectionMade(self) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        socket_options.configure_socket(self.transport,
                                        socket_options.SLOW_READER_TIMEOUT)
        if self._inner.transport.connected:
            self._inner.open(self)
        else:
            self.transport.abortConnection()


class _OuterFactory(protocol.ClientFactory):
    """Opens the connection to the endpoint."""

    noisy = False

    def __init__(self, inner: _TunnelEnd) -> None:
        self._inner = inner

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: typing.Any) -> protocol.Protocol:
        """See `protocol.ClientFactory`."""
        del addr
        return _OuterEnd(self._inner)

    def clientConnectionFailed(  # pylint: disable=invalid-name
            self, connector: interfaces.IConnector,
            reason: failure.Failure) -> None:
        """See `protocol.ClientFactory`."""
        del connector, reason
        self._inner.handle_failure()
