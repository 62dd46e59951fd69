"""Endpoints that record what they run, and that misbehave."""

import asyncio
import dataclasses
import enum
import itertools
import random as random_module
import socket
import struct
import time

from mustardwood.platform.tests import documents

_EVENT_SECONDS = 0.05
"""Time before each event of a stream."""
EVENTS = 20
"""Number of events of a stream."""
_PLAIN_SECONDS = 0.03
_COPY_FOR_OTHER_REQUEST = 0.1
"""Probability that a copy of a refusal precedes another request's response."""
_SILENT_AFTER_EVENTS = 3
_RESET = struct.pack("ii", 1, 0)
"""Option SO_LINGER by which closing a socket resets its connection."""


class Behavior(enum.Enum):
    """What an endpoint does with a request."""

    ANSWER = "answer"
    REFUSE = "refuse"
    """It states that it has not run the request."""
    RESET = "reset"
    """It begins the request and resets the connection."""
    CLOSE = "close"
    """It begins the request and closes the connection."""
    BE_SILENT = "be silent"
    """It works on the request and sends nothing."""
    FALL_SILENT = "fall silent"
    """It works on the request and sends nothing after some events."""
    BREAK_EVENT = "break event"
    """It resets the connection inside an event."""
    REPEAT_REFUSAL = "repeat refusal"
    """It sends a refusal of the request after the whole response."""
    REFUSE_AFTER_RUN = "refuse after run"
    """It runs the request and refuses it without stating that it has not."""
    BREAK_REFUSAL = "break refusal"
    """It runs the request and resets the connection inside a refusal."""


_UNSTATED_STATUSES = (408, 421, 429, 503)
"""Statuses of a refusal that does not state that the request has not run."""


@dataclasses.dataclass
class Run:
    """Work of an endpoint on one request.

    Attributes:
        attempt_id: Id of the request.
        endpoint: Name of the endpoint.
        path: Path of the request.
        stream_id: Id of the request whose stream it begins or resumes.
        began_at: Monotonic time in seconds at which the work began.
        ended_at: Monotonic time at which it ended; infinite before that.
        was_killed: Whether it ended with the endpoint's process.
    """

    attempt_id: str
    endpoint: str
    path: str
    stream_id: str
    began_at: float
    ended_at: float = float("inf")
    was_killed: bool = False


