"""The UDP port for messages between VMs."""

import collections.abc
import typing

from twisted.internet import protocol

Address = tuple[str, int]


class DatagramPort(protocol.DatagramProtocol):
    """Sends and receives datagrams.

    Lost datagrams are not sent again, since later ones replace them.

    Attributes:
        failed_sends: Number of datagrams that the operating system did not
            accept.
    """

    transport: typing.Any

    def __init__(self, on_datagram: collections.abc.Callable[[bytes],
                                                             None]) -> None:
        self._on_datagram = on_datagram
        self.failed_sends = 0

    def send(self, data: bytes, address: Address) -> None:
        """Sends a datagram; one that can't be sent is treated as lost."""
        if self.transport is None:
            return
        try:
            self.transport.write(data, address)
        except OSError:
            # The send buffer is full or the network unreachable; the next
            # message replaces this one.
            self.failed_sends += 1

    def datagramReceived(  # pylint: disable=invalid-name
            self, datagram: bytes, addr: Address) -> None:
        """See `protocol.DatagramProtocol`."""
        del addr
        self._on_datagram(datagram)
