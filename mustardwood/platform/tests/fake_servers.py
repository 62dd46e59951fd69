"""HTTP servers that stand for the store and an endpoint in process tests."""

import base64
import contextlib
import http.server
import json
import os
import random
import socket
import struct
import threading
import time
import urllib.parse


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, handler):
        super().__init__(("127.0.0.1", 0), handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignores errors of connections that the client has closed."""

    @property
    def address(self):
        """Address of the server as IP:PORT."""
        return f"127.0.0.1:{self.server_address[1]}"


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        """Suppresses the log."""

    def read_body(self):
        """Returns the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def send(self, status, body, headers=()):
        """Sends a complete response."""
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class FakeStore:
    """A fake of the platform's store with the calls that a VM makes.

    Attributes:
        era: Number of times that the store was restored from a copy.
        is_unavailable: Whether all calls fail with status 503.
        silent_since: Monotonic time; connections opened before are silent.
    """

    def __init__(self):
        self._condition = threading.Condition()
        self._items = {}
        self._changes = []
        self._revision = 1
        self._cuts = 0
        self._waiting_watches = 0
        self.silent_since = 0.0
        self._lease_ends = {}
        self._last_lease = 0
        self.era = 0
        self.is_unavailable = False
        store = self

        class Handler(_Handler):
            """Responds to the calls."""

            def setup(self):
                """Records when the connection was opened."""
                super().setup()
                self._opened_at = time.monotonic()

            def do_GET(self):  # pylint: disable=invalid-name
                """Handles all calls, whatever their method."""
                body = self.read_body()
                parts = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(parts.query, True))
                status, response = store.get_response(parts.path, query, body)
                if self._opened_at < store.silent_since:
                    store.wait_forever()
                if response is None:
                    self.close_connection = True
                    return
                self.send(status,
                          json.dumps(response).encode(),
                          [("Store-Era", str(store.era))])

            do_POST = do_GET
            do_DELETE = do_GET

        self._server = _Server(Handler)

    @property
    def address(self):
        """Address of the server as IP:PORT."""
        return self._server.address

    def put(self, key, value, lease_id=0):
        """Writes a key; a value other than bytes is stored as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._condition:
            self._change(key, {
                "value": base64.b64encode(data).decode(),
                "lease_id": lease_id
            })

    def find(self, key):
        """Returns the item of a key; None if the key does not exist."""
        with self._condition:
            self._end_leases()
            return self._items.get(key)

    def copy(self):
        """Returns a copy of the contents for `restore`."""
        with self._condition:
            return (dict(self._items), list(self._changes), self._revision,
                    dict(self._lease_ends))

    def restore(self, copy, away_seconds=0.3):
        """Takes the store away for a time and restores a copy."""
        self.is_unavailable = True
        with self._condition:
            self._condition.notify_all()
        time.sleep(away_seconds)
        with self._condition:
            items, changes, self._revision, lease_ends = copy
            self._items, self._changes = dict(items), list(changes)
            self._lease_ends = dict(lease_ends)
            # Ids are given out again, as the store does.
            self._last_lease = max(self._lease_ends, default=0)
            self.era += 1
            self.is_unavailable = False

    def remove(self, key):
        """Removes a key and returns the monotonic time of the removal."""
        with self._condition:
            self._change(key, {"deleted": True})
            return time.monotonic()

    def cut_watches(self):
        """Closes the connections of the watches that are waiting."""
        with self._condition:
            self._cuts += 1
            self._condition.notify_all()

    def silence_connections(self):
        """Stops to respond on open connections, without closing them.

        Returns the monotonic time from which they are silent.
        """
        self.silent_since = time.monotonic()
        return self.silent_since

    def wait_forever(self):
        """Blocks the thread of a connection."""
        threading.Event().wait()

    def count_waiting_watches(self):
        """Returns the number of watches that are waiting for a change."""
        with self._condition:
            return self._waiting_watches

    def get_response(self, path, query, body):
        """Returns the status and body of the response to a call.

        The body is None if the connection is closed without a response.
        """
        with self._condition:
            self._end_leases()
            if self.is_unavailable:
                return 503, {}
            if path == "/kv-key":
                item = self._items.get(query["key"])
                return (200 if item else 404), {
                    **(item or {}), "at": self._revision
                }
            if path == "/kv-range":
                return 200, {
                    "entries": [
                        item for key, item in sorted(self._items.items())
                        if key.startswith(query["path_prefix"])
                    ],
                    "has_more": False,
                    "at": self._revision
                }
            if path == "/kv-watch":
                return self._watch(query)
            if path == "/kv-txn":
                return self._write(**json.loads(body))
            return self._handle_lease_call(path, body)

    def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        if after > self._revision:
            return 410, {}
        cuts = self._cuts
        while cuts == self._cuts:
            changes = [
                each for each in self._changes if each["revision"] > after and
                each["key"].startswith(query["path_prefix"])
            ]
            remaining = until - time.monotonic()
            if self.is_unavailable:
                return 503, {}
            if changes or remaining <= 0:
                return 200, {"events": changes, "at": self._revision}
            self._waiting_watches += 1
            self._condition.wait(min(remaining, 0.1))
            self._waiting_watches -= 1
            self._end_leases()
        return 0, None

    def _write(self, expected_revision, write, remove):
        assert not remove
        if any(row["lease_id"] and row["lease_id"] not in self._lease_ends
               for row in write):
            return 404, {}
        if any(
                self._items.get(row["key"], {"revision": 0})["revision"] !=
                row["revision"] for row in expected_revision):
            return 412, {}
        for row in write:
            self._change(row["key"], {
                "value": row["value"],
                "lease_id": row["lease_id"]
            })
        return 200, {"revision": self._revision}

    def _handle_lease_call(self, path, body):
        if path == "/kv-lease":
            self._last_lease += 1
            lease_id = self._last_lease
            ttl_ms = json.loads(body)["ttl_ms"]
            self._lease_ends[lease_id] = (time.monotonic() + ttl_ms / 1000,
                                          ttl_ms / 1000)
            return 200, {"lease_id": lease_id, "ttl_ms": ttl_ms}
        _, call, lease_id = path.split("/")
        if int(lease_id) not in self._lease_ends:
            return 404, {}
        _, time_to_live = self._lease_ends[int(lease_id)]
        remaining = time_to_live if call == "kv-keep" else 0
        self._lease_ends[int(lease_id)] = (time.monotonic() + remaining,
                                           time_to_live)
        self._end_leases()
        return 200, {}

    def _end_leases(self):
        now = time.monotonic()
        for lease_id, (end, _) in list(self._lease_ends.items()):
            if end <= now:
                del self._lease_ends[lease_id]
                for key, item in list(self._items.items()):
                    if item["lease_id"] == lease_id:
                        self._change(key, {"deleted": True})

    def _change(self, key, fields):
        self._revision += 1
        item = {"key": key, "revision": self._revision, **fields}
        if "deleted" in fields:
            self._items.pop(key, None)
        else:
            self._items[key] = item
        self._changes.append(item)
        self._condition.notify_all()


def make_event(number):
    """Returns an event of a fake endpoint's stream."""
    return b"id: %d\ndata: event\n\n" % number


