"""A caller that sends bytes as they are."""

from twisted.internet import defer
from twisted.internet import protocol


class Caller(protocol.Protocol):
    """Sends bytes and collects what comes back."""

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
