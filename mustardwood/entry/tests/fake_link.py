"""A fake link that grants every ask at once."""

from twisted.internet import reactor

from mustardwood import messages

_IP = "127.6.1.1"


class FakeLink:
    """Records sent messages and grants asks at once, as a scheduler would.
    """

    def __init__(self):
        self.sent = []
        self.handler = None
        self.grants_asks = True
        self.endpoint = "e1"

    def set_handler(self, handler):
        self.handler = handler

    def open(self):
        pass

    def close(self):
        pass

    def close_idle_connections(self):
        pass

    def send(self, peer, message):
        del peer
        self.sent.append(message)
        if isinstance(message, messages.Ask) and self.grants_asks:
            grant = messages.Grant(message.request_id, message.attempt,
                                   message.cell, self.endpoint, 0)
            reactor.callLater(0, self.deliver, grant)

    def deliver(self, body, role=messages.Role.SCHEDULER):
        self.handler(messages.Envelope(messages.Peer(_IP, role), 1, body))
