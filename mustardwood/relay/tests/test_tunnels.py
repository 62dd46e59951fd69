"""Tests of tunnels between VMs, without a network."""

import random
import select
import socket
import struct

import pytest
from twisted.internet import address as address_module
from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import testing
from twisted.python import failure

from mustardwood import relay
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.http1.tests import real_connection
from mustardwood.relay import tunnel_server

_VM = "192.0.2.50"
_VMS = [("192.0.2.51", 8265), ("192.0.2.52", 8265)]


class _Transport(testing.StringTransport):
    """A transport that keeps a changed protocol, as sockets do."""

    protocol = None

    def __init__(self):
        super().__init__()
        self.options = []

    def setTcpNoDelay(self, enabled):  # pylint: disable=invalid-name
        """Does nothing."""

    def getHandle(self):  # pylint: disable=invalid-name
        """Returns a socket that takes any option."""
        return self

    def setsockopt(self, *option):
        """Records the option."""
        self.options.append(option)

    def loseWriteConnection(self):  # pylint: disable=invalid-name
        """Does nothing."""

    def reportLoss(self):  # pylint: disable=invalid-name
        """Reports the loss that the protocol has asked for."""
        assert self.disconnecting
        self.protocol.connectionLost(failure.Failure(error.ConnectionDone()))

    def unregisterProducer(self):  # pylint: disable=invalid-name
        """Removes the producer, if there is one, as sockets do."""
        self.producer = None


class _Pages(protocol.ServerFactory):
    """Builds a protocol that repeats what it gets."""

    def buildProtocol(self, addr):
        """See `protocol.ServerFactory`."""
        built = protocol.Protocol()
        built.dataReceived = lambda data: built.transport.write(b"page:" + data)
        return built


class _Recorder(protocol.Protocol):
    """Records what arrives on a connection, and its end."""

    def __init__(self):
        self.data = b""
        self.ends = []

    def dataReceived(self, data):
        """Records data."""
        self.data += data

    def connectionLost(self, reason=protocol.connectionDone):
        """Records the end."""
        self.ends.append(reason.type)


class _Factory:
    """Records what becomes of a connection."""

    def __init__(self):
        self.failures = []
        self.relayed = []

    def buildProtocol(self, addr):  # pylint: disable=invalid-name
        """Returns the protocol of a direct connection."""
        del addr
        return protocol.Protocol()

    def build_relayed(self):
        """Returns the protocol of a connection through another VM."""
        self.relayed.append(_Recorder())
        return self.relayed[-1]

    def clientConnectionFailed(  # pylint: disable=invalid-name
            self, connector, reason):
        """Records a failure."""
        del connector
        self.failures.append(reason)


def _make_path(harness, reactor, vms):
    lost = []
    path = relay.RelayedPath(reactor, harness.clock, harness.scheduler,
                             harness.journal, harness.directory.list_endpoints,
                             lambda: vms, lost.append, random.Random(1))
    return path, lost


def _find_address(harness, index):
    endpoint = harness.directory.find_endpoint(f"endpoint-{index}")
    return endpoint.host, endpoint.port


def _fail_last(reactor):
    *_, factory, _, _ = reactor.tcpClients[-1]
    factory.clientConnectionFailed(None, failure.Failure(error.TimeoutError()))


def _lose_path(harness, path, reactor):
    for index in (0, 1):
        path.connect(_find_address(harness, index), _Factory())
        _fail_last(reactor)


def _open_tunnel(reactor, response):
    """Lets the VM that was asked last answer; returns the transport."""
    *_, factory, _, _ = reactor.tcpClients[-1]
    transport = _Transport()
    transport.protocol = factory.buildProtocol(None)
    transport.protocol.makeConnection(transport)
    transport.protocol.dataReceived(response)
    if transport.disconnected or transport.disconnecting:
        transport.protocol.connectionLost(
            failure.Failure(error.ConnectionLost()))
    return transport


def test_connections_lead_through_another_vm_while_the_path_is_lost():
    harness = harness_module.Harness(endpoints=3)
    reactor = testing.MemoryReactor()
    path, lost = _make_path(harness, reactor, _VMS)
    _lose_path(harness, path, reactor)
    assert lost == ["engine"]
    factory = _Factory()
    path.connect(_find_address(harness, 2), factory)
    assert reactor.tcpClients[-1][:2] in _VMS
    transport = _open_tunnel(reactor, b"HTTP/1.1 200 OK\r\n\r\n")
    assert transport.value().startswith(b"CONNECT endpoint-2 HTTP/1.1\r\n")
    assert factory.relayed[0].transport is transport
    assert not path.allows_reuse(_find_address(harness, 2), False)
    assert path.allows_reuse(_find_address(harness, 2), True)


