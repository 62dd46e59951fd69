"""Tests of many responses without end at the same time, as real processes."""

import asyncio
import contextlib
import itertools
import time

import pytest

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

pytestmark = pytest.mark.processes

_MEMORY_MB = 300
_CALLERS = 1400
_SECONDS = 10.0
_PART = b"x" * 16 * 1024
_SIGNED = (b"Mustardwood-Attempt-Id: %s\r\n"
           b"Mustardwood-Replica-Signature: signed\r\n")
_OK = b"HTTP/1.1 200 OK\r\n"
_RESPONSES = {
    "event": _OK + _SIGNED + b"\r\nid: 1\ndata: ",
    "error body": b"HTTP/1.1 500 Any\r\n" + _SIGNED + b"\r\n",
    "head": _OK + _SIGNED + b"X-Long: ",
    "chunk extension": _OK + _SIGNED + b"Transfer-Encoding: chunked\r\n\r\n10;",
}


async def _serve_endlessly(beginning, is_open):
    """Starts an endpoint that sends bytes until the connection is closed."""

    async def serve(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            _, _, rest = head.partition(b"Mustardwood-Attempt-Id: ")
            writer.write(beginning.replace(b"%s", rest.partition(b"\r\n")[0]))
            while is_open():
                writer.write(_PART)
                await writer.drain()
                # All connections get as far as one of them.
                await asyncio.sleep(0.05)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=1024)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def _call(vm, path, name, reads, ends_at):
    """Sends requests, one after the other, and reads the responses or not."""
    for number in itertools.count():
        if time.monotonic() > ends_at:
            return
        with (contextlib.suppress(OSError,
                                  TimeoutError), contextlib.ExitStack() as
              stack):
            async with asyncio.timeout(ends_at - time.monotonic()):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", vm.callers)
                stack.callback(writer.close)
                writer.write(
                    f"POST {path} HTTP/1.1\r\nHost: {documents.HOST}\r\n"
                    f"Mustardwood-Attempt-Id: {name}-{number}\r\n"
                    "Authorization: Bearer key-1\r\n"
                    "Connection: close\r\n"
                    "Content-Length: 0\r\n\r\n".encode())
                while reads and await reader.read(64 * 1024):
                    pass
                if not reads:
                    await asyncio.sleep(_SECONDS)
        await asyncio.sleep(0.05)


async def _play(vm, store, beginning, path, reads):
    ends_at = time.monotonic() + _SECONDS
    servers = []
    for index in range(8):
        server, address = await _serve_endlessly(
            beginning, lambda: time.monotonic() < ends_at)
        servers.append(server)
        store.put(
            f"servers/endless-{index}",
            documents.make_registration(service="engine",
                                        slots=512,
                                        address=address))
    await asyncio.to_thread(vm.start)
    ends_at = time.monotonic() + _SECONDS
    await asyncio.gather(*(_call(vm, path, f"caller-{index}", reads, ends_at)
                           for index in range(_CALLERS)))
    for each in servers:
        each.close()


@pytest.mark.parametrize("kind, path, reads", [
    ("event", "/stream/1", True),
    ("event", "/open/1", False),
    ("error body", "/open/1", True),
    ("head", "/stream/1", True),
    ("chunk extension", "/stream/1", True),
])
def test_many_responses_without_end_fit_into_the_memory(tmp_path, kind, path,
                                                        reads):
    store = fake_servers.FakeStore()
    document = documents.make_document(version=8)
    for route in document["routes"]:
        route.update({"service": "engine", "timeout_ms": 6000})
        route.pop("backends", None)
    store.put("op/config", document)
    vm = process_fleet.Vm(tmp_path, "vm-1", store,
                          f"[limits]\nmemory_mb = {_MEMORY_MB}")
    try:
        asyncio.run(_play(vm, store, _RESPONSES[kind], path, reads))
        peak = vm.read_peak_memory()
    finally:
        vm.kill()
    print(f"peak {peak >> 20} MiB, {len(vm.find_events('request'))} requests")
    assert peak < _MEMORY_MB * 1024 * 1024
