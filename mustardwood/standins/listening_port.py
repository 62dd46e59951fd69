"""A TCP port that can stop accepting connections for a while."""

import datetime
import typing

from twisted.protocols import policies
from twisted.web import server


class ListeningPort:
    """Serves a site on one address and can refuse or reset connections.

    Args:
        reactor: The reactor.
        site: The site to serve.
        ip: IP address to listen on.
        port: TCP port; 0 lets the system choose.
    """

    def __init__(self, reactor: typing.Any, site: server.Site, ip: str,
                 port: int) -> None:
        self._reactor = reactor
        self._factory = policies.WrappingFactory(site)
        self._ip = ip
        self._port_number = port
        self._listener: typing.Any = None

    @property
    def url(self) -> str:
        """Base URL of the served site."""
        return f"http://{self._ip}:{self._port_number}"

    def open(self) -> None:
        """Starts listening; does nothing if it is listening already."""
        if self._listener is not None:
            return
        self._listener = self._reactor.listenTCP(self._port_number,
                                                 self._factory,
                                                 interface=self._ip)
        self._port_number = self._listener.getHost().port

    def drop_connections(self) -> None:
        """Resets all open connections."""
        for connection in list(self._factory.protocols):
            connection.abortConnection()

    async def close(self) -> None:
        """Stops listening; open connections are kept."""
        if self._listener is None:
            return
        port, self._listener = self._listener, None
        await port.stopListening()

    async def close_temporarily(self, duration: datetime.timedelta) -> None:
        """Refuses new connections for `duration`, then listens again."""
        await self.close()
        self._reactor.callLater(duration.total_seconds(), self.open)