def test_next_vm_is_asked_if_one_has_no_path_itself():
    harness = harness_module.Harness(endpoints=3)
    reactor = testing.MemoryReactor()
    path, _ = _make_path(harness, reactor, _VMS)
    _lose_path(harness, path, reactor)
    factory = _Factory()
    path.connect(_find_address(harness, 2), factory)
    asked = [reactor.tcpClients[-1][:2]]
    _open_tunnel(reactor, b"HTTP/1.1 503 Service Unavailable\r\n\r\n")
    asked.append(reactor.tcpClients[-1][:2])
    assert sorted(asked) == _VMS
    assert not factory.failures
    _open_tunnel(reactor, b"HTTP/1.1 502 Bad Gateway\r\n\r\n")
    assert len(factory.failures) == 1


def test_path_without_other_vms_is_direct():
    harness = harness_module.Harness(endpoints=3)
    reactor = testing.MemoryReactor()
    path, _ = _make_path(harness, reactor, [])
    _lose_path(harness, path, reactor)
    path.connect(_find_address(harness, 2), _Factory())
    assert reactor.tcpClients[-1][:2] == _find_address(harness, 2)


def test_probe_finds_the_path_again():
    harness = harness_module.Harness(endpoints=3)
    reactor = testing.MemoryReactor()
    path, _ = _make_path(harness, reactor, _VMS)
    _lose_path(harness, path, reactor)
    harness.scheduler.advance(harness_module.ms(600))
    *_, probe, _, _ = reactor.tcpClients[-1]
    assert reactor.tcpClients[-1][:2] not in _VMS
    assert probe.buildProtocol(None) is None
    assert path.has_path(harness.directory.find_endpoint("endpoint-0"))
    assert [
        fields["state"]
        for event, fields in harness.journal.lines
        if event == "endpoint_path"
    ] == ["lost", "direct"]


@pytest.mark.parametrize("ip, name, has_path, status",
                         [("192.0.2.99", "endpoint-0", True, 403),
                          (_VM, "endpoint-9", True, 404),
                          (_VM, "endpoint-0", False, 503),
                          (_VM, "endpoint-0", True, None)])
def test_tunnel_leads_only_from_vms_to_endpoints(ip, name, has_path, status):
    harness = harness_module.Harness(endpoints=1)
    reactor = testing.MemoryReactor()
    path, _ = _make_path(harness, reactor, [])
    server = tunnel_server.TunnelServer(_Pages(), harness.scheduler, path,
                                        harness.directory.find_endpoint,
                                        lambda each: each == _VM,
                                        lambda endpoint: has_path)
    transport = _Transport()
    transport.protocol = server.buildProtocol(
        address_module.IPv4Address("TCP", ip, 40_000))
    transport.protocol.makeConnection(transport)
    for part in (b"CON", b"NECT " + name.encode(), b" HTTP/1.1\r\n\r\n"):
        transport.protocol.dataReceived(part)
    if status is None:
        assert reactor.tcpClients[-1][:2] == _find_address(harness, 0)
    else:
        assert not reactor.tcpClients
        assert transport.value().startswith(b"HTTP/1.1 %d " % status)
        assert transport.disconnecting


def test_other_requests_on_the_port_get_their_page():
    harness = harness_module.Harness(endpoints=1)
    path, _ = _make_path(harness, testing.MemoryReactor(), [])
    server = tunnel_server.TunnelServer(_Pages(), harness.scheduler, path,
                                        harness.directory.find_endpoint,
                                        lambda ip: True, path.has_path)
    transport = _Transport()
    transport.protocol = server.buildProtocol(
        address_module.IPv4Address("TCP", "192.0.2.99", 40_000))
    transport.protocol.makeConnection(transport)
    transport.protocol.dataReceived(b"GET /configuration HTTP/1.1\r\n\r\n")
    assert transport.value() == b"page:GET /configuration HTTP/1.1\r\n\r\n"


