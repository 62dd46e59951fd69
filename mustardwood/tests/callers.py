"""Callers, configurations and fleets for tests with real processes."""

import collections
import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import hashlib
import http.client
import json
import pathlib
import time
import typing
import urllib.parse

import msgspec

from mustardwood import configuration
from mustardwood.standins import fleet as fleet_module
from mustardwood.standins.engine import completion_text
from mustardwood.standins.fleet import address_plan
from mustardwood.standins.fleet import http_calls

MODEL = "small"
"""Name of the model that the engines serve."""

SERVICE = "register"
"""Name of the service that is not a language model."""

API_KEY = "tatra-key"
"""The API key of the only organisation."""

SERVICE_BODY = '{"disposal": "asset 17"}'
"""Body of a service call."""

_ZONES = ("zone-a", "zone-b", "zone-c")
_REPLY_TIMEOUT_SECONDS = 45.0
"""Maximum time without data on a connection to an entry."""

_MAX_PARALLEL_STARTS = 4
"""Maximum number of child processes that start at the same time."""

_POLL_INTERVAL_SECONDS = 0.05
_WAIT_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(frozen=True)
class Reply:
    """The response that a caller received.

    Attributes:
        status: HTTP status; 0 if the connection was lost before it.
        headers: Headers by name in lower case.
        body: The part of the body that was received.
        is_truncated: Whether the connection was lost before the end of the
            body.
    """

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_truncated: bool = False

    @property
    def events(self) -> list[str]:
        """Data of the server-sent events."""
        parts = self.body.decode().split("\n\n")
        return [part.removeprefix("data: ") for part in parts if part]

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of server-sent events."""
        return self.headers.get("content-type") == "text/event-stream"

    @property
    def is_marked_complete(self) -> bool:
        """Whether the response indicates in any way that it is complete.

        A stream does so by a finish reason or ``[DONE]``, any other response
        by its status and full length.
        """
        if self.is_stream:
            return "[DONE]" in self.events or any(
                choice.get("finish_reason")
                for event in self._read_events()
                for choice in event.get("choices", ()))
        return self.status == http.HTTPStatus.OK and not self.is_truncated

    @property
    def error(self) -> dict[str, typing.Any]:
        """The error object; empty if there is none."""
        if not self.is_stream:
            is_error = self.status >= http.HTTPStatus.BAD_REQUEST
            return json.loads(self.body)["error"] if is_error else {}
        found = [each["error"] for each in self._read_events()
                 if "error" in each]  # yapf: disable
        return found[-1] if found else {}

    @property
    def text(self) -> str:
        """The part of the completion's text that was received."""
        if not self.is_stream:
            choices = json.loads(self.body).get("choices", ())
            return "".join(_read_choice(each) for each in choices)
        return "".join(
            _read_choice(choice)
            for event in self._read_events()
            for choice in event.get("choices", ()))

    def _read_events(self) -> list[dict[str, typing.Any]]:
        return [json.loads(each) for each in self.events if each != "[DONE]"]


@dataclasses.dataclass(frozen=True)
class Completion:
    """A completion request with its expected text.

    Attributes:
        prompt: The prompt.
        stream: Whether the response is streamed.
        request_class: Name of the request class.
    """

    prompt: str
    stream: bool = True
    request_class: str = "question"

    @property
    def expected(self) -> str:
        """The complete text that an engine generates for the prompt."""
        return completion_text.generate_text(MODEL, f"user: {self.prompt}",
                                             None)

    def send(self, url: str) -> Reply:
        """Sends the request to an entry and returns the response."""
        body = {
            "model": MODEL,
            "messages": [{
                "role": "user",
                "content": self.prompt
            }],
            "stream": self.stream,
        }
        headers = {"x-request-class": self.request_class}
        return post(url, "/v1/chat/completions", json.dumps(body), headers)


def make_completion(name: str, min_tokens: int = 12, **fields: typing.Any
                   ) -> Completion:  # yapf: disable
    """Returns a request for a completion of at least `min_tokens` tokens.

    Its length is at most four times the minimum. The name starts the prompt.
    """
    for number in range(1000):
        completion = Completion(f"{name} {number}", **fields)
        tokens = completion_text.generate_tokens(MODEL,
                                                 f"user: {completion.prompt}",
                                                 None)
        if min_tokens <= len(tokens) <= 4 * min_tokens:
            return completion
    raise ValueError("no prompt with this name has a completion of that "
                     "length; use another name or length")


def post(url: str, path: str, body: str, headers: dict[str, str]) -> Reply:
    """Posts to an entry and returns the response, complete or not."""
    host = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(host.hostname or "",
                                            host.port,
                                            timeout=_REPLY_TIMEOUT_SECONDS)
    sent = {
        "authorization": f"Bearer {API_KEY}",
        "content-type": "application/json",
        **headers
    }
    try:
        connection.request("POST", path, body.encode(), sent)
        response = connection.getresponse()
    except (OSError, http.client.HTTPException):
        connection.close()
        return Reply(0, is_truncated=True)
    try:
        return _read_reply(response)
    finally:
        connection.close()


def call_service(url: str,
                 key: str = "",
                 body: str = SERVICE_BODY,
                 request_class: str = "posting") -> Reply:
    """Calls the service through an entry, with an optional idempotency key."""
    headers = {"x-request-class": request_class}
    if key:
        headers["idempotency-key"] = key
    return post(url, f"/services/{SERVICE}/disposals", body, headers)


def run_concurrently(
    calls: collections.abc.Sequence[collections.abc.Callable[[], Reply]]
) -> list[Reply]:
    """Makes calls concurrently and returns their replies in order."""
    with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
        return [each.result() for each in [pool.submit(call) for call in calls]]


