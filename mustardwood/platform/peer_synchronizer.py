"""Exchanges state updates with the other VMs of the deployment."""

import collections.abc
import datetime
import heapq
import random
import traceback

from mustardwood import decoding
from mustardwood import dispatch
from mustardwood import errors
from mustardwood import http1
from mustardwood import peers
from mustardwood import timing
from mustardwood.platform import settings
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher

CONFIGURATION_PATH = "/configuration"
"""Path at which peers read the configuration that this VM uses."""
_MIN_SEND_INTERVAL = datetime.timedelta(milliseconds=20)
"""Minimum interval of updates; a tenth of the prefill time of a long prompt."""
_SEND_INTERVAL_PER_PEER = datetime.timedelta(milliseconds=5)
"""Addition to the interval for each peer beyond `_PEERS_AT_MIN_INTERVAL`.

It limits a VM to about 200 datagrams per second in each direction, half the
rate of a VM with eight peers, in deployments of up to 200 VMs.
"""
_PEERS_AT_MIN_INTERVAL = 8
"""Number of peers up to which the minimum interval is used."""
_MAX_SEND_INTERVAL = datetime.timedelta(seconds=1)
"""Maximum interval; peers know a load and a freshness proof that much later."""
_KEEPALIVE_INTERVAL = datetime.timedelta(milliseconds=200)
"""Time after which an update is sent although the load has not changed.

It is a fifth of the time for which a received update is valid, whatever the
number of peers.
"""
_MAX_ASKED_PEERS = 8
"""Number of peers that are asked about a stream; most know all streams."""
_PEER_TIMEOUT = datetime.timedelta(seconds=15)
"""Time without updates after which an unregistered peer is removed."""
_MAX_SILENCE = datetime.timedelta(seconds=2.5)
"""Time without updates after which a peer may not run any more.

Two updates at the longest interval may be lost.
"""
_FETCH_DELAY = datetime.timedelta(milliseconds=200)
"""Delay before a newer configuration is read from a peer."""
_DELIVERY_TIME = datetime.timedelta(seconds=1)
"""Time in which the store begins to deliver a change, if it can be reached.

Changes are gathered for a part of it.
"""
_FETCH_TIMEOUT = datetime.timedelta(milliseconds=1500)
"""Time in which a peer's response begins, as with the store."""
_MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024
"""Maximum size of a peer's response, more than twice the largest of the store.
"""


