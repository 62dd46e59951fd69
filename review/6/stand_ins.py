"""Stand-ins for the platform's store, replicas, clients and machines.

They use the standard library only. Every address is a loopback address. All
machines have the address 127.0.0.1 and ports of their own, since a connection
within the loopback network always comes from 127.0.0.1, and a machine accepts
tunnels from the addresses of its peers only.
"""

import base64
import contextlib
import json
import os
import pathlib
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_RESET = struct.pack("ii", 1, 0)
_READY_TIMEOUT_S = 30.0
_MAX_RUN_S = 110
_FIRST_PORT, _LAST_PORT = 12_000, 32_000
"""Ports below those that Linux gives to outgoing connections by default."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        """Writes a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()


def close_with_reset(connection):
    """Resets a connection."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)
    with contextlib.suppress(OSError):
        connection.close()


class _Listener:
    """Accepts connections, each handled by a thread of its own."""

    def __init__(self, port=0):
        self.port = port or find_free_ports(1)[0]
        self._socket = socket.create_server(("127.0.0.1", self.port),
                                            backlog=256)
        self.address = f"127.0.0.1:{self.port}"
        self.connections = set()
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def handle(self, connection):
        """Handles a connection until it ends."""
        raise NotImplementedError

    def close(self):
        """Refuses new connections from now on."""
        self._is_closed = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def reset_connections(self):
        """Resets the open connections."""
        for each in list(self.connections):
            close_with_reset(each)

    def _accept(self):
        while not self._is_closed:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(target=self._run, args=(connection,),
                             daemon=True).start()

    def _run(self, connection):
        with contextlib.suppress(OSError, ValueError):
            self.handle(connection)
        self.connections.discard(connection)
        with contextlib.suppress(OSError):
            connection.close()


def read_request(stream):
    """Returns method, target, headers and body; None at the end."""
    line = stream.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := stream.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length") or 0))
    return method, target, headers, body


class Store:
    """The platform's store; its calls are linearizable."""

    def __init__(self):
        self._condition = threading.Condition()
        self._items = {}
        self._changes = []
        self._revision = 1
        self._leases = {}

    def put(self, key, value):
        """Writes a key as the operator or a replica does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._condition:
            self._change(key, base64.b64encode(data).decode(), 0)

    def remove(self, key):
        """Removes a key as an entry that has expired."""
        with self._condition:
            self._remove(key)

    def call(self, path, query, body):
        """Returns status and body of the answer to a call."""
        with self._condition:
            self._end_leases()
            if path == "/kv-key":
                found = self._items.get(query["key"])
                return (200 if found else 404), {
                    **(found or {}), "at": self._revision
                }
            if path == "/kv-range":
                return 200, self._list(query["path_prefix"],
                                       query.get("after", ""))
            if path == "/kv-watch":
                return self._watch(query)
            if path == "/kv-txn":
                return self._write(**json.loads(body))
            if path == "/kv-lease":
                lease = max(self._leases, default=0) + 1
                ttl = json.loads(body)["ttl_ms"] / 1000
                self._leases[lease] = [time.monotonic() + ttl, ttl]
                return 200, {"lease_id": lease, "ttl_ms": int(ttl * 1000)}
            _, call, number = path.split("/")
            if not self._is_valid(int(number)):
                return 404, {}
            lease = self._leases[int(number)]
            lease[0] = time.monotonic() + (lease[1] if call == "kv-keep" else 0)
            self._end_leases()
            return 200, {}

    def _list(self, prefix, after):
        return {
            "entries": [
                each for key, each in sorted(self._items.items())
                if key.startswith(prefix) and key > after
            ],
            "has_more": False,
            "at": self._revision
        }

    def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        if after > self._revision:
            return 410, {}
        while True:
            events = [
                each for each in self._changes if each["revision"] > after and
                each["key"].startswith(query["path_prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self._revision}
            self._condition.wait(min(left, 0.1))
            self._end_leases()

    def _write(self, expected_revision, write, remove):
        rows = []
        for each in expected_revision:
            found = self._items.get(each["key"])
            if (found or {"revision": 0})["revision"] != each["revision"]:
                rows.append(found or {"key": each["key"], "revision": 0})
        if rows:
            return 412, {"entries": rows}
        if any(each["lease_id"] and not self._is_valid(each["lease_id"])
               for each in write):
            return 404, {}
        for each in write:
            self._change(each["key"], each["value"], each["lease_id"])
        for key in remove:
            self._remove(key)
        return 200, {"revision": self._revision}

    def _is_valid(self, lease):
        return (lease in self._leases and
                self._leases[lease][0] > time.monotonic())

    def _end_leases(self):
        now = time.monotonic()
        for lease, (end, _) in list(self._leases.items()):
            if end <= now:
                self._leases[lease][0] = float("-inf")
                for key, each in list(self._items.items()):
                    if each["lease_id"] == lease:
                        self._remove(key)

    def _change(self, key, value, lease):
        self._revision += 1
        known = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created_revision": (known["created_revision"]
                                 if known else self._revision),
            "lease_id": lease
        }
        self._changes.append(self._items[key])
        self._condition.notify_all()

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._changes.append({
                "key": key,
                "revision": self._revision,
                "deleted": True
            })
            self._condition.notify_all()


class StoreDoor(_Listener):
    """The way of one machine to the store, which can be cut.

    While it is cut, calls get no answer and their connections are closed at the
    end of the cut. A machine sees each replica at the beginning of its own path
    to that replica, so the door replaces the addresses of replicas by those.
    """

    def __init__(self, store):
        self._store = store
        self._open = threading.Event()
        self._open.set()
        self.paths = {}
        super().__init__()

    def cut(self):
        """Answers no call from now on."""
        self._open.clear()

    def heal(self):
        """Answers calls on new connections again."""
        self._open.set()

    def handle(self, connection):
        stream = connection.makefile("rb")
        while (request := read_request(stream)) is not None:
            _, target, _, body = request
            parts = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(parts.query, True))
            if not self._open.is_set():
                self._open.wait()
                return
            status, answer = self._store.call(parts.path, query, body)
            if not self._open.is_set():
                self._open.wait()
                return
            data = json.dumps(self._translate(answer)).encode()
            connection.sendall(b"HTTP/1.1 %d X\r\nStore-Era: 0\r\nContent-Type:"
                               b" application/json\r\nContent-Length: %d\r\n"
                               b"\r\n" % (status, len(data)) + data)

    def _translate(self, answer):
        if answer.get("key", "").startswith("servers/"):
            return self._translate_item(answer)
        return {
            name: [self._translate_item(each) for each in value]
                  if name in ("entries", "events") else value
            for name, value in answer.items()
        }

    def _translate_item(self, item):
        if not item["key"].startswith("servers/") or "value" not in item:
            return item
        entry = json.loads(base64.b64decode(item["value"]))
        entry["address"] = self.paths.get(entry["address"], entry["address"])
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        return {**item, "value": value}


class Path(_Listener):
    """The path of one machine to one replica, which can be cut."""

    def __init__(self, target, port=0):
        self._target = target
        super().__init__(port)

    def handle(self, connection):
        outer = socket.create_connection(("127.0.0.1", self._target))
        outer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(outer)
        back = threading.Thread(target=self._pass_on,
                                args=(outer, connection),
                                daemon=True)
        back.start()
        self._pass_on(connection, outer)
        back.join()
        self.connections.discard(outer)
        outer.close()

    def _pass_on(self, source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            close_with_reset(sink)
            return
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


class Replica(_Listener):
    """A replica: its path says what the answer to a request is.

    `/stream/EVENTS/MS` is a stream of events, one each MS milliseconds, that
    goes on after `Last-Event-Id`; `/plain/MS` is a short answer after that
    time. A replica drops a request whose connection the sender closes, unless
    it is one that works on until the end.

    Attributes:
        name: Its id.
        version: Version of its software, which each event names.
        unframed: Returns whether the answer to a request, by its number, comes
            with neither a length nor chunks and ends with its connection.
        works_on: Whether it works on a request whose sender has closed.
        is_full: Whether it turns new requests away.
        silence_s: Time for which it falls silent once in a stream.
        silent_event: Number of the event before which it does.
        runs: Attempt ids with the version that ran them, in order.
        worked_at: Time of the last event that it made, by attempt id.
        began_at: Time at which it began to work, by attempt id.
    """

    def __init__(self,
                 name,
                 service,
                 record,
                 version="v1",
                 unframed=lambda number: False,
                 works_on=False):
        self.name = name
        self.service = service
        self.version = version
        self.unframed = unframed
        self.works_on = works_on
        self.is_full = False
        self.silence_s = 0.0
        self.silent_event = 0
        self.began_at = {}
        self.worked_at = {}
        self.born = int(time.time() * 1000)
        self.runs = []
        self._record = record
        self._count = 0
        self._incarnation = 0
        super().__init__()

    def make_entry(self, state="ready"):
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "kosice-a",
            "version": self.version,
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self._incarnation,
            "born": self.born
        }

    def restart(self, version):
        """Crashes and starts again at once under its id."""
        self._incarnation += 1
        self.version = version
        self.born = int(time.time() * 1000)
        self.reset_connections()
        self._record.write(f"replica {self.name} restarts, version {version}")

    def crash(self):
        """Crashes and does not come back."""
        self._incarnation += 1
        self.close()
        self.reset_connections()
        self._record.write(f"replica {self.name} crashes")

    def handle(self, connection):
        stream = connection.makefile("rb")
        incarnation = self._incarnation
        while (request := read_request(stream)) is not None:
            if incarnation != self._incarnation:
                return
            if not self._answer(connection, *request):
                return

    def _answer(self, connection, _, target, headers, __):
        """Answers a request; returns whether the connection is kept."""
        attempt = headers.get("mustardwood-attempt-id", "")
        expected = headers.get("mustardwood-expect-replica", self.name)
        if expected != self.name:
            connection.sendall(
                (f"HTTP/1.1 421 Misdirected\r\n"
                 f"Mustardwood-Attempt-Id: {attempt}\r\n"
                 f"Mustardwood-Replica-Id: {self.name}\r\n"
                 f"Mustardwood-Not-Executed: 1\r\n"
                 f"Content-Length: 0\r\n\r\n").encode())
            return True
        if self.is_full:
            self._record.write(f"refused  {attempt} at {self.name}, full")
            connection.sendall((f"HTTP/1.1 503 Full\r\n"
                                f"Mustardwood-Attempt-Id: {attempt}\r\n"
                                f"Mustardwood-Not-Executed: 1\r\n"
                                f"Content-Length: 0\r\n\r\n").encode())
            return True
        self._count += 1
        incarnation, version = self._incarnation, self.version
        self.runs.append((attempt, version))
        self.began_at[attempt] = time.monotonic()
        is_unframed = self.unframed(self._count)
        last = int(headers.get("last-event-id") or 0)
        self._record.write(f"run      {attempt} at {self.name} {version}"
                           f"{f' after event {last}' if last else ''}"
                           f"{' unframed' if is_unframed else ''}")
        kind, *numbers = target.strip("/").split("/")
        head = (f"HTTP/1.1 200 OK\r\nMustardwood-Attempt-Id: {attempt}\r\n"
                f"Mustardwood-Replica-Signature: {self.name}.{attempt}\r\n")
        if kind == "plain":
            time.sleep(int(numbers[0]) / 1000)
            body = f"answer to {attempt}".encode()
            framing = ("Connection: close\r\n\r\n" if is_unframed else
                       f"Content-Length: {len(body)}\r\n\r\n")
            connection.sendall((head + framing).encode() + body)
            return not is_unframed
        framing = ("Connection: close\r\n\r\n"
                   if is_unframed else "Transfer-Encoding: chunked\r\n\r\n")
        connection.sendall(
            (head + "Content-Type: text/event-stream\r\n" + framing).encode())
        for number in range(last + 1, int(numbers[0]) + 1):
            seconds = int(numbers[1]) / 1000
            if number == self.silent_event and self.silence_s:
                seconds += self.silence_s
                self._record.write(f"silent   {attempt} at {self.name} for "
                                   f"{self.silence_s} s")
            if self.works_on:
                time.sleep(seconds)
                is_dropped = False
            else:
                is_dropped = _is_closed_within(connection, seconds)
            if is_dropped or incarnation != self._incarnation:
                self._record.write(f"dropped  {attempt} at {self.name} before "
                                   f"event {number}")
                return False
            self.worked_at[attempt] = time.monotonic()
            event = make_event(number, version)
            with contextlib.suppress(OSError):
                connection.sendall(event if is_unframed else b"%x\r\n%b\r\n" %
                                   (len(event), event))
        if not is_unframed:
            with contextlib.suppress(OSError):
                connection.sendall(b"0\r\n\r\n")
        self._record.write(f"complete {attempt} at {self.name} {version}")
        return not is_unframed


def make_event(number, version):
    """Returns an event of a stream."""
    return f"id: {number}\ndata: {version}\n\n".encode()


def _is_closed_within(connection, seconds):
    """Waits; returns whether the sender has closed the connection."""
    until = time.monotonic() + seconds
    while (left := until - time.monotonic()) > 0:
        if select.select([connection], [], [], left)[0]:
            return connection.recv(1, socket.MSG_PEEK) == b""
    return False


class Answer:
    """What a client got on one request.

    Attributes:
        status: The status; 0 without an answer.
        headers: The headers.
        body: The body as far as it was received.
        is_complete: Whether the answer is complete by its framing.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False


