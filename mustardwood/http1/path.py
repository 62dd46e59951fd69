"""The path by which a pool connects to endpoints."""

import datetime
import typing

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
"""Timeout for opening a connection; a hundred round trips between zones."""


class EndpointFactory(typing.Protocol):
    """Twisted's client factory, for connections through another VM, too."""

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: typing.Any) -> protocol.Protocol | None:
        """See `protocol.ClientFactory`."""

    def build_relayed(self) -> protocol.Protocol | None:
        """Returns the protocol of a connection through another VM."""

    def clientConnectionFailed(  # pylint: disable=invalid-name
            self, connector: interfaces.IConnector,
            reason: failure.Failure) -> None:
        """See `protocol.ClientFactory`."""


class Path(typing.Protocol):
    """Opens connections, and observes the direct ones."""

    def connect(self, address: tuple[str, int],
                factory: EndpointFactory) -> typing.Any:
        """Opens a connection.

        Args:
            address: IP address and port.
            factory: Builds its protocol.

        Returns:
            An object whose `disconnect` stops that.
        """

    def allows_reuse(self, address: tuple[str, int], is_relayed: bool) -> bool:
        """Returns whether an idle connection may be used again.

        Args:
            address: IP address and port.
            is_relayed: Whether it leads through another VM.
        """

    def record_write(self, address: tuple[str, int]) -> None:
        """Records that a request was written on a direct connection."""

    def record_data(self, address: tuple[str, int]) -> None:
        """Records that data has arrived on a direct connection."""


class DirectPath:
    """A path that is always direct; implements `Path`."""

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor

    def connect(self, address: tuple[str, int],
                factory: EndpointFactory) -> typing.Any:
        """See `Path`."""
        return self._reactor.connectTCP(*address,
                                        factory,
                                        timeout=CONNECT_TIMEOUT.total_seconds())

    def allows_reuse(self, address: tuple[str, int], is_relayed: bool) -> bool:
        """See `Path`."""
        del address
        return not is_relayed

    def record_write(self, address: tuple[str, int]) -> None:
        """Does nothing."""
        del address

    def record_data(self, address: tuple[str, int]) -> None:
        """Does nothing."""
        del address
