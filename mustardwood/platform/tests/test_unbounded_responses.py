"""Tests of a store and of peers whose response has no end."""

import random

from twisted.internet import defer

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import http1
from mustardwood import peers
from mustardwood import profiles
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.http1.tests import fake_transport
from mustardwood.platform import peer_synchronizer
from mustardwood.platform import store_client

ms = harness_module.ms
_READ_BYTES = 64 * 1024
"""Size of the parts in which bytes are received."""
_MAX_STORE_BYTES = 16 * 1024 * 1024
"""Size by which a response of the store has to be cut off."""
_MAX_PEER_BYTES = 8 * 1024 * 1024
"""Size by which a response of a peer has to be cut off."""
_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


class _Reactor:
    """Opens fake connections.

    Attributes:
        factories: The factories of the connections.
    """

    def __init__(self):
        self.factories = []

    def connectTCP(  # pylint: disable=invalid-name
            self, host, port, factory, timeout):
        """Records a connection attempt."""
        del host, port, timeout
        self.factories.append(factory)

    def connect(self):
        """Opens the last connection."""
        connection = self.factories[-1].buildProtocol(None)
        connection.makeConnection(fake_transport.FakeTransport())
        return connection

    def receive_endlessly(self, max_bytes):
        """Delivers a body on the last connection until it is closed.

        Returns:
            Number of bytes delivered, little over `max_bytes` at most.
        """
        connection = self.connect()
        connection.dataReceived(_HEAD)
        sent_bytes = 0
        while not connection.transport.closed and sent_bytes <= max_bytes:
            connection.dataReceived(b"x" * _READ_BYTES)
            sent_bytes += _READ_BYTES
        return sent_bytes


class _Harness:

    def __init__(self):
        self.clock = timing.ManualClock()
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.reactor = _Reactor()
        self.pool = http1.ConnectionPool(self.reactor, self.clock,
                                         self.scheduler)


class _Watcher:
    configuration_position = peers.ConfigurationPosition(5, 0, 5)
    position = (0, 5)
    is_connected = False
    is_receiving = False

    def check_era(self, era):
        """Ignores the peer's era."""

    def record_peer_position(self, position):
        """Ignores the peer's position."""

    def apply_peer_configuration(self, item):
        """Fails; no configuration is expected."""
        raise AssertionError(item)


def _start_fetch(harness):
    """Lets a VM read the configuration from a peer that uses a newer one."""
    loads = dispatch.LoadTable(harness.clock)
    remote = peers.PeerProtocol(
        "vm-2", harness.clock, loads, dispatch.PrefixCacheIndex(harness.clock),
        dispatch.CrashRecord(harness.clock),
        dispatch.PromptPartCrashes(harness.clock, random.Random(3)),
        dispatch.FreshnessProof(harness.clock, ms(5000), ms(500)),
        random.Random(1), dispatch.StreamVersionTable(harness.clock),
        dispatch.EndpointRateLimits("vm", harness.clock, lambda: ()),
        dispatch.EndpointNotices("vm", harness.clock),
        dispatch.TierAdmission(
            harness.clock, loads,
            dispatch.EndpointRateLimits("vm", harness.clock, lambda: ()),
            dispatch.PlacementSettings()),
        profiles.EngineProfiles(harness.clock))
    local = peers.PeerProtocol(
        "vm-1", harness.clock, loads, dispatch.PrefixCacheIndex(harness.clock),
        dispatch.CrashRecord(harness.clock),
        dispatch.PromptPartCrashes(harness.clock, random.Random(3)),
        dispatch.FreshnessProof(harness.clock, ms(5000), ms(500)),
        random.Random(2), dispatch.StreamVersionTable(harness.clock),
        dispatch.EndpointRateLimits("vm", harness.clock, lambda: ()),
        dispatch.EndpointNotices("vm", harness.clock),
        dispatch.TierAdmission(
            harness.clock, loads,
            dispatch.EndpointRateLimits("vm", harness.clock, lambda: ()),
            dispatch.PlacementSettings()),
        profiles.EngineProfiles(harness.clock))
    journal = harness_module.FakeJournal()
    synchronizer = peer_synchronizer.PeerSynchronizer(local, loads,
                                                      harness.clock,
                                                      harness.scheduler,
                                                      harness.pool, _Watcher(),
                                                      journal, "vm-1",
                                                      random.Random(1))
    synchronizer.set_vm("vm-2", b"192.0.2.2:8229")

    def receive_update():
        update = remote.build_updates(["vm-1"],
                                      peers.ConfigurationPosition(9, 0,
                                                                  9))[0][1]
        synchronizer.port.datagramReceived(update, ("192.0.2.2", 1))
        harness.scheduler.advance(ms(200))

    receive_update()
    return journal, receive_update


def test_response_of_the_store_without_end_is_cut_off():
    harness = _Harness()
    client = store_client.StoreClient(("192.0.2.1", 1), harness.pool,
                                      harness.scheduler)
    failures = []
    defer.ensureDeferred(client.read_key("a")).addErrback(failures.append)
    sent_bytes = harness.reactor.receive_endlessly(2 * _MAX_STORE_BYTES)
    assert sent_bytes <= _MAX_STORE_BYTES + _READ_BYTES
    assert failures[0].check(errors.UnavailableError)


def test_configuration_of_a_peer_without_end_is_cut_off():
    harness = _Harness()
    journal, _ = _start_fetch(harness)
    sent_bytes = harness.reactor.receive_endlessly(2 * _MAX_PEER_BYTES)
    assert sent_bytes <= _MAX_PEER_BYTES
    event, fields = journal.lines[-1]
    assert event == "configuration_from_peer"
    assert fields["error"] == "the body is too long"


def test_configuration_is_read_again_if_a_peer_falls_silent_within_it():
    harness = _Harness()
    _, receive_update = _start_fetch(harness)
    connection = harness.reactor.connect()
    connection.dataReceived(_HEAD + b"{")
    harness.scheduler.advance(ms(5000))
    assert connection.transport.closed == "reset"
    receive_update()
    assert len(harness.reactor.factories) == 2
