"""The path to endpoints: direct, or through another VM."""

import collections.abc
import datetime
import random
import typing

from twisted.internet import error as internet_error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import http1
from mustardwood import timing
from mustardwood.relay import path_monitor
from mustardwood.relay import relayed_connection
from mustardwood.relay import tunnel_server

_MAX_TRIED_VMS = 3
"""Number of VMs that are asked for a tunnel for one connection."""
_AVOID_TIME = datetime.timedelta(seconds=1)
"""Time for which a VM that has no path itself is not asked again."""
_MAX_RESPONSE_TIME = 2 * http1.CONNECT_TIMEOUT
"""Time within which a VM responds to a request for a tunnel.

It opens the connection to the endpoint in that time.
"""
_MAX_LISTING_AGE = datetime.timedelta(seconds=1)
"""Time after which the endpoints are listed again."""
_PROBED_ENDPOINTS = 2
"""Number of endpoints that are probed at a time."""

Address = tuple[str, int]
ListEndpoints = collections.abc.Callable[
    [], collections.abc.Iterable[dispatch.Endpoint]]
ListVms = collections.abc.Callable[[], collections.abc.Sequence[Address]]


class RelayedPath:
    """Opens connections directly or, while that fails, through other VMs.

    It implements `http1.Path`. While the path is lost, a connection that could
    not be opened says nothing about its endpoint. The path to each service may
    be lost by itself.
    """

    def __init__(self, reactor: typing.Any, clock: timing.Clock,
                 scheduler: dispatch.Scheduler, journal: dispatch.Journal,
                 list_endpoints: ListEndpoints, list_vms: ListVms,
                 on_lost: collections.abc.Callable[[str], None],
                 rng: random.Random) -> None:
        """Creates a direct path.

        Args:
            reactor: Twisted's reactor.
            clock: Source of the monotonic time.
            scheduler: Schedules probes.
            journal: Logs when the path is lost and found.
            list_endpoints: Returns the known endpoints of all services.
            list_vms: Returns the addresses of the other VMs that run.
            on_lost: Called with the name of a service when the path to it is
                lost; what was learned of its endpoints since may be wrong.
            rng: Chooses VMs and probed endpoints.
        """
        self._reactor = reactor
        self._clock = clock
        self._scheduler = scheduler
        self._journal = journal
        self._list_endpoints = list_endpoints
        self._list_vms = list_vms
        self._on_lost = on_lost
        self._rng = rng
        self._monitors: dict[str, path_monitor.PathMonitor] = {}
        self._endpoints: dict[Address, dispatch.Endpoint] = {}
        self._listed_at: datetime.timedelta | None = None
        self._avoided: dict[Address, datetime.timedelta] = {}
        self._is_check_scheduled = False
        self.opened_tunnels = 0

    @property
    def lost_count(self) -> int:
        """Number of services to which the path is lost."""
        return sum(each.is_lost for each in self._monitors.values())

    def has_path(self, endpoint: dispatch.Endpoint) -> bool:
        """Returns whether an endpoint's service can be reached directly."""
        monitor = self._monitors.get(endpoint.service)
        return monitor is None or not monitor.is_lost

    def connect(self, address: Address,
                factory: http1.EndpointFactory) -> typing.Any:
        """See `http1.Path`."""
        endpoint = self._find_endpoint(address)
        if endpoint is not None and not self.has_path(endpoint):
            tunnel = _Tunnel(self, endpoint.name, factory)
            if tunnel.try_next():
                return tunnel
        return self.connect_directly(address, factory)

    def connect_directly(self, address: Address,
                         factory: typing.Any) -> typing.Any:
        """Opens a connection over this VM's own path.

        Args:
            address: IP address and port of the endpoint.
            factory: Twisted's client factory, which builds the protocol.

        Returns:
            Twisted's connector.
        """
        return self._reactor.connectTCP(
            *address,
            _ObservedFactory(self, address, factory),
            timeout=http1.CONNECT_TIMEOUT.total_seconds())

    def allows_reuse(self, address: Address, is_relayed: bool) -> bool:
        """See `http1.Path`."""
        monitor = self._find_monitor(address)
        if monitor is None:
            return not is_relayed
        if is_relayed:
            return monitor.is_lost
        return not (monitor.is_lost and monitor.is_silent)

    def record_write(self, address: Address) -> None:
        """See `http1.Path`."""
        monitor = self._find_monitor(address)
        if monitor is not None:
            monitor.record_write(address)
            self._schedule_check()

    def record_data(self, address: Address) -> None:
        """See `http1.Path`."""
        monitor = self._find_monitor(address)
        if monitor is not None:
            monitor.record_data()

    def record_connection(self, address: Address) -> None:
        """Records that a direct connection was opened."""
        monitor = self._find_monitor(address)
        if monitor is None:
            return
        was_lost = monitor.is_lost
        monitor.record_connection()
        if was_lost:
            self._journal.write("endpoint_path",
                                service=self._endpoints[address].service,
                                state="direct",
                                vms=len(self._list_vms()))

    def record_failure(self, address: Address) -> None:
        """Records that a direct connection could not be opened."""
        monitor = self._find_monitor(address)
        if monitor is None:
            return
        service = self._endpoints[address].service
        was_lost = monitor.is_lost
        monitor.record_failure(address, len(self._list_addresses(service)))
        if monitor.is_lost and not was_lost:
            self._journal.write("endpoint_path",
                                service=service,
                                state="lost",
                                vms=len(self._list_vms()))
            self._on_lost(service)
        self._probe()
        self._schedule_check()

    def choose_vm(self, tried: collections.abc.Set[Address]) -> Address | None:
        """Returns a VM to ask for a tunnel; None if there is none.

        Args:
            tried: VMs that were asked for the same connection.
        """
        if len(tried) >= _MAX_TRIED_VMS:
            return None
        now = self._clock.monotonic()
        found = [each for each in self._list_vms() if each not in tried]
        preferred = [
            each for each in found if self._avoided.get(each, now) <= now
        ]
        return self._rng.choice(preferred or found) if found else None

    def open_tunnel(self, vm: Address,
                    factory: protocol.ClientFactory) -> typing.Any:
        """Connects to another VM for a tunnel; returns Twisted's connector."""
        self.opened_tunnels += 1
        return self._reactor.connectTCP(
            *vm, factory, timeout=http1.CONNECT_TIMEOUT.total_seconds())

    def avoid_vm(self, vm: Address) -> None:
        """Records that a VM could not open a tunnel."""
        now = self._clock.monotonic()
        self._avoided = {
            each: until for each, until in self._avoided.items() if until > now
        }
        self._avoided[vm] = now + _AVOID_TIME

    def start_response_timer(self, transport: typing.Any) -> dispatch.Timer:
        """Has a connection reset unless the timer is cancelled in time."""
        return self._scheduler.call_later(_MAX_RESPONSE_TIME,
                                          transport.abortConnection)

    def _find_endpoint(self, address: Address) -> dispatch.Endpoint | None:
        now = self._clock.monotonic()
        if (address not in self._endpoints or self._listed_at is None or
                now - self._listed_at >= _MAX_LISTING_AGE):
            self._listed_at = now
            self._endpoints = {
                (each.host, each.port): each for each in self._list_endpoints()
            }
        return self._endpoints.get(address)

    def _find_monitor(self,
                      address: Address) -> path_monitor.PathMonitor | None:
        """Returns the monitor for an address; None if it is no endpoint's."""
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            return None
        monitor = self._monitors.get(endpoint.service)
        if monitor is None:
            monitor = path_monitor.PathMonitor(self._clock)
            self._monitors[endpoint.service] = monitor
        return monitor

    def _list_addresses(self, service: str) -> list[Address]:
        return sorted(address for address, each in self._endpoints.items()
                      if each.service == service)

    def _schedule_check(self) -> None:
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._scheduler.call_later(path_monitor.PROBE_INTERVAL, self._check)

    def _check(self) -> None:
        self._is_check_scheduled = False
        self._probe()
        if any(each.needs_probes for each in self._monitors.values()):
            self._schedule_check()

    def _probe(self) -> None:
        """Opens connections to some endpoints, if it is time for that."""
        for service, monitor in list(self._monitors.items()):
            if not monitor.take_probe():
                continue
            addresses = self._list_addresses(service)
            count = min(_PROBED_ENDPOINTS, len(addresses))
            for each in self._rng.sample(addresses, count):
                self.connect_directly(each, _ProbeFactory())