class PeerSynchronizer:
    """Sends this VM's load to its peers and receives theirs.

    If a peer uses a newer configuration that the store does not deliver, it is
    read from the peer. A VM that can't reach the store thus stays up to date.

    Load pattern: all VMs learn at the same time that one of them has a newer
    configuration, which the store takes a while to send to each. If all read it
    from that VM, none gets it soon, and its link carries nothing else. So a VM
    reads from a peer only what the store does not deliver, and from a random
    one of those that have it.

    Attributes:
        port: The UDP port for updates.
    """

    def __init__(self, protocol: peers.PeerProtocol, loads: dispatch.LoadTable,
                 clock: timing.Clock, scheduler: dispatch.Scheduler,
                 pool: http1.ConnectionPool,
                 watcher: store_watcher.StoreWatcher, journal: dispatch.Journal,
                 vm: str, rng: random.Random) -> None:
        self._rng = rng
        self._protocol = protocol
        self._loads = loads
        self._clock = clock
        self._scheduler = scheduler
        self._pool = pool
        self._watcher = watcher
        self._journal = journal
        self._vm = vm
        self._addresses: dict[str, tuple[str, int]] = {}
        self._removed_at: dict[str, datetime.timedelta] = {}
        self._received_at: dict[str, datetime.timedelta] = {}
        self._formats: dict[str, int] = {}
        self._configurations: dict[str, peers.ConfigurationPosition] = {}
        self._is_fetching = False
        self._newer_since = datetime.timedelta()
        self._sent_load_version = -1
        self._sent_at = datetime.timedelta()
        self.port = peers.DatagramPort(self._receive)

    @property
    def peer_count(self) -> int:
        """Number of peers that are registered or have sent updates recently."""
        return len(self._addresses)

    @property
    def peer_names(self) -> collections.abc.Iterable[str]:
        """Names of these peers."""
        return self._addresses.keys()

    def is_peer(self, ip: str) -> bool:
        """Returns whether an IP address is that of a peer."""
        return any(host == ip for host, _ in self._addresses.values())

    def list_running(self) -> list[tuple[str, int]]:
        """Returns the addresses of the peers that have sent updates recently.
        """
        oldest = self._clock.monotonic() - _MAX_SILENCE
        return [
            address for name, address in sorted(self._addresses.items())
            if self._received_at.get(name, datetime.timedelta()) >= oldest
        ]

    def start(self) -> None:
        """Starts to send updates."""
        self._repeat(self._send_updates)
        self._repeat(self._send_questions)

    def set_vm(self, name: str, value: bytes | None) -> None:
        """Handles a change of a VM's registration.

        Args:
            name: Name of the VM.
            value: Its address as IP:PORT; None if the registration was removed.
        """
        if name == self._vm:
            return
        if value is None:
            self._removed_at[name] = self._clock.monotonic()
            return
        try:
            address = settings.parse_address(value.decode("latin-1"))
        except errors.SettingsError as error:
            self._journal.write("peer_rejected", peer=name, error=str(error))
            return
        self._removed_at.pop(name, None)
        if self._addresses.get(name) != address:
            self._addresses[name] = address
            self._journal.write("peer", peer=name, address=address)

    def _repeat(self,
                send: collections.abc.Callable[[], datetime.timedelta]) -> None:
        """Sends, now and again after the returned interval.

        Failure: a value that messages can't hold. Without updates, peers would
        no longer know this VM's load, also after the value has changed.
        """
        interval = _MAX_SEND_INTERVAL
        try:
            interval = send()
        except Exception as error:  # pylint: disable=broad-exception-caught
            self._journal.write("error",
                                part="peer_updates",
                                error=str(error),
                                traceback=traceback.format_exc())
        self._scheduler.call_later(interval, lambda: self._repeat(send))

    def _send_updates(self) -> datetime.timedelta:
        """Sends an update if there is one; returns the time until the next."""
        now = self._clock.monotonic()
        if (self._loads.version != self._sent_load_version or
                self._protocol.has_new_streams or
                now - self._sent_at >= _KEEPALIVE_INTERVAL):
            self._sent_load_version = self._loads.version
            self._sent_at = now
            self._protocol.store_position = self._watcher.position
            for name, update in self._protocol.build_updates(
                    self._addresses, self._watcher.configuration_position):
                self.port.send(update, self._addresses[name])
            self._remove_silent_peers()
        interval = self._find_send_interval()
        self._loads.set_report_interval(interval)
        return interval

    def _find_send_interval(self) -> datetime.timedelta:
        extra_peers = max(0, len(self._addresses) - _PEERS_AT_MIN_INTERVAL)
        return min(_MIN_SEND_INTERVAL + _SEND_INTERVAL_PER_PEER * extra_peers,
                   _MAX_SEND_INTERVAL)

    def _send_questions(self) -> datetime.timedelta:
        """Asks the peers that were heard of last about unknown streams.

        Returns:
            The time until the next questions.
        """
        if self._protocol.has_questions:
            asked = heapq.nlargest(_MAX_ASKED_PEERS,
                                   self._addresses,
                                   key=lambda each: self._received_at.get(
                                       each, datetime.timedelta()))
            for name, update in self._protocol.build_questions(
                    asked, self._watcher.configuration_position):
                self.port.send(update, self._addresses[name])
        return _MIN_SEND_INTERVAL

    def _remove_silent_peers(self) -> None:
        oldest = self._clock.monotonic() - _PEER_TIMEOUT
        for name, since in list(self._removed_at.items()):
            if max(since, self._received_at.get(name, since)) < oldest:
                del self._removed_at[name]
                self._received_at.pop(name, None)
                self._formats.pop(name, None)
                self._configurations.pop(name, None)
                self._addresses.pop(name, None)
                self._protocol.forget_peer(name)
                self._journal.write("peer_gone", peer=name)

    def _record_format(self, name: str, number: int) -> None:
        """Logs which peers write another format than this build."""
        if self._formats.get(name, peers.UPDATE_FORMAT) != number:
            self._journal.write("peer_format",
                                peer=name,
                                format=number,
                                own_format=peers.UPDATE_FORMAT)
        self._formats[name] = number

    def _receive(self, data: bytes) -> None:
        received = self._protocol.receive_update(
            data, self._watcher.configuration_position)
        if received is None:
            return
        self._received_at[received.sender] = self._clock.monotonic()
        self._record_format(received.sender, received.format)
        self._configurations[received.sender] = received.configuration
        if received.questions and received.sender in self._addresses:
            for name, reply in self._protocol.build_answers(
                    received, self._watcher.configuration_position):
                self.port.send(reply, self._addresses[name])
        self._watcher.check_era(received.configuration.era)
        self._watcher.record_peer_position(
            store_client.Position(*received.store_position))
        if (received.configuration > self._watcher.configuration_position and
                not self._is_fetching):
            self._is_fetching = True
            self._newer_since = self._clock.monotonic()
            self._scheduler.call_later(_FETCH_DELAY, self._fetch_configuration)

    def _fetch_configuration(self) -> None:
        present = self._watcher.configuration_position
        newer = [
            name for name, each in sorted(self._configurations.items())
            if each > present and name in self._addresses
        ]
        if not newer:
            self._is_fetching = False
            return
        if self._is_delivered_by_store():
            self._scheduler.call_later(_FETCH_DELAY, self._fetch_configuration)
            return
        peer = self._rng.choice(newer)
        address = self._addresses[peer]
        host = f"{address[0]}:{address[1]}".encode()
        listener = _ConfigurationListener(
            lambda item, reason: self._finish_fetch(peer, item, reason))
        exchange = self._pool.send(address,
                                   http1.HttpRequest("GET", CONFIGURATION_PATH,
                                                     [(b"Host", host)]),
                                   listener,
                                   max_body_bytes=_MAX_CONFIGURATION_BYTES)
        listener.progress = http1.ProgressTimeout(
            self._scheduler, _FETCH_TIMEOUT,
            lambda: self._abort_fetch(peer, exchange))

    def _is_delivered_by_store(self) -> bool:
        """Returns whether the store delivers changes now, or is about to."""
        if not self._watcher.is_connected:
            return False
        return (self._watcher.is_receiving or
                self._clock.monotonic() - self._newer_since < _DELIVERY_TIME)

    def _abort_fetch(self, peer: str, exchange: http1.Exchange) -> None:
        if not exchange.is_finished:
            exchange.abort()
            self._finish_fetch(peer, None, "no answer in time")

    def _finish_fetch(self, peer: str, item: store_client.Item | None,
                      reason: str) -> None:
        self._is_fetching = False
        self._journal.write("configuration_from_peer",
                            peer=peer,
                            era=0 if item is None else item.era,
                            revision=0 if item is None else item.revision,
                            error=reason)
        if item is not None:
            self._watcher.apply_peer_configuration(item)


