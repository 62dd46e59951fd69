"""A caller that sends bytes as they are."""

from twisted.internet import defer
from twisted.internet import protocol


class Caller(protocol.Protocol):
    """Sends bytes and collects what comes back."""

    def __init__(self, data):
        self.sent = data
        self.data = b""
        self.lost = defer.Deferred()

    def connectionMade(self):
        self.transport.write(self.sent)

    def dataReceived(self, data):
        self.data += data

    def connectionLost(self, reason=protocol.connectionDone):
        self.lost.callback(None)
