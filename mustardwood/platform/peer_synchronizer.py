"""News between this VM and its peers."""

import collections.abc
import datetime

import msgspec

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import http1
from mustardwood import peers
from mustardwood import timing
from mustardwood.platform import settings
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher

CONFIGURATION_PAGE = "/configuration"
"""Path at which peers read the configuration in force."""
_TICK = datetime.timedelta(milliseconds=20)
"""Shortest interval of messages: a tenth of a long prompt's prefill."""
_TICK_A_PEER = datetime.timedelta(milliseconds=5)
"""Longer interval for each peer beyond `_FEW_PEERS`: it bounds 60 VMs at some
200 datagrams a second each way, half of what eight peers get."""
_FEW_PEERS = 8
"""Peers that get a message at each tick."""
_LONGEST_TICK = datetime.timedelta(milliseconds=500)
"""Bound on the interval: half of the time for which a message counts."""
_IDLE = datetime.timedelta(milliseconds=200)
"""Time without a change of load after which a message is sent anyway.

It is a fifth of the time for which a message counts, whatever the number of
peers.
"""
_SILENCE = datetime.timedelta(seconds=15)
"""Silence after which an unregistered peer is forgotten."""
_PULL_DELAY = datetime.timedelta(milliseconds=200)
"""Time for the store's own news of a configuration that a peer has."""


class PeerSynchronizer:
    """Sends this VM's work to its peers and follows theirs.

    A peer's newer configuration is read from the peer when the store does not
    deliver it, so that a VM which the store refuses stays current.
    """

    def __init__(self, exchange: peers.PeerProtocol, loads: dispatch.LoadTable,
                 clock: timing.Clock, scheduler: dispatch.Scheduler,
                 pool: http1.ConnectionPool,
                 follower: store_watcher.StoreWatcher,
                 journal: dispatch.Journal, vm: str) -> None:
        self._exchange = exchange
        self._loads = loads
        self._clock = clock
        self._scheduler = scheduler
        self._pool = pool
        self._follower = follower
        self._journal = journal
        self._vm = vm
        self._addresses: dict[str, tuple[str, int]] = {}
        self._removed: dict[str, datetime.timedelta] = {}
        self._heard: dict[str, datetime.timedelta] = {}
        self._is_pulling = False
        self._sent_version = -1
        self._sent_at = datetime.timedelta()
        self.port = peers.DatagramPort(self._take)

    @property
    def count(self) -> int:
        """Number of peers that are registered or were heard of late."""
        return len(self._addresses)

    def start(self) -> None:
        """Begins to send."""
        self._tick()

    def set_vm(self, name: str, value: bytes | None) -> None:
        """Takes over a registration; None when it is removed."""
        if name == self._vm:
            return
        if value is None:
            self._removed[name] = self._clock.monotonic()
            return
        try:
            address = settings.parse_address(value.decode("latin-1"))
        except errors.SettingsError as error:
            self._journal.write("peer_rejected", peer=name, error=str(error))
            return
        self._removed.pop(name, None)
        if self._addresses.get(name) != address:
            self._addresses[name] = address
            self._journal.write("peer", peer=name, address=address)

    def _tick(self) -> None:
        now = self._clock.monotonic()
        if (self._loads.version != self._sent_version or
                now - self._sent_at >= _IDLE):
            self._sent_version = self._loads.version
            self._sent_at = now
            for name, news in self._exchange.build_updates(
                    self._addresses, self._follower.revision):
                self.port.send(news, self._addresses[name])
            self._forget_silent()
        more = max(0, len(self._addresses) - _FEW_PEERS)
        self._scheduler.call_later(
            min(_TICK + _TICK_A_PEER * more, _LONGEST_TICK), self._tick)

    def _forget_silent(self) -> None:
        oldest = self._clock.monotonic() - _SILENCE
        for name, since in list(self._removed.items()):
            if max(since, self._heard.get(name, since)) < oldest:
                del self._removed[name]
                self._heard.pop(name, None)
                self._addresses.pop(name, None)
                self._exchange.forget_peer(name)
                self._journal.write("peer_gone", peer=name)

    def _take(self, data: bytes) -> None:
        found = self._exchange.receive_update(data, self._follower.revision)
        if found is None:
            return
        self._heard[found.sender] = self._clock.monotonic()
        if found.revision > self._follower.revision and not self._is_pulling:
            self._is_pulling = True
            self._scheduler.call_later(
                _PULL_DELAY, lambda: self._pull(found.sender, found.revision))

    def _pull(self, peer: str, revision: int) -> None:
        address = self._addresses.get(peer)
        if self._follower.revision >= revision or address is None:
            self._is_pulling = False
            return
        host = f"{address[0]}:{address[1]}".encode()
        self._pool.send(
            address,
            http1.HttpRequest("GET", CONFIGURATION_PAGE, [(b"Host", host)]),
            _PulledItem(self._end_pull))

    def _end_pull(self, item: store_client.Item | None, reason: str) -> None:
        self._is_pulling = False
        self._journal.write("configuration_from_peer",
                            revision=0 if item is None else item.revision,
                            error=reason)
        if item is not None:
            self._follower.apply_configuration(item)


class _PulledItem:
    """Collects the configuration that a peer sends."""

    def __init__(
        self, deliver: collections.abc.Callable[[store_client.Item | None, str],
                                                None]
    ) -> None:
        self._deliver = deliver
        self._status = 0
        self._body = bytearray()

    def accepts(self, status: int, names: http1.Headers) -> bool:
        """Takes every answer."""
        del status, names
        return True

    def receive_head(self, status: int, names: http1.Headers) -> None:
        """Takes the status."""
        del names
        self._status = status

    def receive_data(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._body += data

    def receive_end(self) -> None:
        """Delivers the item."""
        try:
            item = msgspec.json.decode(bytes(self._body),
                                       type=store_client.Item)
        except msgspec.MsgspecError as error:
            self._deliver(None, f"status {self._status}: {error}")
            return
        self._deliver(item, "")

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Delivers the failure."""
        del was_sent
        self._deliver(None, reason)