class _ConfigurationListener:
    """Collects the response to a configuration request to a peer.

    Attributes:
        progress: Ends the request if the response stalls.
    """

    def __init__(
        self, deliver: collections.abc.Callable[[store_client.Item | None, str],
                                                None]
    ) -> None:
        self._deliver = deliver
        self._status = 0
        self._body = bytearray()
        self.progress: http1.ProgressTimeout | None = None

    def accepts(self, status: int, response_headers: http1.Headers) -> bool:
        """Accepts every response."""
        del status, response_headers
        return True

    def receive_head(self, status: int,
                     response_headers: http1.Headers) -> None:
        """Records the status."""
        del response_headers
        self._status = status

    def receive_data(self, data: bytes) -> None:
        """Collects a part of the body."""
        self._body += data
        if self.progress is not None:
            self.progress.record(len(data))

    def receive_end(self) -> None:
        """Decodes and delivers the configuration."""
        self._stop_timeout()
        try:
            item = decoding.decode_json(bytes(self._body), store_client.Item)
        except decoding.DecodingError as error:
            self._deliver(None, f"status {self._status}: {error}")
            return
        self._deliver(item, "")

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Delivers the reason of the failure."""
        del was_sent
        self._stop_timeout()
        self._deliver(None, reason)

    def _stop_timeout(self) -> None:
        if self.progress is not None:
            self.progress.cancel()
