"""Connections that end only if their socket says so."""

import typing

from twisted.internet import error as internet_error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from zope.interface import implementer


@implementer(interfaces.IHalfCloseableProtocol)
class ConfirmedEndProtocol(protocol.Protocol):
    """Tells the end of a connection from its reset by reading the socket.

    Twisted reports a regular end also when a poll shows a hang-up without
    input. On Linux a poll takes no lock on the socket [1]_, so while a reset
    is being handled it may show just this. A read then fails, whereas it
    returns no bytes after a regular end.

    References:
        .. [1] Linux kernel, `tcp_poll` and `tcp_reset` (net/ipv4/tcp.c and
           tcp_input.c).
    """

    transport: typing.Any

    def readConnectionLost(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IHalfCloseableProtocol`."""
        transport = self.transport
        try:
            data = transport.getHandle().recv(transport.bufferSize)
        except BlockingIOError:
            transport.startReading()
            return
        except OSError:
            transport.connectionLost(
                failure.Failure(internet_error.ConnectionLost()))
            return
        if data:
            transport.startReading()
            self.dataReceived(data)
        else:
            self.handle_end()

    def writeConnectionLost(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IHalfCloseableProtocol`."""

    def handle_end(self) -> None:
        """Closes the connection, which the peer has closed regularly."""
        self.transport.connectionLost(
            failure.Failure(internet_error.ConnectionDone()))
