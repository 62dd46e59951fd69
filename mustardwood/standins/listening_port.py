"""A TCP port that can refuse connections for a while."""

import datetime
import typing

from twisted.protocols import policies
from twisted.web import server


class ListeningPort:
    """Serves a site on one address, and closes it on demand.

    Args:
        reactor: The reactor.
        site: What is served.
        ip: IP address to listen on.
        port: TCP port; 0 lets the system choose.
    """

    def __init__(self, reactor: typing.Any, site: server.Site, ip: str,
                 port: int) -> None:
        self._reactor = reactor
        self._factory = policies.WrappingFactory(site)
        self._ip = ip
        self._number = port
        self._port: typing.Any = None

    @property
    def url(self) -> str:
        """Base URL of the served site."""
        return f"http://{self._ip}:{self._number}"

    def open(self) -> None:
        """Starts to listen; does nothing when it listens already."""
        if self._port is not None:
            return
        self._port = self._reactor.listenTCP(self._number,
                                             self._factory,
                                             interface=self._ip)
        self._number = self._port.getHost().port

    def drop_connections(self) -> None:
        """Resets all open connections."""
        for connection in list(self._factory.protocols):
            connection.abortConnection()

    async def close(self) -> None:
        """Stops to listen; open connections stay."""
        if self._port is None:
            return
        port, self._port = self._port, None
        await port.stopListening()

    async def close_for(self, duration: datetime.timedelta) -> None:
        """Refuses new connections for a while, then listens again."""
        await self.close()
        self._reactor.callLater(duration.total_seconds(), self.open)
