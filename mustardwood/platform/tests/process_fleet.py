"""Real processes of the platform, their callers, and checks of both.

The checks judge only what callers and endpoints have seen.
"""

import dataclasses
import http.client
import io
import json
import os
import signal
import socket
import subprocess
import sys
import time

from mustardwood.platform import settings
from mustardwood.platform.tests import documents
from mustardwood.platform.tests import port_block

DRAIN_SECONDS = 2.0
"""Time after which no request may reach an endpoint that has left."""
CONTACT_SECONDS = 3.0
"""Time after a disturbance from which a VM is held to its time bounds."""
LOSS_SLACK_SECONDS = 0.2
"""Time within which a connection may be closed under a request."""
_PRODUCT = ("mustardwood.platform",)
_BALANCER_SECONDS = 2.0
"""Time after which the load balancer sends no new connections to a VM."""
_TIMEOUT_SECONDS = 30.0
"""Time after which a test stops waiting for an expected state."""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a caller has seen of one request.

    Attributes:
        attempt_id: Id of the request.
        status: Status of the response; 0 if none was received.
        is_complete: Whether the whole response was received.
        seconds: Time from the last byte sent to the end of the response or of
            the connection.
        retry_after: Seconds after which the caller may send the request again,
            as the response says; 0 if it does not.
    """

    attempt_id: str
    status: int
    is_complete: bool
    seconds: float
    retry_after: float = 0.0


def find_late_arrivals(endpoint, left_at):
    """Returns the requests that reached an endpoint too late.

    They are attempt ids with the seconds since `left_at`, the monotonic time at
    which the store has acknowledged that the endpoint is leaving or gone.
    """
    return {
        attempt_id: arrived_at - left_at
        for attempt_id, arrived_at in endpoint.arrivals.items()
        if arrived_at > left_at + DRAIN_SECONDS
    }


def find_lost_requests(outcomes, endpoints):
    """Returns the outcomes of requests without a complete response.

    A connection that is closed at the moment at which a request is sent loses
    nothing, unless the request was forwarded.
    """
    forwarded = {each for endpoint in endpoints for each in endpoint.arrivals}
    return [
        each for each in outcomes if not each.is_complete and
        (each.attempt_id in forwarded or each.seconds > LOSS_SLACK_SECONDS)
    ]


def wait_until(condition):
    """Waits until a condition holds."""
    until = time.monotonic() + _TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < until, "the condition did not hold in time"
        time.sleep(0.02)


class Caller:
    """A caller with one connection, which it keeps while the VM allows it."""

    def __init__(self, vm, name, receive_buffer_bytes=None):
        """Connects to a VM.

        Args:
            vm: The VM.
            name: Prefix of the attempt ids.
            receive_buffer_bytes: Size of the socket's receive buffer.
        """
        self._name = name
        self._count = 0
        self._socket = socket.socket()
        self._socket.settimeout(_TIMEOUT_SECONDS)
        if receive_buffer_bytes is not None:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                    receive_buffer_bytes)
        self._socket.connect(("127.0.0.1", vm.callers))
        self._stream = _KeptStream(socket.SocketIO(self._socket, "rb"))
        self._attempt_id = ""
        self._sent_at = 0.0
        self.may_reuse = True

    def close(self):
        """Closes the connection."""
        self._socket.close()

    def call(self, path, key="key-1", is_repeated=False):
        """Sends a request and returns its outcome; see `send`."""
        self.send(path, key, is_repeated=is_repeated)
        return self.read()

    def send(self,
             path,
             key="key-1",
             body=b"body",
             is_chunked=False,
             is_repeated=False):
        """Sends a request, under the id of the one before if it is repeated."""
        if is_chunked:
            self.send_chunks(path, b"%x\r\n%b\r\n" % (len(body), body), key)
            return
        self._count += not is_repeated
        self._send(path, key, f"Content-Length: {len(body)}", body)

    def send_chunks(self, path, chunks, key="key-1"):
        """Sends a request with a body in chunks, and the last chunk."""
        self._count += 1
        self._send(path, key, "Transfer-Encoding: chunked",
                   chunks + b"0\r\n\r\n")

    def _send(self, path, key, framing, body):
        self._attempt_id = f"{self._name}-{self._count}"
        try:
            self._socket.sendall(
                (f"POST {path} HTTP/1.1\r\nHost: {documents.HOST}\r\n"
                 f"Mustardwood-Attempt-Id: {self._attempt_id}\r\n"
                 f"Authorization: Bearer {key}\r\n"
                 f"{framing}\r\n\r\n").encode() + body)
        except OSError:
            # The VM has closed the connection, which `read` reports.
            pass
        self._sent_at = time.monotonic()

    def read(self, pause_seconds=0.0):
        """Reads the response, with a pause after each part of its body."""
        status, is_complete, retry_after = 0, False, 0.0
        response = http.client.HTTPResponse(self._stream)
        try:
            response.begin()
            status = response.status
            retry_after = float(response.headers.get("Retry-After") or 0)
            self.may_reuse = not response.will_close
            while response.read(64 * 1024):
                time.sleep(pause_seconds)
            is_complete = response.length in (None, 0)
        except (OSError, http.client.HTTPException):
            self.may_reuse = False
        return Outcome(self._attempt_id, status, is_complete,
                       time.monotonic() - self._sent_at, retry_after)


class _KeptStream(io.BufferedReader):
    """The received bytes of a connection, of which several responses are read.
    """

    def makefile(self, *_):
        """Returns this stream; it stands for a socket."""
        return self

    def close(self):
        """Keeps the stream open for the next response."""


class Vm:
    """A VM of the platform as a real process.

    Attributes:
        name: Name of the VM.
        callers: Port for callers.
        source: Folder with the build that it runs when it is started next;
            None for this one.
        peer_address: Address for messages of other VMs as IP:PORT.
        is_in_service: Whether the load balancer sends it new connections.
    """

    def __init__(self,
                 folder,
                 name,
                 store,
                 further_settings="",
                 command=None,
                 source=None):
        """Writes the settings; `start` starts the process.

        Args:
            folder: Folder for the settings and the log.
            name: Name of the VM.
            store: The fake store.
            further_settings: Further tables of the settings.
            command: Module that runs the VM while it runs this build, and its
                arguments; None for that of the product.
            source: Folder with the build that it runs; None for this one.
        """
        self.source = source
        self.name = name
        self._command = command
        self.is_in_service = False
        self.callers, self._ready, peers = port_block.find_free_ports(3)
        self.peer_address = f"127.0.0.1:{peers}"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(f"""
