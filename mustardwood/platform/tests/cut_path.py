"""The path from one VM to an endpoint, which tests can cut."""

import contextlib
import socket
import struct
import threading

_READ_BYTES = 16 * 1024
_RESET = struct.pack("ii", 1, 0)
_MAX_FILLERS = 8
"""Number of connections that fill the queue of a socket that accepts none."""


class CutPath:
    """Passes on connections to an endpoint until it is cut.

    Attributes:
        address: Address of the path's beginning as IP:PORT.
    """

    def __init__(self, target):
        """Opens the path.

        Args:
            target: Address of the endpoint as IP:PORT.
        """
        host, _, port = target.partition(":")
        self._target = host, int(port)
        self._connections = []
        self._fillers = []
        self._is_silent = False
        self._listener = None
        self._port = 0
        self._listen(128)
        self.address = f"127.0.0.1:{self._port}"

    def cut(self, how):
        """Cuts the path.

        Args:
            how (str): `refused`: open connections live on, new ones are
                refused; `reset`: open ones are reset besides; `silent`: all
                hang.
        """
        if how == "silent":
            self._is_silent = True
            self._close_listener()
            self._listen(0, is_accepting=False)
            for _ in range(_MAX_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self._port))
                self._fillers.append(filler)
            return
        self._close_listener()
        if how == "reset":
            for each in self._connections:
                with contextlib.suppress(OSError):
                    each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                    each.shutdown(socket.SHUT_RD)
                    each.close()

    def mend(self):
        """Passes on new connections again."""
        self._is_silent = False
        self._close_listener()
        for each in self._fillers:
            each.close()
        self._fillers.clear()
        self._listen(128)

    def _listen(self, backlog, is_accepting=True):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", self._port))
        self._listener.listen(backlog)
        self._port = self._listener.getsockname()[1]
        if is_accepting:
            threading.Thread(target=self._accept,
                             args=(self._listener,),
                             daemon=True).start()

    def _close_listener(self):
        # A close alone would not wake the thread that accepts.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self, listener):
        with contextlib.suppress(OSError):
            while True:
                inner, _ = listener.accept()
                outer = socket.create_connection(self._target)
                self._connections += [inner, outer]
                for source, sink in ((inner, outer), (outer, inner)):
                    threading.Thread(target=self._pass_on,
                                     args=(source, sink),
                                     daemon=True).start()

    def _pass_on(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(_READ_BYTES):
                if self._is_silent:
                    threading.Event().wait()
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
