"""A caller that sends raw bytes."""

from twisted.internet import defer
from twisted.internet import protocol


class Caller(protocol.Protocol):
    """Sends bytes and collects the bytes that it receives.

    Attributes:
        request_data: Bytes to send.
        data: Bytes received so far.
        disconnected: Fires when the connection is closed.
    """

    def __init__(self, data):
        self.request_data = data
        self.data = b""
        self.disconnected = defer.Deferred()

    def connectionMade(self):
        self.transport.write(self.request_data)

    def dataReceived(self, data):
        self.data += data

    def connectionLost(self, reason=protocol.connectionDone):
        self.disconnected.callback(None)
