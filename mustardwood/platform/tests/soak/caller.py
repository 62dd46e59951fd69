"""Callers that keep their connections and resume their streams."""

import asyncio
import dataclasses
import random as random_module
import time

from mustardwood.platform.tests import documents
from mustardwood.platform.tests.soak import endpoint as endpoint_module

_DEADLINE_MS = 8000
_CONNECT_SECONDS = 1.0
_LEAVING_PROBABILITY = 0.05
_STREAM_PROBABILITY = 0.7
_NEW_ROUTE_PROBABILITY = 0.5
"""Probability that a request is for the newest route, if there is one."""
_RETRY_SECONDS = 0.05
_MIN_PATIENCE_SECONDS, _MAX_PATIENCE_SECONDS = 0.6, 2.5
"""Time without an event after which a caller resumes its stream elsewhere."""
_MAX_RETRY_AFTER_SECONDS = 1.0
_MAX_REPETITIONS = 4
"""Number of times that a caller sends a refused request again."""
_NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


@dataclasses.dataclass
class Outcome:
    """What a caller has seen of one request.

    Attributes:
        attempt_id: Id of the request.
        stream_id: Id of the request whose stream it begins or resumes.
        path: Path of the request.
        vm: Name of the VM.
        sent_at: Monotonic time in seconds.
        last_id: Id of the last event that the caller had before.
        status: Status of the response; 0 if none was received.
        event_ids: Ids of the events that were received, in order.
        is_complete: Whether the response was received whole.
        has_left: Whether the caller closed the connection before the end.
        ended_at: Monotonic time at which the response or connection ended.
        route_since: Monotonic time at which the store has acknowledged the
            route, if it was added in the run; None for the other routes.
    """

    attempt_id: str
    stream_id: str
    path: str
    vm: str
    sent_at: float
    last_id: int = 0
    status: int = 0
    event_ids: list = dataclasses.field(default_factory=list)
    is_complete: bool = False
    has_left: bool = False
    ended_at: float = 0.0
    route_since: float | None = None


class Caller:
    """A caller that sends one request after the other.

    Attributes:
        outcomes: What it has seen of its requests.
    """

    def __init__(self,
                 name,
                 vms,
                 random,
                 ports=None,
                 is_impatient=False,
                 is_repeating=False,
                 changes=None):
        """Creates a caller; `call_until` starts it.

        Args:
            name: Prefix of its requests' ids.
            vms: The VMs that it may call.
            random: Source of random numbers.
            ports: Ports of the links to VMs by their names, if there are any.
            is_impatient: Whether it resumes silent streams elsewhere.
            is_repeating: Whether it sends refused requests again at once, under
                the same id.
            changes: The changes of the configuration; see
                `route_changes.RouteChanges`.
        """
        self._changes = changes
        self._choice = random_module.Random(f"{name} routes")
        self._ports = ports or {}
        # The other draws of a seed stay as they were.
        self._patience = random_module.Random(name) if is_impatient else None
        self._is_repeating = is_repeating
        self.outcomes = []
        self._name = name
        self._vms = vms
        self._random = random
        self._vm = None
        self._reader = None
        self._writer = None

    async def call_until(self, ends_at):
        """Sends requests until a monotonic time in seconds."""
        while time.monotonic() < ends_at:
            if (self._changes is not None and self._changes.path and
                    self._choice.random() < _NEW_ROUTE_PROBABILITY):
                await self._call(self._changes.path,
                                 route_since=self._changes.acknowledged_at)
                continue
            is_stream = self._random.random() < _STREAM_PROBABILITY
            path = "/stream/" if is_stream else "/post/"
            outcome = await self._call(path)
            while (is_stream and not outcome.is_complete and
                   not outcome.has_left and outcome.event_ids and
                   time.monotonic() < ends_at):
                outcome = await self._call(path, outcome)
        self._close()

    async def _call(self, path, resumed=None, route_since=None):
        """Sends a request, and again if it is refused and the caller repeats.

        Args:
            path: Path of the request.
            resumed: Outcome of the request whose stream it resumes, if any.
            route_since: See `Outcome`.
        """
        attempt_id = f"{self._name}-{len(self.outcomes) + 1}"
        outcome = await self._send(attempt_id, path, resumed, route_since)
        for _ in range(_MAX_REPETITIONS if self._is_repeating else 0):
            if outcome.status not in _NOT_RUN_STATUSES:
                break
            outcome = await self._send(attempt_id, path, resumed, route_since)
        return outcome

    async def _send(self, attempt_id, path, resumed, route_since):
        outcome = Outcome(attempt_id,
                          resumed.stream_id if resumed else attempt_id, path,
                          "", time.monotonic())
        outcome.route_since = route_since
        self.outcomes.append(outcome)
        more, body = "", outcome.stream_id
        if resumed is not None:
            outcome.last_id = resumed.event_ids[-1]
            outcome.event_ids.append(outcome.last_id)
            more = (f"Last-Event-Id: {outcome.last_id}\r\n"
                    f"Resumes: {outcome.stream_id}\r\n")
        try:
            await self._connect()
            outcome.vm, outcome.sent_at = self._vm.name, time.monotonic()
            self._writer.write(
                (f"POST {path} HTTP/1.1\r\nHost: {documents.HOST}\r\n"
                 f"Mustardwood-Attempt-Id: {attempt_id}\r\n"
                 f"Mustardwood-Deadline-Ms: {_DEADLINE_MS}\r\n"
                 "Authorization: Bearer key-1\r\n"
                 f"{more}Content-Length: {len(body)}\r\n\r\n{body}").encode())
            await asyncio.wait_for(self._read(outcome), _DEADLINE_MS / 1000 + 1)
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.TimeoutError):
            self._close()
            await asyncio.sleep(_RETRY_SECONDS)
        outcome.ended_at = time.monotonic()
        return outcome

    async def _connect(self):
        if self._writer is not None:
            return
        self._vm = self._random.choice(
            [each for each in self._vms if each.is_in_service] or self._vms)
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(
                "127.0.0.1", self._ports.get(self._vm.name, self._vm.callers)),
            _CONNECT_SECONDS)

    async def _read(self, outcome):
        head = await endpoint_module.read_head(self._reader)
        if head is None:
            raise ConnectionResetError
        first_line, headers = head
        outcome.status = int(first_line.split(" ")[1])
        if headers.get("transfer-encoding") == "chunked":
            await self._read_events(outcome)
        else:
            await self._reader.readexactly(int(headers["content-length"]))
            outcome.is_complete = True
        if headers.get("connection") == "close":
            self._close()
        if "retry-after" in headers and not self._is_repeating:
            self._close()
            await asyncio.sleep(
                min(float(headers["retry-after"]), _MAX_RETRY_AFTER_SECONDS))

    async def _read_events(self, outcome):
        leaves = self._random.random() < _LEAVING_PROBABILITY
        patience = None
        if self._patience is not None:
            patience = self._patience.uniform(_MIN_PATIENCE_SECONDS,
                                              _MAX_PATIENCE_SECONDS)
        text = b""
        while size := int((await
                           asyncio.wait_for(self._reader.readuntil(b"\r\n"),
                                            patience))[:-2], 16):
            text += (await self._reader.readexactly(size + 2))[:-2]
            *events, text = text.split(b"\n\n")
            outcome.event_ids += [
                int(each.partition(b"\n")[0][4:]) for each in events
            ]
            if leaves:
                outcome.has_left = True
                self._close()
                return
        await self._reader.readexactly(2)
        outcome.is_complete = True

    def _close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None