def _open_relayed(response):
    """Returns the transport and the inner protocol of a relayed connection."""
    harness = harness_module.Harness(endpoints=3)
    reactor = testing.MemoryReactor()
    path, _ = _make_path(harness, reactor, _VMS)
    _lose_path(harness, path, reactor)
    factory = _Factory()
    path.connect(_find_address(harness, 2), factory)
    return _open_tunnel(reactor, response), factory.relayed[0]


_CHUNKED_REQUEST = (b"CONNECT endpoint-0 HTTP/1.1\r\n"
                    b"Tunnel-Format: chunked\r\n\r\n")
_CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTunnel-Format: chunked\r\n\r\n"


def test_end_of_the_relaying_process_is_no_end_of_the_endpoint():
    # The system closes the connections of a process that ends regularly.
    transport, inner = _open_relayed(_CHUNKED_RESPONSE)
    transport.protocol.dataReceived(b"5\r\nevent\r\n")
    transport.protocol.connectionLost(failure.Failure(error.ConnectionDone()))
    assert (inner.data, inner.ends) == (b"event", [error.ConnectionLost])


def test_end_of_a_tunnel_without_chunks_is_no_end_of_the_endpoint():
    # A VM of an earlier build relays the end of its process like any other.
    transport, inner = _open_relayed(b"HTTP/1.1 200 OK\r\n\r\n")
    transport.protocol.dataReceived(b"event")
    transport.protocol.connectionLost(failure.Failure(error.ConnectionDone()))
    assert (inner.data, inner.ends) == (b"event", [error.ConnectionLost])


def test_last_chunk_is_the_end_of_the_endpoint():
    transport, inner = _open_relayed(_CHUNKED_RESPONSE + b"5\r\nevent\r\n")
    transport.protocol.dataReceived(b"1\r\n.\r\n0\r\n\r\n")
    assert (inner.data, inner.ends) == (b"event.", [error.ConnectionDone])
    assert transport.disconnecting or transport.disconnected
    transport.protocol.connectionLost(failure.Failure(error.ConnectionDone()))
    assert len(inner.ends) == 1


def test_malformed_chunk_loses_the_connection():
    transport, inner = _open_relayed(_CHUNKED_RESPONSE)
    transport.protocol.dataReceived(b"no size\r\n")
    assert transport.disconnected
    transport.protocol.connectionLost(failure.Failure(
        error.ConnectionAborted()))
    assert inner.ends == [error.ConnectionAborted]


def _relay(head, connection=None):
    """Opens a tunnel at a server; returns its two transports and the server.

    Args:
        head (bytes): The request for the tunnel.
        connection (real_connection.RealConnection): The connection to the
            endpoint; None for one without a network.
    """
    harness = harness_module.Harness(endpoints=1)
    reactor = testing.MemoryReactor()
    path, _ = _make_path(harness, reactor, [])
    server = tunnel_server.TunnelServer(_Pages(), harness.scheduler, path,
                                        harness.directory.find_endpoint,
                                        lambda ip: True, path.has_path)
    inner = _Transport()
    inner.protocol = server.buildProtocol(
        address_module.IPv4Address("TCP", _VM, 40_000))
    inner.protocol.makeConnection(inner)
    inner.connected = True
    inner.protocol.dataReceived(head)
    *_, factory, _, _ = reactor.tcpClients[-1]
    if connection is not None:
        connection.open(factory.buildProtocol(None))
        return inner, connection.transport, server
    outer = _Transport()
    outer.protocol = factory.buildProtocol(None)
    outer.protocol.makeConnection(outer)
    return inner, outer, server


def test_relayed_end_of_the_endpoint_is_the_last_chunk():
    inner, outer, _ = _relay(_CHUNKED_REQUEST)
    inner.protocol.dataReceived(b"request")
    assert outer.value() == b"request"
    outer.protocol.dataReceived(b"answer")
    outer.protocol.handle_end()
    outer.protocol.connectionLost(failure.Failure(error.ConnectionDone()))
    assert inner.value() == _CHUNKED_RESPONSE + b"6\r\nanswer\r\n0\r\n\r\n"


