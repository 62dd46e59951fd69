"""The UDP port for news between VMs."""

import collections.abc
import typing

from twisted.internet import protocol

Address = tuple[str, int]


class DatagramPort(protocol.DatagramProtocol):
    """Sends and receives datagrams; losses are made up by later ones.

    Attributes:
        unsent: Number of datagrams that the system did not take.
    """

    transport: typing.Any

    def __init__(self, take: collections.abc.Callable[[bytes], None]) -> None:
        self._take = take
        self.unsent = 0

    def send(self, data: bytes, address: Address) -> None:
        """Sends a datagram; one that can't be sent counts as lost."""
        if self.transport is None:
            return
        try:
            self.transport.write(data, address)
        except OSError:
            # The link is full or cut; the next message replaces this one.
            self.unsent += 1

    def datagramReceived(  # pylint: disable=invalid-name
            self, datagram: bytes, addr: Address) -> None:
        """See `protocol.DatagramProtocol`."""
        del addr
        self._take(datagram)