@contextlib.contextmanager
def run_in_background(
    call: collections.abc.Callable[[], Reply]
) -> collections.abc.Iterator[concurrent.futures.Future[Reply]]:
    """Makes a call while the block runs, and waits for it to end."""
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        yield pool.submit(call)


def wait_until(condition: collections.abc.Callable[[], bool],
               description: str,
               seconds: float = _WAIT_TIMEOUT_SECONDS) -> None:
    """Polls a condition; fails if it does not hold before the timeout."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, f"timed out waiting until {description}"
        time.sleep(_POLL_INTERVAL_SECONDS)


def make_document(network: str,
                  engines: int = 0,
                  services: int = 0,
                  concurrency: int = 16) -> configuration.Document:
    """Returns a configuration for the stand-ins on a network."""
    plan = address_plan.AddressPlan(network)
    endpoints = [
        _make_endpoint(f"engine-{number}", MODEL,
                       f"http://{plan.find_engine(number)}:8000", concurrency)
        for number in range(1, engines + 1)
    ]
    endpoints += [
        _make_endpoint(f"service-{number}", SERVICE,
                       f"http://{plan.find_service(number)}:8001", concurrency)
        for number in range(1, services + 1)
    ]
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    return configuration.Document(
        classes=_make_classes(),
        default_class="question",
        organisations=(configuration.Organisation("tatra", (digest,)),),
        models=(configuration.Model(MODEL),),
        services=(configuration.Service(SERVICE, "posting"),),
        endpoints=tuple(endpoints))


def read_faults(fleet: fleet_module.Fleet, name: str) -> dict[str, typing.Any]:
    """Returns the faults that are set at a stand-in."""
    return http_calls.fetch_json(f"{fleet.children[name].url}/switch", {})


def count_runs_by_request(
        fleet: fleet_module.Fleet) -> collections.Counter[str]:
    """Returns how often each request ran on all endpoints, by request id."""
    names = [
        name for name, child in fleet.children.items()
        if name.startswith(("engine", "service")) and child.is_running
    ]
    return collections.Counter(each["request_id"]
                               for name in names
                               for each in fleet.read_json(name, "/log"))


def check_run_states(fleet: fleet_module.Fleet,
                     replies: collections.abc.Iterable[Reply]) -> None:
    """Checks that no request that ran on an endpoint was answered `not_run`."""
    run = count_runs_by_request(fleet)
    for reply in replies:
        if reply.error.get("ran") == "not_run":
            assert reply.error["request_id"] not in run, reply


def write_document(fleet: fleet_module.Fleet, name: str,
                   document: configuration.Document) -> pathlib.Path:
    """Writes a configuration into the fleet's folder and returns the path."""
    path = fleet.folder / f"{name}.jsonc"
    path.write_bytes(msgspec.json.encode(document))
    return path


@contextlib.contextmanager
def run_fleet(
        network: str,
        vms: int = 2,
        engines: int = 0,
        services: int = 0,
        concurrency: int = 16) -> collections.abc.Iterator[fleet_module.Fleet]:
    """Runs a fleet and applies a configuration for its endpoints."""
    with fleet_module.Fleet(network) as fleet:
        fleet.start_platform()
        with concurrent.futures.ThreadPoolExecutor(
                _MAX_PARALLEL_STARTS) as pool:
            starts = [
                pool.submit(fleet.start_vm, number,
                            _ZONES[(number - 1) % len(_ZONES)])
                for number in range(1, vms + 1)
            ]
            starts += [
                pool.submit(fleet.start_engine, number, MODEL,
                            "--base-step-seconds", "0.01")
                for number in range(1, engines + 1)
            ]
            starts += [
                pool.submit(fleet.start_service, number)
                for number in range(1, services + 1)
            ]
        for each in starts:
            each.result()
        document = make_document(network, engines, services, concurrency)
        fleet.apply(write_document(fleet, "document", document))
        yield fleet


def _make_classes() -> tuple[configuration.RequestClass, ...]:
    return (
        configuration.RequestClass("question", 0, 1.0),
        configuration.RequestClass("once", 1, 1.0, idempotent=False),
        configuration.RequestClass("short",
                                   1,
                                   1.0,
                                   deadline_seconds=2.0,
                                   idempotent=False),
        configuration.RequestClass("crowded", 2, 1.0, queue_limit=1),
        configuration.RequestClass("posting", 0, 1.0, idempotent=False),
        configuration.RequestClass("posting-short",
                                   0,
                                   1.0,
                                   deadline_seconds=2.0,
                                   idempotent=False),
    )


def _make_endpoint(name: str, serves: str, url: str,
                   concurrency: int) -> configuration.Endpoint:
    return configuration.Endpoint(name,
                                  serves,
                                  url,
                                  _ZONES[0],
                                  "region-a",
                                  concurrency=concurrency)


def _read_reply(response: http.client.HTTPResponse) -> Reply:
    headers = {name.lower(): value for name, value in response.getheaders()}
    body = bytearray()
    try:
        while part := response.read1(65536):
            body += part
    except (OSError, http.client.HTTPException):
        return Reply(response.status, headers, bytes(body), is_truncated=True)
    content_length = int(headers.get("content-length", len(body)))
    return Reply(response.status,
                 headers,
                 bytes(body),
                 is_truncated=len(body) < content_length)


def _read_choice(choice: dict[str, typing.Any]) -> str:
    message = choice.get("delta") or choice.get("message") or {}
    return message.get("content") or choice.get("text") or ""
