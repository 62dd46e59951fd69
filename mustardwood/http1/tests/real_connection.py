"""A real connection to an endpoint, without a running event loop."""

import select
import socket
import struct

from twisted.internet import epollreactor
from twisted.internet import protocol
from twisted.internet import tcp

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RealConnection:
    """A real connection whose events are given one by one.

    Attributes:
        endpoint: The endpoint's socket.
        transport: Twisted's transport at the other side.
    """

    def __init__(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            client = socket.create_connection(server.getsockname())
            self.endpoint, _ = server.accept()
        self.endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reactor = epollreactor.EPollReactor()
        self.transport = tcp.Connection(client, protocol.Protocol(),
                                        self._reactor)

    def open(self, chosen):
        """Starts a protocol."""
        self.transport.protocol = chosen
        self.transport.connected = True
        chosen.makeConnection(self.transport)
        self.transport.startReading()

    def receive(self, data):
        """Lets the endpoint send data, which is received."""
        self.endpoint.sendall(data)
        self._wait()
        self.handle(select.EPOLLIN)

    def close(self, is_reset):
        """Lets the endpoint close the connection, and waits until it has."""
        if is_reset:
            self.endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                     _RESET_ON_CLOSE)
        self.endpoint.close()
        self._wait()

    def handle(self, events):
        """Handles a result of the poll as the event loop does."""
        self._reactor._doReadOrWrite(  # pylint: disable=protected-access
            self.transport, self.transport.fileno(), events)

    def _wait(self):
        poll = select.poll()
        poll.register(self.transport.fileno(), select.POLLIN)
        assert poll.poll(5000)

    def end(self):
        """Closes both sides."""
        self.endpoint.close()
        if self.transport.connected:
            self.transport.connectionLost(protocol.connectionDone)