class Client:
    """A client with one connection, which it keeps for further requests."""

    def __init__(self, vm, timeout_s):
        self._socket = socket.create_connection(("127.0.0.1", vm.front),
                                                timeout=timeout_s)
        self._stream = self._socket.makefile("rb")

    def close(self):
        """Closes the connection."""
        self._socket.close()

    def call(self, attempt, path, deadline_ms=15000, extra=""):
        """Sends a request and reads the answer.

        Args:
            attempt: Its id.
            path: Its path.
            deadline_ms: Its deadline.
            extra: Further lines of its head.
        """
        # The requests share the parts of eight prompts.
        shared = 0x5c1e07a0 + sum(attempt.encode()) % 8
        answer = Answer()
        with contextlib.suppress(OSError, ValueError):
            self._socket.sendall(
                (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                 f"Mustardwood-Attempt-Id: {attempt}\r\n"
                 f"Mustardwood-Deadline-Ms: {deadline_ms}\r\n"
                 f"Mustardwood-Model: m\r\n"
                 f"Mustardwood-Token-Usage: 1460,80\r\n"
                 f"Mustardwood-Prompt-Prefix: {shared:x}:800,"
                 f"{attempt.encode().hex()}:660\r\n"
                 f"Authorization: Bearer {KEY}\r\n{extra}"
                 f"Content-Length: 4\r\n\r\nbody").encode())
            _read_answer(self._stream, answer)
        return answer