node_name = "{name}"
zone = "a"
ip = "127.0.0.1"
heartbeat_ms = 1200
[listen]
front_addr = "127.0.0.1:{self.callers}"
ready = "127.0.0.1:{self._ready}"
control_plane = "{self.peer_address}"
[bounds]
grace_s = 8
revoke_ms = 5000
fail_closed = true
retry_ratio = 0.2
retry_burst = 10
[platform]
address = "{store.address}"
{further_settings}
""",
                                  encoding="utf-8")
        self._log = folder / f"{name}.log"
        self._process = None

    def start(self):
        """Starts the process and waits until it is ready."""
        environment = {
            **os.environ, settings.PATH_VARIABLE: str(self._settings)
        }
        command = self._command
        if self.source is not None:
            environment["PYTHONPATH"] = str(self.source)
            command = None
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(  # pylint: disable=consider-using-with
                [sys.executable, "-m", *(command or _PRODUCT)],
                cwd=self.source,
                env=environment,
                stdout=log)
        wait_until(lambda: self._read_readiness() == 200)
        self.is_in_service = True

    def restart(self):
        """Restarts the process with a graceful shutdown."""
        self.stop()
        time.sleep(_BALANCER_SECONDS)
        self.is_in_service = False
        assert self.wait() == 0
        self.start()

    def kill(self):
        """Kills the process if it still runs."""
        self.is_in_service = False
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()

    def stop(self):
        """Sends SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def send_signal(self, number):
        """Sends a signal."""
        self._process.send_signal(number)

    def wait(self):
        """Waits until the process exits and returns its exit code."""
        return self._process.wait(_TIMEOUT_SECONDS)

    def reload(self):
        """Sends SIGHUP, by which the process reads its settings again."""
        self._process.send_signal(signal.SIGHUP)

    def read_peak_memory(self):
        """Returns the peak of the resident memory in bytes."""
        with open(f"/proc/{self._process.pid}/status",
                  encoding="utf-8") as status:
            line, = (each for each in status if each.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    @property
    def is_alive(self):
        """Whether the process runs."""
        return self._process.poll() is None

    def count_descriptors(self):
        """Returns the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def suspend(self):
        """Suspends the process."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resumes the process after `suspend`."""
        self._process.send_signal(signal.SIGCONT)

    def read_log(self):
        """Returns the lines of the log."""
        with open(self._log, encoding="utf-8") as log:
            return [json.loads(line) for line in log]

    def find_events(self, name):
        """Returns the log's lines with an event."""
        return [each for each in self.read_log() if each["event"] == name]

    def _read_readiness(self):
        connection = http.client.HTTPConnection("127.0.0.1",
                                                self._ready,
                                                timeout=5)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()
