"""Tests that a closed listener loses no connection that waits for `accept`."""

import socket

from twisted.internet import protocol

from mustardwood.entry import listener_stop
from mustardwood.standins.tests import reactor_runner

_IP = "127.81.6.1"
_CONNECTION_COUNT = 20
_READ_TIMEOUT_SECONDS = 10.0


class _Greeter(protocol.Protocol):
    """Sends a greeting on each connection and closes it."""

    def connectionMade(self) -> None:
        self.transport.write(b"hello")
        self.transport.loseConnection()


def test_pending_connections_are_accepted_before_the_listener_closes():
    pending: list[socket.socket] = []

    async def scenario() -> None:
        factory = protocol.Factory.forProtocol(_Greeter)
        listener = reactor_runner.reactor.listenTCP(0, factory, interface=_IP)
        address = (_IP, listener.getHost().port)
        for _ in range(_CONNECTION_COUNT):
            pending.append(
                socket.create_connection(address, _READ_TIMEOUT_SECONDS))
        await listener_stop.stop_listening(listener, reactor_runner.reactor)

    reactor_runner.run_coroutine(scenario)
    for each in pending:
        with each:
            assert each.recv(16) == b"hello"