class FakeEndpoint:
    """A fake endpoint whose response time is given by the request's path.

    A path under /stream/ ends with the number of events and the milliseconds
    before each of them; it continues after the Last-Event-Id.

    Attributes:
        received_headers: Headers of the requests received so far.
        arrivals: Monotonic times at which requests arrived, by attempt id.
        padding: Bytes that follow the text of each response.
        rate_limit: Value of the header with its rate limit; None for none.
        stated_headers: Further headers of all its responses.
        is_full: Whether it turns requests away with status 503.
        is_unframed: Whether its streams end with their connection, and have
            neither a length nor chunks.
        status: Status of its responses to requests that it has run.
        idle_seconds: Time after which it closes a connection without a request;
            None for never.
    """

    def __init__(self):
        self.idle_seconds = None
        self.received_headers = []
        self.arrivals = {}
        self.padding = b""
        self.rate_limit = None
        self.stated_headers = []
        self.is_full = False
        self.is_unframed = False
        self.status = 200
        endpoint = self

        class Handler(_Handler):
            """Responds to requests."""

            def setup(self):
                """Sets the time after which an idle connection is closed."""
                self.timeout = endpoint.idle_seconds
                super().setup()

            def do_GET(self):  # pylint: disable=invalid-name
                """Responds after the milliseconds at the path's end."""
                self.read_body()
                endpoint.received_headers.append(dict(self.headers.items()))
                attempt_id = self.headers["Mustardwood-Attempt-Id"]
                endpoint.arrivals[attempt_id] = time.monotonic()
                headers = [("Mustardwood-Attempt-Id", attempt_id),
                           ("Mustardwood-Replica-Signature", "signed")]
                if endpoint.rate_limit is not None:
                    headers.append(("Server-Limit", endpoint.rate_limit))
                headers += endpoint.stated_headers
                if endpoint.is_full:
                    self.send(503, b"full",
                              [*headers, ("Mustardwood-Not-Executed", "1")])
                    return
                if self.path.startswith("/stream/"):
                    self._send_events(headers)
                    return
                time.sleep(int(self.path.rpartition("/")[2] or 0) / 1000)
                self.send(endpoint.status,
                          b"answer to " + self.path.encode() + endpoint.padding,
                          headers)

            do_POST = do_GET

            def _send_events(self, headers):
                count, interval_ms = self.path.split("/")[-2:]
                self.send_response(200)
                for name, value in headers:
                    self.send_header(name, value)
                self.send_header("Content-Type", "text/event-stream")
                if endpoint.is_unframed:
                    self.send_header("Connection", "close")
                else:
                    self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                last = int(self.headers.get("Last-Event-Id") or 0)
                for number in range(last + 1, int(count) + 1):
                    time.sleep(int(interval_ms) / 1000)
                    event = make_event(number)
                    self.wfile.write(
                        event if endpoint.is_unframed else b"%x\r\n%b\r\n" %
                        (len(event), event))
                if endpoint.is_unframed:
                    self.close_connection = True
                else:
                    self.wfile.write(b"0\r\n\r\n")

        self._server = _Server(Handler)

    @property
    def address(self):
        """Address of the server as IP:PORT."""
        return self._server.address


