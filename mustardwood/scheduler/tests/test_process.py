"""Tests of the scheduler as an operating system process."""

import asyncio
import contextlib
import datetime
import http.server
import json
import signal
import subprocess
import sys
import threading
import urllib.error
import urllib.request

import msgspec
import pytest

from mustardwood import configuration
from mustardwood import messages
from mustardwood import settings
from mustardwood import timing
from mustardwood.links import pynng_link

_IP = "127.77.1.1"
_ENDPOINT_IP = "127.77.1.2"
_EXTERNAL_RUNNING = 12


def _make_document_text(port: int) -> str:
    document = configuration.Document(
        classes=(configuration.RequestClass("tag", 0, 1.0),),
        default_class="tag",
        organisations=(),
        models=(configuration.Model("m"),),
        endpoints=(configuration.Endpoint("e1", "m",
                                          f"http://{_ENDPOINT_IP}:{port}", "z",
                                          "r"),))
    return msgspec.json.encode(document).decode()


class _LoadHandler(http.server.BaseHTTPRequestHandler):
    """Reports the load of requests that other senders run on the endpoint."""

    def do_GET(self):  # pylint: disable=invalid-name
        """Responds to every path with the load report."""
        body = json.dumps({
            "running": _EXTERNAL_RUNNING,
            "queued": 0,
            "cached_tokens": 0,
            "age_seconds": 0.1
        }).encode()
        self.send_response(200)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        """Logs nothing."""


@contextlib.contextmanager
def _run_endpoint():
    with http.server.ThreadingHTTPServer((_ENDPOINT_IP, 0),
                                         _LoadHandler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield server.server_address[1]
        server.shutdown()


def _make_settings(ip: str) -> settings.Settings:
    return settings.Settings(ip, ip, "z", "r", "http://127.0.0.1:1")


@contextlib.contextmanager
def _run_scheduler(folder):
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode(_make_settings(_IP)))
    command = [
        sys.executable, "-m", "mustardwood.scheduler.main", "--settings",
        str(path)
    ]
    with subprocess.Popen(command) as process:
        try:
            yield process
        finally:
            process.kill()


def _read_status(path: str) -> int:
    try:
        with urllib.request.urlopen(f"http://{_IP}:9102{path}") as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code
    except urllib.error.URLError:
        return 0


class _RecordingLink:
    """A link that records the messages it receives."""

    def __init__(self, role: messages.Role) -> None:
        self.received = []
        self.link = pynng_link.PynngLink(_make_settings(_IP), role,
                                         timing.SystemClock())
        self.link.set_handler(lambda each: self.received.append(each.body))
        self.link.open()

    def send(self, message: messages.Message) -> None:
        """Sends a message to the scheduler."""
        self.link.send(messages.Peer(_IP, messages.Role.SCHEDULER), message)

    async def wait(self, kind):
        """Waits for a message of a kind; returns the first one."""
        for _ in range(2000):
            found = [each for each in self.received if isinstance(each, kind)]
            if found:
                return found[0]
            await asyncio.sleep(0.01)
        raise AssertionError(f"no {kind.__name__} in 20 s")


def _make_ask(request_id: str) -> messages.Ask:
    return messages.Ask(request_id, 1, "m/r/0", "tag", "o", 10, 10, 0,
                        datetime.timedelta(), datetime.timedelta(seconds=60))


@pytest.mark.processes
def test_ask_is_granted_and_late_asks_are_refused_during_graceful_shutdown(
        tmp_path):

    async def run(process) -> None:
        agent = _RecordingLink(messages.Role.AGENT)
        entry = _RecordingLink(messages.Role.ENTRY)
        agent.send(
            messages.View(
                1, 3,
                configuration.VersionedDocument(3, "a",
                                                _make_document_text(1))))
        ack = await agent.wait(messages.ViewAck)
        assert ack == messages.ViewAck(1, 3)
        entry.send(_make_ask("a"))
        grant = await entry.wait(messages.Grant)
        assert (grant.request_id, grant.endpoint) == ("a", "e1")
        agent.send(messages.Query(7, messages.QueryKind.EXPLAIN, "a"))
        reply = await agent.wait(messages.QueryReply)
        events = json.loads(reply.body)["events"]
        assert "Granted endpoint e1" in events[-1]["text"]
        loop = asyncio.get_running_loop()
        for path in ("/healthz", "/readyz", "/metrics"):
            assert await loop.run_in_executor(None, _read_status, path) == 200
        process.send_signal(signal.SIGTERM)
        for number in range(20):
            entry.send(_make_ask(f"late-{number}"))
            await asyncio.sleep(0.02)
        refusal = await entry.wait(messages.Refusal)
        assert refusal.reason is messages.RefusalReason.STOPPING
        agent.link.close()
        entry.link.close()

    with _run_scheduler(tmp_path) as process:
        asyncio.run(run(process))
        assert process.wait(timeout=30) == 0


async def _read_limit(agent) -> int:
    agent.received.clear()
    agent.send(messages.Query(1, messages.QueryKind.STATUS))
    reply = await agent.wait(messages.QueryReply)
    return json.loads(reply.body)["cells"][0]["endpoints"][0]["limit"]


@pytest.mark.processes
def test_reported_external_load_lowers_the_concurrency_limit(tmp_path):

    async def run(port) -> None:
        agent = _RecordingLink(messages.Role.AGENT)
        entry = _RecordingLink(messages.Role.ENTRY)
        text = _make_document_text(port)
        agent.send(
            messages.View(1, 3, configuration.VersionedDocument(3, "a", text)))
        await agent.wait(messages.ViewAck)
        for number in range(100):
            entry.send(_make_ask(f"r{number}"))
            await asyncio.sleep(0.2)
            limit = await _read_limit(agent)
            if limit < 16:
                break
        assert 16 - _EXTERNAL_RUNNING <= limit < 16
        agent.link.close()
        entry.link.close()

    with _run_endpoint() as port, _run_scheduler(tmp_path):
        asyncio.run(run(port))
