"""In-memory links that carry encoded messages within one process."""

import random

from mustardwood import links
from mustardwood import messages
from mustardwood.benchmarks.capacity import virtual_reactor

_MIN_DELAY_SECONDS = 0.0005
_MAX_DELAY_SECONDS = 0.003


class Network:
    """Delivers encoded messages between links after a random delay.

    Attributes:
        links: Open links by peer.
        received: Number of messages delivered between different VMs.
    """

    def __init__(self, reactor: virtual_reactor.VirtualReactor,
                 rng: random.Random) -> None:
        self.links: dict[messages.Peer, MemoryLink] = {}
        self.received = 0
        self._reactor = reactor
        self._rng = rng

    def deliver_after_delay(self, sender: messages.Peer, peer: messages.Peer,
                            data: bytes) -> None:
        """Delivers a message after a delay if the link is open then."""

        def deliver() -> None:
            link = self.links.get(peer)
            if link is not None:
                self.received += sender.ip != peer.ip
                link.receive(sender, data)

        delay = self._rng.uniform(_MIN_DELAY_SECONDS, _MAX_DELAY_SECONDS)
        self._reactor.callLater(delay, deliver)


class MemoryLink:
    """The link of one process.

    Attributes:
        sent_bytes: Bytes sent to other VMs.
        received_bytes: Bytes received from other VMs.
        local_bytes: Bytes sent to processes of the same VM.
    """

    def __init__(self, network: Network, me: messages.Peer,
                 incarnation: int) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.local_bytes = 0
        self._incarnation = incarnation
        self._network = network
        self._me = me
        self._handler: links.Handler = lambda envelope: None

    @property
    def incarnation(self) -> int:
        """Start time of the process, in nanoseconds since 1970-01-01."""
        return self._incarnation

    def open(self) -> None:
        """Opens the link, so that it receives messages."""
        self._network.links[self._me] = self

    def close(self) -> None:
        """Closes the link; later messages in both directions are dropped."""
        self._network.links.pop(self._me, None)

    def close_idle_connections(self) -> None:
        """Does nothing; the link has no connections."""

    def set_handler(self, handler: links.Handler) -> None:
        """Sets the function that is called with each received message."""
        self._handler = handler

    def send(self, peer: messages.Peer, message: messages.Message) -> None:
        """Sends a message to a peer; does nothing while the link is closed."""
        if self._network.links.get(self._me) is not self:
            return
        envelope = messages.Envelope(self._me, self._incarnation, message)
        data = messages.encode_envelope(envelope)
        if peer.ip == self._me.ip:
            self.local_bytes += len(data)
        else:
            self.sent_bytes += len(data)
        self._network.deliver_after_delay(self._me, peer, data)

    def receive(self, sender: messages.Peer, data: bytes) -> None:
        """Decodes a message from the network and passes it to the handler."""
        if sender.ip != self._me.ip:
            self.received_bytes += len(data)
        self._handler(messages.decode_envelope(data))