class _Tunnel:
    """A connection that is being opened through one VM after another."""

    def __init__(self, path: RelayedPath, name: str,
                 factory: http1.EndpointFactory) -> None:
        self._path = path
        self._factory = factory
        self._name = name
        self._tried: set[Address] = set()
        self._connector: typing.Any = None
        self._is_ended = False

    def try_next(self) -> bool:
        """Asks the next VM; returns False if there is none."""
        vm = self._path.choose_vm(self._tried)
        if vm is None:
            return False
        self._tried.add(vm)
        self._connector = self._path.open_tunnel(
            vm, _HandshakeFactory(self._path, self, vm, self._name))
        return True

    def disconnect(self) -> None:
        """Stops opening the connection."""
        self._is_ended = True
        self._connector.disconnect()

    def open(self, transport: typing.Any, is_chunked: bool,
             data: bytes) -> None:
        """Starts the protocol of the connection, whose tunnel is open.

        Args:
            transport: Twisted's transport.
            is_chunked: Whether the tunnel has an explicit end.
            data: Data that was received after the response for the tunnel.
        """
        if self._is_ended:
            transport.abortConnection()
            return
        self._is_ended = True
        chosen: typing.Any = self._factory.build_relayed()
        if chosen is None:
            transport.abortConnection()
            return
        relayed: typing.Any = relayed_connection.RelayedConnection(
            chosen, is_chunked)
        transport.protocol = relayed
        relayed.makeConnection(transport)
        if data:
            relayed.dataReceived(data)

    def handle_failure(self, vm: Address) -> None:
        """Asks the next VM, or reports that the connection failed.

        Args:
            vm: The VM that has opened no tunnel.
        """
        if self._is_ended:
            return
        self._path.avoid_vm(vm)
        if not self.try_next():
            self._is_ended = True
            self._factory.clientConnectionFailed(
                self._connector,
                failure.Failure(internet_error.ConnectionRefusedError()))