def send_request(vm, attempt, path, deadline_ms=15000, extra=""):
    """Sends a request on a new connection; see `Client.call`."""
    try:
        client = Client(vm, deadline_ms / 1000 + 1)
    except OSError:
        return Answer()
    answer = client.call(attempt, path, deadline_ms, extra)
    client.close()
    return answer


def _read_answer(stream, answer):
    line = stream.readline()
    if not line:
        return
    answer.status = int(line.split()[1])
    while (line := stream.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            line = stream.readline()
            if not line.endswith(b"\r\n"):
                return
            size = int(line, 16)
            answer.body += stream.read(size)
            if stream.readline() != b"\r\n":
                return
            if not size:
                answer.is_complete = True
                return
    length = answer.headers.get("content-length")
    answer.body = stream.read(-1 if length is None else int(length))
    answer.is_complete = length is None or len(answer.body) == int(length)


class Vm:
    """A machine: one process of the role of the deploy file.

    Attributes:
        name: Its name.
        door: Its way to the store.
        front: Its port for clients.
    """

    def __init__(self, folder, name, door):
        self.name = name
        self.door = door
        self.front, self._ready, control, metrics = find_free_ports(4)
        self._process = None
        self._settings = pathlib.Path(folder) / f"{name}.toml"
        self._log = pathlib.Path(folder) / f"{name}.log"
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._role = tomllib.load(file)["roles"]["router"]
        self._environment = {
            **{
                each: os.environ[each]
                for each in ("PATH", "HOME", "LANG")
                if each in os.environ
            },
            **self._role.get("env", {}), "PYTHONPATH":
                str(ROOT / "target" / "deps"),
            "MUSTARDWOOD_BOOT":
                str(self._settings),
            "MUSTARDWOOD_METRICS_PORT":
                str(metrics)
        }
        self._settings.write_text(f"""\
node_name = "{name}"
role = "router"
machine_class = "edge"
serves = ["edge", "control"]
ip = "127.0.0.1"
zone = "kosice-a"
region = "sk-east"
port_range = [{control}, {control}]
seed_nodes = []
is_bootstrap = true
discovery = "platform"
ingress = "virtual_ip"
heartbeat_ms = 1200
[zones]
kosice-a = "sk-east"
[listen]
front_addr = "127.0.0.1:{self.front}"
ready = "127.0.0.1:{self._ready}"
control_plane = "127.0.0.1:{control}"
[limits]
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
fail_closed = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_burst = 58
recovery_s = 12
[platform]
address = "{door.address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
""",
                                  encoding="utf-8")

    def start(self):
        """Starts the process."""
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(  # pylint: disable=consider-using-with
                self._role["run"].split(),
                cwd=ROOT,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log)

    def wait_until_ready(self):
        """Waits until the machine says that it is ready."""
        until = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                with urllib.request.urlopen(
                        f"http://127.0.0.1:{self._ready}/readyz",
                        timeout=2) as answer:
                    if answer.status == 200:
                        return
            time.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    def send_signal(self, number):
        """Sends a signal to the process."""
        self._process.send_signal(number)

    @property
    def has_ended(self):
        """Whether the process has ended."""
        return self._process.poll() is not None

    def kill(self):
        """Kills the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    def find_events(self, name):
        """Returns the log's lines with an event."""
        found = []
        for line in self._log.read_text(encoding="utf-8").splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get("event") == name:
                    found.append(event)
        return found


def find_free_ports(count):
    """Returns free ports that the system gives to no outgoing connection."""
    found = []
    while len(found) < count:
        port = random.randrange(_FIRST_PORT, _LAST_PORT)
        with contextlib.suppress(OSError):
            socket.create_server(("127.0.0.1", port)).close()
            found.append(port)
    return found


def make_configuration(version=1, resumable_service="mustard-llm"):
    """Returns a configuration with three routes.

    Streams of one route may be resumed, those of another may run once only.

    Args:
        version: Its version.
        resumable_service: Service of the route whose streams may be resumed.
    """
    services = sorted({"mustard-llm", resumable_service})
    stream = {
        "hostname": HOST,
        "route_type": "streaming",
        "timeout_ms": 15000,
        "goal_ms": 2500,
        "priority": 2,
        "service": "mustard-llm",
        "max_attempts": 2,
        "anonymous": False,
        "affinity": True,
        "itl_goal_ms": 1000
    }
    return {
        "version":
            version,
        "routes": [{
            **stream, "name": "single",
            "path_prefix": "/stream/",
            "max_attempts": 1,
            "resumable": False
        }, {
            **stream, "name": "resumable",
            "path_prefix": "/resumable/",
            "timeout_ms": 12000,
            "goal_ms": 300,
            "priority": 0,
            "itl_goal_ms": 250,
            "service": resumable_service,
            "resumable": True
        }, {
            **stream, "name": "plain",
            "path_prefix": "/plain/",
            "route_type": "idempotent",
            "timeout_ms": 2500,
            "affinity": False,
            "resumable": False
        }],
        "services": [{
            "name": each,
            "runtime": {
                "slots": 64,
                "kv_capacity": 550690
            }
        } for each in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000
        },
        "tenants": [{
            "name": "hule930",
            "api_keys": [KEY]
        }]
    }


class Deployment:
    """A small deployment, which ends with the `with` statement."""

    def __init__(self, record, machines, replicas):
        """Starts the machines and waits until all are ready.

        Args:
            record: The record.
            machines: Number of machines.
            replicas: The replicas.
        """
        self.record = record
        self.replicas = replicas
        self.store = Store()
        self.folder = tempfile.mkdtemp()
        self.vms = [
            Vm(self.folder, f"edge-{number}", StoreDoor(self.store))
            for number in range(machines)
        ]
        self.paths = {
            vm.name: {each.name: Path(each.port) for each in replicas
                     } for vm in self.vms
        }
        for vm in self.vms:
            vm.door.paths = {
                each.address: self.paths[vm.name][each.name].address
                for each in replicas
            }

    def __enter__(self):
        self.store.put("op/config", make_configuration())
        for each in self.replicas:
            self.register(each)
        try:
            for vm in self.vms:
                vm.start()
            for vm in self.vms:
                vm.wait_until_ready()
        except BaseException:
            self.__exit__()
            raise
        # The machines hear of each other.
        time.sleep(2.0)
        return self

    def __exit__(self, *_):
        for vm in self.vms:
            vm.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def register(self, replica, state="ready"):
        """Writes a replica's entry."""
        self.store.put(f"servers/{replica.name}", replica.make_entry(state))

    def cut_from_replicas(self, vm):
        """Cuts a machine off: open connections are reset, new ones refused."""
        for each in self.paths[vm.name].values():
            each.close()
            each.reset_connections()
        self.record.write(f"{vm.name} is cut off from all replicas")

    def heal_paths(self, vm):
        """Ends the cut."""
        for replica in self.replicas:
            port = self.paths[vm.name][replica.name].port
            self.paths[vm.name][replica.name] = Path(replica.port, port)
        self.record.write(f"{vm.name} reaches the replicas again")


def run_case(run, path):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, else 2.

    Args:
        run: Plays the case; returns whether the rule was broken.
        path: The file of the record.
    """
    record = Record(path)
    status = 2
    # The machines are killed also if the case takes too long or is ended.
    for each in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(each, _raise_interrupted)
    signal.alarm(_MAX_RUN_S)
    try:
        status = 1 if run(record) else 0
        record.write("the rule " + ("was broken" if status else "held"))
    except Exception as error:  # pylint: disable=broad-exception-caught
        record.write(f"the case could not run: {error!r}")
    print({0: "held", 1: "broken", 2: "could not run"}[status], flush=True)
    # Threads of stand-ins may wait for connections.
    os._exit(status)  # pylint: disable=protected-access


def _raise_interrupted(number, _):
    raise RuntimeError(f"interrupted by signal {number}")
