"""Links by pynng push and pull sockets."""

import asyncio
import datetime
import pathlib

import pynng

from mustardwood import errors
from mustardwood import messages
from mustardwood import runtime
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.links import link

_SEND_BUFFER_MESSAGES = 64
_RECEIVE_MAXIMUM_BYTES = 4 * 1024 * 1024
_RECONNECT_MINIMUM_MILLISECONDS = 50
_RECONNECT_MAXIMUM_MILLISECONDS = 500
_IDLE_LIMIT = datetime.timedelta(seconds=60)
_log = runtime.make_logger("links")


class PynngLink:
    """Listens on a pull socket and keeps a push socket for each peer.

    A push socket holds a few messages while its peer is away, so messages may
    come late; sends beyond that are dropped and counted in `dropped`.
    """

    def __init__(self, settings: settings_module.Settings, role: messages.Role,
                 clock: timing.Clock) -> None:
        self.dropped = 0
        self.malformed = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._settings = settings
        self._role = role
        self._clock = clock
        self._incarnation = int(clock.now().timestamp() * 1e9)
        self._handler: link.Handler | None = None
        self._pushes: dict[messages.Peer, pynng.Push0] = {}
        self._used: dict[messages.Peer, datetime.timedelta] = {}
        self._pull: pynng.Pull0 | None = None
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_settings(cls, settings: settings_module.Settings,
                      role: messages.Role, clock: timing.Clock) -> "PynngLink":
        """Makes the link of one process."""
        return cls(settings, role, clock)

    @property
    def incarnation(self) -> int:
        """Start time of this process, in nanoseconds since 1970."""
        return self._incarnation

    def set_handler(self, handler: link.Handler) -> None:
        """Sets what is called for each message received."""
        self._handler = handler

    def open(self) -> None:
        """Starts to listen; needs a running asyncio loop."""
        me = messages.Peer(self._settings.ip, self._role)
        self._pull = pynng.Pull0(listen=self._address(me),
                                 recv_max_size=_RECEIVE_MAXIMUM_BYTES,
                                 tls_config=self._make_server_tls())
        self._task = asyncio.ensure_future(self._receive())

    def close(self) -> None:
        """Closes all sockets."""
        if self._task is not None:
            self._task.cancel()
        if self._pull is not None:
            self._pull.close()
        for push in self._pushes.values():
            push.close()
        self._pushes.clear()

    def send(self, peer: messages.Peer, message: messages.Message) -> None:
        """Sends without blocking; drops the message when the peer is gone."""
        sender = messages.Peer(self._settings.ip, self._role)
        envelope = messages.Envelope(sender, self._incarnation, message)
        data = messages.encode_envelope(envelope)
        try:
            self._find_push(peer).send(data, block=False)
            self.sent_bytes += len(data)
        except pynng.exceptions.NNGException:
            self.dropped += 1

    def close_idle_connections(self) -> None:
        """Closes the sockets of peers that got nothing for a minute."""
        now = self._clock.monotonic()
        idle = [
            peer for peer, used in self._used.items()
            if now - used > _IDLE_LIMIT
        ]
        for peer in idle:
            del self._used[peer]
            self._pushes.pop(peer).close()

    def _find_push(self, peer: messages.Peer) -> pynng.Push0:
        self._used[peer] = self._clock.monotonic()
        if peer not in self._pushes:
            push = pynng.Push0(
                send_buffer_size=_SEND_BUFFER_MESSAGES,
                reconnect_time_min=_RECONNECT_MINIMUM_MILLISECONDS,
                reconnect_time_max=_RECONNECT_MAXIMUM_MILLISECONDS,
                tls_config=self._make_client_tls(peer))
            push.dial(self._address(peer), block=False)
            self._pushes[peer] = push
        return self._pushes[peer]

    async def _receive(self) -> None:
        assert self._pull is not None
        while True:
            try:
                data = await self._pull.arecv()
            except pynng.exceptions.Closed:
                return
            self.received_bytes += len(data)
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        try:
            envelope = messages.decode_envelope(data)
        except errors.LinkError as error:
            self.malformed += 1
            _log.warning("%s", error)
            return
        if self._handler is None:
            return
        try:
            self._handler(envelope)
        except Exception:  # pylint: disable=broad-exception-caught
            _log.exception("handler failed on %s", type(envelope.body).__name__)

    def _address(self, peer: messages.Peer) -> str:
        ports = {
            messages.Role.AGENT: self._settings.agent_link_port,
            messages.Role.SCHEDULER: self._settings.scheduler_link_port,
            messages.Role.ENTRY: self._settings.entry_link_port,
        }
        scheme = "tcp" if self._settings.links_tls is None else "tls+tcp"
        return f"{scheme}://{peer.ip}:{ports[peer.role]}"

    def _make_server_tls(self) -> pynng.TLSConfig | None:
        if self._settings.links_tls is None:
            return None
        return _make_tls(self._settings.links_tls, pynng.TLSConfig.MODE_SERVER,
                         None)

    def _make_client_tls(self, peer: messages.Peer) -> pynng.TLSConfig | None:
        if self._settings.links_tls is None:
            return None
        return _make_tls(self._settings.links_tls, pynng.TLSConfig.MODE_CLIENT,
                         peer.ip)


def _make_tls(files: settings_module.TlsFiles, mode: int,
              server_name: str | None) -> pynng.TLSConfig:
    """Makes the TLS of one side; both sides verify the other.

    Args:
        files: Certificate, key and authority of this VM.
        mode: Server or client.
        server_name: Name that the other side's certificate must carry; its IP
            address for a client, None for a server.
    """
    return pynng.TLSConfig(mode,
                           server_name=server_name,
                           ca_string=_read_text(files.authority),
                           own_key_string=_read_text(files.key),
                           own_cert_string=_read_text(files.certificate),
                           auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED)


def _read_text(path: str) -> str:
    return pathlib.Path(path).read_text(encoding="ascii")
