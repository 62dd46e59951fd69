"""HTTP servers that stand for the store and an endpoint in process tests."""

import base64
import contextlib
import http.server
import json
import threading
import time
import urllib.parse


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

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
        is_unavailable: Whether all calls fail with status 503.
    """

    def __init__(self):
        self._condition = threading.Condition()
        self._items = {}
        self._changes = []
        self._revision = 1
        self.is_unavailable = False
        store = self

        class Handler(_Handler):
            """Responds to the calls."""

            def do_GET(self):  # pylint: disable=invalid-name
                """Handles all calls, whatever their method."""
                self._respond()

            do_POST = do_GET
            do_DELETE = do_GET

            def _respond(self):
                body = self.read_body()
                if store.is_unavailable:
                    self.send(503, b"{}")
                    return
                parts = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(parts.query, True))
                status, response = store.get_response(parts.path, query, body)
                self.send(status, json.dumps(response).encode())

        self._server = _Server(Handler)

    @property
    def address(self):
        """Address of the server as IP:PORT."""
        return self._server.address

    def put(self, key, value):
        """Writes a key; a value other than bytes is stored as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._condition:
            self._revision += 1
            item = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "revision": self._revision,
            }
            self._items[key] = item
            self._changes.append(item)
            self._condition.notify_all()

    def get_response(self, path, query, body):
        """Returns the status and body of the response to a call."""
        with self._condition:
            if path == "/kv-key":
                item = self._items.get(query["key"])
                if item is None:
                    return 404, {"at": self._revision}
                return 200, {**item, "at": self._revision}
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
                return 200, self._watch(query)
        if path == "/kv-lease":
            return 200, {"lease_id": 1, "ttl_ms": 12000}
        if path == "/kv-txn":
            for row in json.loads(body)["write"]:
                self.put(row["key"], base64.b64decode(row["value"]))
        return 200, {"revision": self._revision}

    def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changes = [
                each for each in self._changes if each["revision"] > after and
                each["key"].startswith(query["path_prefix"])
            ]
            remaining = until - time.monotonic()
            if changes or remaining <= 0:
                return {"events": changes, "at": self._revision}
            self._condition.wait(remaining)


class FakeEndpoint:
    """A fake endpoint whose response time is given by the request's path.

    Attributes:
        received_headers: Headers of the requests received so far.
    """

    def __init__(self):
        self.received_headers = []
        endpoint = self

        class Handler(_Handler):
            """Responds to requests."""

            def do_GET(self):  # pylint: disable=invalid-name
                """Responds after the milliseconds at the path's end."""
                self.read_body()
                endpoint.received_headers.append(dict(self.headers.items()))
                time.sleep(int(self.path.rpartition("/")[2] or 0) / 1000)
                self.send(200, b"answer to " + self.path.encode(), [
                    ("Mustardwood-Attempt-Id",
                     self.headers["Mustardwood-Attempt-Id"]),
                    ("Mustardwood-Replica-Signature", "signed"),
                ])

            do_POST = do_GET

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
