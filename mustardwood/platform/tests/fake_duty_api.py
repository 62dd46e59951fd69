"""A fake of the platform's API of duty calls, on a loopback address."""

import http.server
import json
import threading
import time

_POLL_INTERVAL_S = 0.05
"""Interval at which the server checks whether it is stopped."""


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Ignores errors of connections that the client has closed."""


class FakeDutyApi:
    """Answers duty calls and checks tokens as the platform states it.

    Attributes:
        calls: Path, headers and body of each call, in the order of arrival.
        accepted: Counts of each window that was accepted.
        responses: Responses of the next calls in place of the usual ones, as
            pairs of a status and headers; status 0 closes the connection
            without a response.
        delay_s: Time before each response in seconds.
        is_fencing_enforced: Whether tokens are checked.
    """

    def __init__(self):
        self.calls = []
        self.accepted = {}
        self.responses = []
        self.delay_s = 0.0
        self.is_fencing_enforced = True
        self._tokens = {}
        api = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Responds to the calls."""

            protocol_version = "HTTP/1.1"

            def log_message(self, format, *args):  # pylint: disable=redefined-builtin
                """Suppresses the log."""

            def do_POST(self):  # pylint: disable=invalid-name
                """Responds to a call."""
                body = json.loads(
                    self.rfile.read(int(self.headers["Content-Length"])))
                status, headers = api.handle(self.path, {
                    name.lower(): value for name, value in self.headers.items()
                }, body)
                time.sleep(api.delay_s)
                if not status:
                    self.close_connection = True
                    return
                self.send_response(status)
                for name, value in headers:
                    self.send_header(name, value)
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"{}")

        self._server = _Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self._server.serve_forever,
                         args=(_POLL_INTERVAL_S,),
                         daemon=True).start()

    @property
    def address(self):
        """IP address and port of the server."""
        return self._server.server_address[:2]

    def stop(self):
        """Closes the server."""
        self._server.shutdown()
        self._server.server_close()

    def handle(self, path, headers, body):
        """Returns the status and the headers of the response to a call."""
        self.calls.append((path, headers, body))
        if self.responses:
            return self.responses.pop(0)
        subject = (path, body.get("service"), body.get("zone"))
        token = int(headers["mustardwood-fencing-token"])
        if self.is_fencing_enforced and token < self._tokens.get(subject, 0):
            return 409, []
        self._tokens[subject] = max(token, self._tokens.get(subject, 0))
        if path == "/usage":
            known = self.accepted.setdefault(body["window_id"], body["counts"])
            assert known == body["counts"], "two counts for one window"
        return 200, []
