"""A transport without a socket."""

from twisted.internet import testing


class _Handle:

    def setsockopt(self, *option):
        """Takes an option."""


class FakeTransport(testing.StringTransport):
    """Records what is written and how the connection is closed."""

    def __init__(self):
        super().__init__()
        self.closed = ""

    def getHandle(self):  # pylint: disable=invalid-name
        """Returns a socket that takes every option."""
        return _Handle()

    def setTcpNoDelay(self, enabled):  # pylint: disable=invalid-name
        """Takes the option."""

    def loseWriteConnection(self):  # pylint: disable=invalid-name
        """Ends the writing half."""
        self.closed = self.closed or "written"

    def loseConnection(self):
        """Closes the connection."""
        self.closed = self.closed or "closed"

    def abortConnection(self):
        """Resets the connection."""
        self.closed = "reset"

    def take(self):
        """Returns and forgets what was written."""
        data = self.value()
        self.clear()
        return data
