"""Links over push and pull sockets of pynng."""

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
_MAX_MESSAGE_BYTES = 4 * 1024 * 1024
_MIN_RECONNECT_DELAY_MILLISECONDS = 50
_MAX_RECONNECT_DELAY_MILLISECONDS = 500
_IDLE_TIMEOUT = datetime.timedelta(seconds=60)
_log = runtime.make_logger("links")


class PynngLink:
    """Listens on a pull socket and keeps a push socket for each peer.

    A push socket buffers up to `_SEND_BUFFER_MESSAGES` messages while its peer
    is unreachable, so they may arrive late. Further messages are dropped.

    Attributes:
        dropped: Number of messages that were not sent.
        malformed: Number of received messages that could not be decoded.
        sent_bytes: Bytes sent since the start.
        received_bytes: Bytes received since the start.
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
        self._push_sockets: dict[messages.Peer, pynng.Push0] = {}
        self._last_used: dict[messages.Peer, datetime.timedelta] = {}
        self._pull_socket: pynng.Pull0 | None = None
        self._receive_task: asyncio.Task[None] | None = None

    @classmethod
    def from_settings(cls, settings: settings_module.Settings,
                      role: messages.Role, clock: timing.Clock) -> "PynngLink":
        """Creates the link of one process."""
        return cls(settings, role, clock)

    @property
    def incarnation(self) -> int:
        """Start time of this process, in nanoseconds since 1970."""
        return self._incarnation

    def set_handler(self, handler: link.Handler) -> None:
        """Sets the function that is called with each received message."""
        self._handler = handler

    def open(self) -> None:
        """Starts listening; needs a running asyncio event loop."""
        own_peer = messages.Peer(self._settings.ip, self._role)
        self._pull_socket = pynng.Pull0(
            listen=self._make_url(own_peer),
            recv_max_size=_MAX_MESSAGE_BYTES,
            tls_config=self._make_server_tls_config())
        self._receive_task = asyncio.ensure_future(self._receive_messages())

    def close(self) -> None:
        """Closes all sockets."""
        if self._receive_task is not None:
            self._receive_task.cancel()
        if self._pull_socket is not None:
            self._pull_socket.close()
        for push in self._push_sockets.values():
            push.close()
        self._push_sockets.clear()

    def send(self, peer: messages.Peer, message: messages.Message) -> None:
        """Sends a message, or drops it if the peer is unreachable.

        The call doesn't block.
        """
        sender = messages.Peer(self._settings.ip, self._role)
        envelope = messages.Envelope(sender, self._incarnation, message)
        data = messages.encode_envelope(envelope)
        try:
            self._get_push_socket(peer).send(data, block=False)
            self.sent_bytes += len(data)
        except pynng.exceptions.NNGException:
            self.dropped += 1

    def close_idle_connections(self) -> None:
        """Closes the sockets that have not been used for `_IDLE_TIMEOUT`."""
        now = self._clock.monotonic()
        idle = [
            peer for peer, used_at in self._last_used.items()
            if now - used_at > _IDLE_TIMEOUT
        ]
        for peer in idle:
            del self._last_used[peer]
            self._push_sockets.pop(peer).close()

    def _get_push_socket(self, peer: messages.Peer) -> pynng.Push0:
        self._last_used[peer] = self._clock.monotonic()
        if peer not in self._push_sockets:
            push = pynng.Push0(
                send_buffer_size=_SEND_BUFFER_MESSAGES,
                reconnect_time_min=_MIN_RECONNECT_DELAY_MILLISECONDS,
                reconnect_time_max=_MAX_RECONNECT_DELAY_MILLISECONDS,
                tls_config=self._make_client_tls_config(peer))
            push.dial(self._make_url(peer), block=False)
            self._push_sockets[peer] = push
        return self._push_sockets[peer]

    async def _receive_messages(self) -> None:
        assert self._pull_socket is not None
        while True:
            try:
                data = await self._pull_socket.arecv()
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
            _log.exception("handler of received messages failed on %s",
                           type(envelope.body).__name__)

    def _make_url(self, peer: messages.Peer) -> str:
        ports = {
            messages.Role.AGENT: self._settings.agent_link_port,
            messages.Role.SCHEDULER: self._settings.scheduler_link_port,
            messages.Role.ENTRY: self._settings.entry_link_port,
        }
        scheme = "tcp" if self._settings.links_tls is None else "tls+tcp"
        return f"{scheme}://{peer.ip}:{ports[peer.role]}"

    def _make_server_tls_config(self) -> pynng.TLSConfig | None:
        if self._settings.links_tls is None:
            return None
        return _make_tls_config(self._settings.links_tls,
                                pynng.TLSConfig.MODE_SERVER, None)

    def _make_client_tls_config(self,
                                peer: messages.Peer) -> pynng.TLSConfig | None:
        if self._settings.links_tls is None:
            return None
        return _make_tls_config(self._settings.links_tls,
                                pynng.TLSConfig.MODE_CLIENT, peer.ip)


def _make_tls_config(files: settings_module.TlsFiles, mode: int,
                     server_name: str | None) -> pynng.TLSConfig:
    """Creates the TLS configuration of one side of a connection.

    Both sides verify the certificate of the other.

    Args:
        files: Certificate, private key and certificate authority of this VM.
        mode: Whether this side is the server or the client.
        server_name: For a client, the IP address that the certificate of the
            server must contain; None for a server.
    """
    return pynng.TLSConfig(mode,
                           server_name=server_name,
                           ca_string=_read_text(files.authority),
                           own_key_string=_read_text(files.key),
                           own_cert_string=_read_text(files.certificate),
                           auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED)


def _read_text(path: str) -> str:
    return pathlib.Path(path).read_text(encoding="ascii")