class CopyingEndpoint:
    """A fake endpoint that sends copies of its refusals.

    It refuses the first request under each id. When a request under that id
    begins on the same connection, it sends the refusal once more. It runs all
    but the first ones.

    Attributes:
        run_ids: Ids of the requests that it has run.
        copies: Number of copies sent.
    """

    def __init__(self):
        self.run_ids = []
        self.copies = 0
        refused_ids = set()
        endpoint = self

        class Handler(_Handler):
            """Responds to requests."""

            def setup(self):
                """Records that nothing was refused on the connection."""
                super().setup()
                self._refused_ids = set()

            def do_POST(self):  # pylint: disable=invalid-name
                """Refuses the first request under an id and runs the others."""
                self.read_body()
                request_id = self.headers["Mustardwood-Attempt-Id"]
                if request_id not in refused_ids:
                    refused_ids.add(request_id)
                    self._refused_ids.add(request_id)
                    self._refuse(request_id)
                    return
                if request_id in self._refused_ids:
                    endpoint.copies += 1
                    self._refuse(request_id)
                endpoint.run_ids.append(request_id)
                self.send(200, b"body",
                          [("Mustardwood-Attempt-Id", request_id),
                           ("Mustardwood-Replica-Signature", "signed")])

            def _refuse(self, request_id):
                self.send(503, b"full", [("Mustardwood-Attempt-Id", request_id),
                                         ("Mustardwood-Not-Executed", "1")])

        self._server = _Server(Handler)

    @property
    def address(self):
        """Address of the server as IP:PORT."""
        return self._server.address