class _HandshakeFactory(protocol.ClientFactory):
    """Connects to a VM and asks it for a tunnel."""

    noisy = False

    def __init__(self, path: RelayedPath, tunnel: _Tunnel, vm: Address,
                 name: str) -> None:
        self._path = path
        self._tunnel = tunnel
        self._vm = vm
        self._name = name

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: typing.Any) -> protocol.Protocol:
        """See `protocol.ClientFactory`."""
        del addr
        return _Handshake(self._path, self._tunnel, self._vm, self._name)

    def clientConnectionFailed(  # pylint: disable=invalid-name
            self, connector: interfaces.IConnector,
            reason: failure.Failure) -> None:
        """See `protocol.ClientFactory`."""
        del connector, reason
        self._tunnel.handle_failure(self._vm)


class _Handshake(protocol.Protocol):
    """Asks a VM for a tunnel to an endpoint."""

    transport: typing.Any

    def __init__(self, path: RelayedPath, tunnel: _Tunnel, vm: Address,
                 name: str) -> None:
        self._path = path
        self._tunnel = tunnel
        self._vm = vm
        self._name = name
        self._head = b""
        self._timer: dispatch.Timer | None = None

    def connectionMade(self) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        self.transport.setTcpNoDelay(True)
        self._timer = self._path.start_response_timer(self.transport)
        self.transport.write(tunnel_server.METHOD + self._name.encode() +
                             b" HTTP/1.1\r\nHost: " + self._name.encode() +
                             b"\r\n" + tunnel_server.CHUNKED_FORMAT +
                             tunnel_server.END_OF_HEAD)

    def dataReceived(self, data: bytes) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        self._head += data
        head, separator, rest = self._head.partition(tunnel_server.END_OF_HEAD)
        if not separator:
            if len(self._head) > tunnel_server.MAX_HEAD_BYTES:
                self.transport.abortConnection()
            return
        self._cancel_timer()
        if head.split(b" ", 2)[1:2] == [b"200"]:
            self._tunnel.open(self.transport,
                              tunnel_server.has_chunked_format(head), rest)
        else:
            self.transport.abortConnection()

    def connectionLost(  # pylint: disable=invalid-name
            self,
            reason: failure.Failure = protocol.connectionDone) -> None:
        """See `protocol.Protocol`."""
        del reason
        self._cancel_timer()
        self._tunnel.handle_failure(self._vm)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _ObservedFactory(protocol.ClientFactory):
    """Reports to the path whether a direct connection was opened."""

    noisy = False

    def __init__(self, path: RelayedPath, address: Address,
                 factory: typing.Any) -> None:
        self._path = path
        self._address = address
        self._factory = factory

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: typing.Any) -> typing.Any:
        """See `protocol.ClientFactory`."""
        self._path.record_connection(self._address)
        return self._factory.buildProtocol(addr)

    def clientConnectionFailed(  # pylint: disable=invalid-name
            self, connector: interfaces.IConnector,
            reason: failure.Failure) -> None:
        """See `protocol.ClientFactory`."""
        # A timeout is a kind of `UserError`, which stands for a disconnect.
        if reason.type is not internet_error.UserError:
            self._path.record_failure(self._address)
        self._factory.clientConnectionFailed(connector, reason)


class _ProbeFactory(protocol.ClientFactory):
    """Opens a connection and closes it at once."""

    noisy = False

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: typing.Any) -> None:
        """See `protocol.ClientFactory`; without a protocol, it is closed."""
        del addr