def test_vm_without_chunks_sees_the_end_of_the_relaying_process_as_a_reset():
    # A VM of an earlier build takes any regular end for the endpoint's.
    inner, outer, _ = _relay(b"CONNECT endpoint-0 HTTP/1.1\r\n\r\n")
    linger = [each[2] for each in inner.options if each[1] == socket.SO_LINGER]
    assert linger == [struct.pack("ii", 1, 0)]
    outer.protocol.dataReceived(b"answer")
    assert inner.value() == b"HTTP/1.1 200 OK\r\n\r\nanswer"
    outer.protocol.handle_end()
    assert inner.options[-1][1:] == (socket.SO_LINGER, struct.pack("ii", 0, 0))


@pytest.mark.parametrize("is_reset", [False, True])
def test_hang_up_of_a_reset_connection_is_relayed_as_no_end(is_reset):
    # While the system handles a reset, a poll may show a hang-up without input.
    connection = real_connection.RealConnection()
    inner, _, _ = _relay(_CHUNKED_REQUEST, connection)
    connection.receive(b"event")
    connection.close(is_reset)
    connection.handle(select.EPOLLHUP)
    assert inner.value().endswith(b"0\r\n\r\n") == (not is_reset)
    connection.end()


@pytest.mark.parametrize("is_endpoint_first", [True, False])
@pytest.mark.parametrize(
    "head", [_CHUNKED_REQUEST, b"CONNECT endpoint-0 HTTP/1.1\r\n\r\n"])
def test_tunnel_whose_sides_close_one_after_the_other_is_freed(
        head, is_endpoint_first):
    # After 256 of them a VM refused all tunnels.
    inner, outer, server = _relay(head)
    assert server.open_tunnels == 1
    sides = [outer, inner] if is_endpoint_first else [inner, outer]
    sides[0].protocol.handle_end()
    assert server.open_tunnels == 1
    sides[1].protocol.handle_end()
    for each in sides:
        each.reportLoss()
    assert server.open_tunnels == 0


def test_next_vm_is_asked_if_one_does_not_respond():
    """It stands still, or its network has lost the connection."""
    harness = harness_module.Harness(endpoints=3)
    reactor = testing.MemoryReactor()
    path, _ = _make_path(harness, reactor, _VMS)
    _lose_path(harness, path, reactor)
    factory = _Factory()
    path.connect(_find_address(harness, 2), factory)
    asked = [reactor.tcpClients[-1][:2]]
    transport = _open_tunnel(reactor, b"")
    harness.scheduler.advance(harness_module.ms(799))
    assert not transport.disconnected
    harness.scheduler.advance(harness_module.ms(1))
    assert transport.disconnected
    transport.protocol.connectionLost(failure.Failure(
        error.ConnectionAborted()))
    asked.append(
        next(each[:2]
             for each in reversed(reactor.tcpClients)
             if each[:2] in _VMS))
    assert sorted(asked) == _VMS


def test_open_tunnel_has_no_time_limit():
    harness = harness_module.Harness(endpoints=3)
    reactor = testing.MemoryReactor()
    path, _ = _make_path(harness, reactor, _VMS)
    _lose_path(harness, path, reactor)
    path.connect(_find_address(harness, 2), _Factory())
    transport = _open_tunnel(reactor, _CHUNKED_RESPONSE)
    harness.scheduler.advance(harness_module.ms(60_000))
    assert not transport.disconnected


@pytest.mark.parametrize("sent, is_reset", [(b"", True), (b"CONN", True),
                                            (b"CONNECT endpoint-0 HTTP", True),
                                            (_CHUNKED_REQUEST, False),
                                            (b"GET / HT", False)])
def test_connection_without_a_whole_request_is_reset(sent, is_reset):
    """Otherwise each would count as a tunnel from then on."""
    harness = harness_module.Harness(endpoints=1)
    path, _ = _make_path(harness, testing.MemoryReactor(), [])
    server = tunnel_server.TunnelServer(_Pages(), harness.scheduler, path,
                                        harness.directory.find_endpoint,
                                        lambda ip: True, path.has_path)
    transport = _Transport()
    transport.protocol = server.buildProtocol(
        address_module.IPv4Address("TCP", _VM, 40_000))
    transport.protocol.makeConnection(transport)
    if sent:
        transport.protocol.dataReceived(sent)
    harness.scheduler.advance(harness_module.ms(2000))
    assert transport.disconnected == is_reset
    transport.protocol.connectionLost(failure.Failure(
        error.ConnectionAborted()))
    assert not server.open_tunnels
