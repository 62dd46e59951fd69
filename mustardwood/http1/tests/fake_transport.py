"""A fake Twisted transport that needs no socket."""

import socket

from twisted.internet import testing


class _Handle:

    def __init__(self, transport):
        self._transport = transport

    def setsockopt(self, *option):
        """Ignores the option."""

    def getsockopt(self, level, option, length):
        """Returns the state of the connection."""
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        return bytes([8 if self._transport.is_closed_by_peer else 1])[:length]

    def shutdown(self, how):
        """Records which directions were closed."""
        if how == socket.SHUT_WR:
            self._transport.loseWriteConnection()
        else:
            assert how == socket.SHUT_RDWR
            self._transport.is_shut_down = True


class FakeTransport(testing.StringTransport):
    """Records the written data and how the connection was closed.

    Attributes:
        closed: How the connection was closed: ``written`` if only the sending
            direction was, ``closed``, or ``reset``; empty while it is open.
        is_shut_down: Whether both directions of the socket were closed.
        is_closed_by_peer: Whether the socket tells that its peer has closed.
    """

    def __init__(self):
        super().__init__()
        self.closed = ""
        self.is_shut_down = False
        self.is_closed_by_peer = False

    def getHandle(self):  # pylint: disable=invalid-name
        """Returns a fake socket that ignores all options."""
        return _Handle(self)

    def setTcpNoDelay(self, enabled):  # pylint: disable=invalid-name
        """Ignores the option."""

    def loseWriteConnection(self):  # pylint: disable=invalid-name
        """Closes the sending direction."""
        self.closed = self.closed or "written"

    def loseConnection(self):
        """Closes the connection."""
        if self.closed != "reset":
            self.closed = "closed"

    def abortConnection(self):
        """Resets the connection."""
        self.closed = "reset"

    def pop_written(self):
        """Returns the written data and clears it."""
        data = self.value()
        self.clear()
        return data