class Endpoint:
    """An endpoint that stops its work when the connection closes.

    Attributes:
        name: Id in its registration.
        service: Name of the service.
        runs: Work on requests, in the order of its beginning.
        on_end: Called with each run that has ended.
    """

    _numbers = itertools.count(1)

    def __init__(self,
                 store,
                 service,
                 random,
                 misbehavior,
                 slots=64,
                 close_seconds=0.0,
                 name="",
                 copied_refusals=0.0,
                 unframed=0.0):
        """Creates an endpoint; `start` starts it.

        Args:
            store: The store for its registration.
            service: Name of the service.
            random: Source of random numbers.
            misbehavior: Probability that it does not answer a request.
            slots: Number of slots that it states.
            close_seconds: Time for which it works on after the connection of a
                request has closed.
            name: Id in its registration; empty for a new one.
            copied_refusals: Probability that it refuses a request and sends a
                copy of the refusal, with a later response on the connection.
            unframed: Probability that a stream has neither a length nor chunks,
                and ends with its connection.
        """
        self._unframed = unframed
        # The other draws of a seed stay as they were.
        self._framing = random_module.Random(f"{service} {slots}")
        self.name = name or f"{service}-{next(self._numbers)}"
        self.service = service
        self.runs = []
        self.on_end = lambda run: None
        self._store = store
        self._random = random
        self._misbehavior = misbehavior
        self._slots = slots
        self._close_seconds = close_seconds
        self._copied_refusals = copied_refusals

    async def start(self):
        """Listens on a free port and registers."""
        server = await self.listen()
        port = server.sockets[0].getsockname()[1]
        self._store.put(
            f"servers/{self.name}",
            documents.make_registration(service=self.service,
                                        address=f"127.0.0.1:{port}",
                                        slots=self._slots))
        return server

    async def listen(self, port=0):
        """Listens on a port, by default a free one; returns the server."""
        return await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _serve(self, reader, writer):
        refusals = {}
        try:
            while (request := await read_head(reader)) is not None:
                first_line, headers = request
                await reader.readexactly(int(headers.get("content-length", 0)))
                expected = headers.get("mustardwood-expect-replica")
                if expected != self.name:
                    writer.write(
                        _make_head(
                            headers, 421,
                            f"Mustardwood-Replica-Id: {self.name}\r\n"
                            "Content-Length: 0\r\n") + b"\r\n")
                    continue
                self._send_copy(headers, refusals, writer)
                if self._random.random() < self._copied_refusals:
                    refusal = _make_refusal(headers)
                    refusals[headers["mustardwood-attempt-id"]] = refusal
                    writer.write(refusal)
                    continue
                await self._handle(
                    first_line.split(" ")[1], headers, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _send_copy(self, headers, refusals, writer):
        """Sends the copy of a refusal where another response is due.

        Args:
            headers: Headers of the request that is due.
            refusals: Refusals sent on the connection, by the request's id; the
                one that is sent once more is removed.
            writer: The connection.
        """
        attempt_id = headers["mustardwood-attempt-id"]
        if (attempt_id not in refusals and refusals and
                self._random.random() < _COPY_FOR_OTHER_REQUEST):
            attempt_id = next(iter(refusals))
        writer.write(refusals.pop(attempt_id, b""))

    async def _handle(self, path, headers, reader, writer):
        behavior = Behavior.ANSWER
        if self._random.random() < self._misbehavior:
            behavior = self._random.choice(list(Behavior))
        attempt_id = headers["mustardwood-attempt-id"]
        if behavior is Behavior.REFUSE:
            writer.write(_make_refusal(headers))
            return
        run = Run(attempt_id, self.name, path,
                  headers.get("resumes") or attempt_id, time.monotonic())
        self.runs.append(run)
        work = asyncio.create_task(self._work(path, headers, behavior, writer))
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, closed},
                               return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                await asyncio.wait({work}, timeout=self._close_seconds)
            if not work.done() or closed.done():
                raise ConnectionResetError
            await work
        finally:
            run.ended_at = time.monotonic()
            self.on_end(run)
            for each in (work, closed):
                each.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)

    async def _work(self, path, headers, behavior, writer):
        await asyncio.sleep(_PLAIN_SECONDS)
        if behavior is Behavior.RESET:
            reset_connection(writer)
        if behavior in (Behavior.RESET, Behavior.CLOSE):
            raise ConnectionResetError
        if behavior is Behavior.BE_SILENT:
            await asyncio.Event().wait()
        if behavior is Behavior.REFUSE_AFTER_RUN:
            status = self._random.choice(_UNSTATED_STATUSES)
            writer.write(
                _make_head(headers, status, "Content-Length: 0\r\n") + b"\r\n")
            return
        if behavior is Behavior.BREAK_REFUSAL:
            writer.write(_make_refusal(headers)[:-2])
            await writer.drain()
            reset_connection(writer)
            raise ConnectionResetError
        if path.startswith("/post/"):
            writer.write(
                _make_head(headers, 200, "Content-Length: 4\r\n") + b"\r\nbody")
        else:
            await self._send_events(headers, behavior, writer)
        if behavior is Behavior.REPEAT_REFUSAL and not writer.is_closing():
            writer.write(_make_refusal(headers))
        await writer.drain()

    async def _send_events(self, headers, behavior, writer):
        is_unframed = self._framing.random() < self._unframed
        framing = ("Connection: close\r\n"
                   if is_unframed else "Transfer-Encoding: chunked\r\n")
        writer.write(_make_head(headers, 200, framing) + b"\r\n")
        last = int(headers.get("last-event-id") or 0)
        for number in range(last + 1, EVENTS + 1):
            await asyncio.sleep(_EVENT_SECONDS)
            event = b"id: %d\ndata: event\n\n" % number
            if number > last + _SILENT_AFTER_EVENTS:
                if behavior is Behavior.FALL_SILENT:
                    await asyncio.Event().wait()
                if behavior is Behavior.BREAK_EVENT:
                    writer.write(event[:-2] if is_unframed else b"%x\r\n%b" %
                                 (len(event), event[:-2]))
                    await writer.drain()
                    reset_connection(writer)
                    raise ConnectionResetError
            writer.write(event if is_unframed else b"%x\r\n%b\r\n" %
                         (len(event), event))
            await writer.drain()
        if is_unframed:
            writer.close()
        else:
            writer.write(b"0\r\n\r\n")


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first_line, headers


def _make_head(headers, status, more=""):
    """Returns the head of a response without the blank line at its end."""
    attempt_id = headers["mustardwood-attempt-id"]
    return (f"HTTP/1.1 {status} Any\r\n"
            f"Mustardwood-Attempt-Id: {attempt_id}\r\n"
            f"Mustardwood-Replica-Signature: signed\r\n{more}").encode()


def _make_refusal(headers):
    return _make_head(headers, 503, "Mustardwood-Not-Executed: 1\r\n"
                      "Content-Length: 0\r\n") + b"\r\n"


def reset_connection(writer):
    """Resets a connection at once, unless it is closed."""
    if writer.is_closing():
        return
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET,
                                               socket.SO_LINGER, _RESET)
    writer.transport.abort()
