"""The link of one VM, which passes on what it receives at a limited rate."""

import contextlib
import socket
import threading
import time

_READ_BYTES = 8 * 1024
_BUFFER_BYTES = 64 * 1024
"""Size of the buffers in which data waits for the link."""


class RatedLink:
    """Passes on connections to a server; all share one rate towards the VM.

    Attributes:
        address: Address of the link's beginning as IP:PORT.
        passed_bytes: Number of bytes that were passed on to the VM.
    """

    def __init__(self, target, megabits_per_second):
        """Opens the link.

        Args:
            target (str): Address of the server as IP:PORT.
            megabits_per_second (float): Rate towards the VM.
        """
        host, _, port = target.partition(":")
        self._target = host, int(port)
        self._bytes_per_second = megabits_per_second * 1e6 / 8
        self._lock = threading.Lock()
        self._free_at = time.monotonic()
        self.passed_bytes = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                inner, _ = self._listener.accept()
                outer = socket.socket()
                outer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                 _BUFFER_BYTES)
                outer.connect(self._target)
                for source, sink, is_rated in ((inner, outer, False),
                                               (outer, inner, True)):
                    threading.Thread(target=self._pass_on,
                                     args=(source, sink, is_rated),
                                     daemon=True).start()

    def _pass_on(self, source, sink, is_rated):
        with contextlib.suppress(OSError):
            while data := source.recv(_READ_BYTES):
                if is_rated:
                    self._wait_for_turn(len(data))
                sink.sendall(data)
        for each in (source, sink):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def _wait_for_turn(self, size):
        """Waits until the link has carried the data."""
        with self._lock:
            now = time.monotonic()
            self._free_at = (max(self._free_at, now) +
                             size / self._bytes_per_second)
            seconds = self._free_at - now
            self.passed_bytes += size
        time.sleep(seconds)