class EndlessEndpoint:
    """A fake endpoint that sends bytes without end, at full speed.

    Attributes:
        sent_bytes: Number of bytes sent so far.
    """

    def __init__(self, begin, part):
        """Starts the endpoint.

        Args:
            begin: Bytes sent first; a `%s` stands for the request's id.
            part: Bytes sent again and again after that.
        """
        self.sent_bytes = 0
        endpoint = self
        block = part * max(1, 64 * 1024 // len(part))

        class Handler(_Handler):
            """Responds to requests until the connection is closed."""

            def do_GET(self):  # pylint: disable=invalid-name
                """Sends until the connection is closed."""
                self.read_body()
                request_id = self.headers["Mustardwood-Attempt-Id"].encode()
                self.close_connection = True
                with contextlib.suppress(OSError):
                    self.connection.sendall(begin.replace(b"%s", request_id))
                    while True:
                        self.connection.sendall(block)
                        endpoint.sent_bytes += len(block)

            do_POST = do_GET

        self._server = _Server(Handler)

    @property
    def address(self):
        """Address of the server as IP:PORT."""
        return self._server.address


class ResettingEndpoint:
    """A fake endpoint that answers before it has read a request's body.

    Its responses end with their connection, which it resets while the body is
    still being written.

    Attributes:
        resets: Number of connections that it has reset.
    """

    def __init__(self, body, max_delay_seconds):
        """Starts the endpoint.

        Args:
            body (bytes): Part of the body that it sends.
            max_delay_seconds (float): Maximum time before the reset.
        """
        self.resets = 0
        rng = random.Random(1)
        endpoint = self

        class Handler(_Handler):
            """Responds to one request on each connection."""

            def do_POST(self):  # pylint: disable=invalid-name
                """Sends a part of a response and resets the connection."""
                self.close_connection = True
                head = ("HTTP/1.1 200 OK\r\n"
                        "Mustardwood-Attempt-Id: "
                        f"{self.headers['Mustardwood-Attempt-Id']}\r\n"
                        "Mustardwood-Replica-Signature: signed\r\n"
                        "Connection: close\r\n\r\n")
                with contextlib.suppress(OSError):
                    self.connection.sendall(head.encode() + body)
                    time.sleep(rng.uniform(0, max_delay_seconds))
                    self.connection.setsockopt(socket.SOL_SOCKET,
                                               socket.SO_LINGER,
                                               struct.pack("ii", 1, 0))
                endpoint.resets += 1
                # The streams of the handler keep the socket open otherwise.
                os.close(self.connection.detach())

            def finish(self):
                """Leaves the closed connection alone."""

        self._server = _Server(Handler)

    @property
    def address(self):
        """Address of the server as IP:PORT."""
        return self._server.address


class ClosingEndpoint:
    """A fake endpoint that sends fixed bytes and closes the connection."""

    def __init__(self, response):
        """Starts the endpoint.

        Args:
            response: The bytes to send; a `%s` stands for the request's id.
        """

        class Handler(_Handler):
            """Responds to one request on each connection."""

            def do_POST(self):  # pylint: disable=invalid-name
                """Sends the bytes and closes the connection regularly."""
                self.read_body()
                request_id = self.headers["Mustardwood-Attempt-Id"].encode()
                self.close_connection = True
                self.connection.sendall(response.replace(b"%s", request_id))

        self._server = _Server(Handler)

    @property
    def address(self):
        """Address of the server as IP:PORT."""
        return self._server.address


class CrashingEndpoint:
    """A fake engine that crashes as it begins to write on one prompt part.

    It is back at once, as a new process behind the same address.

    Attributes:
        crashes: Number of crashes so far.
        served: Number of requests answered so far.
    """

    def __init__(self, part, on_crash, events_before_crash=0):
        """Starts the endpoint.

        Args:
            part: Key of the part, which is a shared one or the only one.
            on_crash: Called with the endpoint after each crash.
            events_before_crash: Number of events sent before each crash.
        """
        self.crashes = 0
        self.served = 0
        endpoint = self

        class Handler(_Handler):
            """Responds to requests."""

            def do_POST(self):  # pylint: disable=invalid-name
                """Sends one event, or crashes after the head."""
                self.read_body()
                keys = [
                    each.partition(":")[0] for each in
                    self.headers["Mustardwood-Prompt-Prefix"].split(",")
                ]
                self.send_response(200)
                for name in ("Mustardwood-Attempt-Id",
                             "Mustardwood-Replica-Signature"):
                    self.send_header(name, self.headers.get(name, "signed"))
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                event = b"id: %d\ndata: event\n\n"
                if part in (keys[:-1] or keys):
                    for number in range(1, events_before_crash + 1):
                        self._send_chunk(event % number)
                    endpoint.crashes += 1
                    self.close_connection = True
                    on_crash(endpoint)
                    return
                endpoint.served += 1
                self._send_chunk(event % 1)
                self.wfile.write(b"0\r\n\r\n")

            def _send_chunk(self, data):
                self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))

        self._server = _Server(Handler)

    @property
    def address(self):
        """Address of the server as IP:PORT."""
        return self._server.address
