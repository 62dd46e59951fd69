"""Callers in threads, for tests with real processes."""

import collections.abc
import dataclasses
import http.client
import itertools
import json
import threading
import time
import typing
import urllib.parse

from mustardwood.standins.engine import answer_text

MODEL = "small"
"""Model that the engines serve."""

_KEY = "demo-tatra"
_READ_TIMEOUT_SECONDS = 30.0
"""Bound on each read of an answer, in seconds."""
_POLL_INTERVAL_SECONDS = 0.05
_WAIT_TIMEOUT_SECONDS = 30.0
"""Bound on `wait_until`."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """What a caller got.

    Attributes:
        prompt: Its prompt.
        url: VM that it was sent to.
        began: Monotonic time of the send, in seconds.
        ended: Monotonic time of the end.
        status: HTTP status; 0 when the connection broke before it.
        text: Text of the answer.
        is_whole: Whether the finish reason and the end mark came.
        is_right: Whether the text is the engine's whole answer.
        ran: Field ``ran`` of an error.
        code: Field ``code`` of an error.
        retry_after: Header ``Retry-After``, in seconds.
        problem: How the connection broke; empty when it did not.
    """

    prompt: str
    url: str
    started_at: float
    ended_at: float
    status: int = 0
    text: str = ""
    is_complete: bool = False
    is_text_expected: bool = False
    ran: str = ""
    code: str = ""
    retry_after: int | None = None
    connection_error: str = ""

    @property
    def is_correct(self) -> bool:
        """Whether it is the whole answer to its own request."""
        return self.status == 200 and self.is_complete and self.is_text_expected


def send(url: str,
         prompt: str,
         max_tokens: int | None = None,
         request_class: str = "question") -> Reply:
    """Sends a streamed completion and reads the answer to its end.

    Raises:
        ConnectionRefusedError: Nothing listens at the URL.
    """
    address = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(address.hostname or "",
                                            address.port,
                                            timeout=_READ_TIMEOUT_SECONDS)
    started_at = time.monotonic()
    connection.connect()
    try:
        fields = _exchange(connection, prompt, max_tokens, request_class)
    except (OSError, http.client.HTTPException, ValueError) as error:
        fields = {"connection_error": repr(error)}
    finally:
        connection.close()
    return Reply(prompt, url, started_at, time.monotonic(), **fields)


def _exchange(connection: http.client.HTTPConnection, prompt: str,
              max_tokens: int | None,
              request_class: str) -> dict[str, typing.Any]:
    body: dict[str, typing.Any] = {
        "model": MODEL,
        "prompt": prompt,
        "stream": True
    }
    if max_tokens is not None:
        body["max_tokens"] = max_tokens
    headers = {
        "authorization": f"Bearer {_KEY}",
        "content-type": "application/json",
        "x-request-class": request_class
    }
    connection.request("POST", "/v1/completions", json.dumps(body), headers)
    response = connection.getresponse()
    data = response.read()
    if response.status != 200:
        error = json.loads(data)["error"]
        wait = response.getheader("retry-after")
        return {
            "status": response.status,
            "ran": error["ran"],
            "code": error["code"],
            "retry_after": None if wait is None else int(wait)
        }
    expected = answer_text.expected_text(MODEL, prompt, max_tokens)
    return _read_stream(data, expected)


def _read_stream(data: bytes, expected: str) -> dict[str, typing.Any]:
    text, is_finished, is_done = "", False, False
    error: dict[str, str] = {}
    for line in data.split(b"\n"):
        if line == b"data: [DONE]":
            is_done = True
        elif line.startswith(b"data: "):
            event = json.loads(line.removeprefix(b"data: "))
            error = event.get("error", error)
            for choice in event.get("choices", []):
                text += choice.get("text") or ""
                is_finished = is_finished or bool(choice.get("finish_reason"))
    return {
        "status": 200,
        "text": text,
        "is_complete": is_finished and is_done and not error,
        "is_text_expected": text == expected,
        "ran": error.get("ran", ""),
        "code": error.get("code", "")
    }


class Traffic:
    """Callers that send one request after another, as behind a balancer.

    A caller goes on to the next VM when nothing listens at the first. A context
    manager: the block's end stops the callers and waits for their answers.

    Args:
        urls: Callers' HTTP of the VMs.
        callers: Number of callers at once.
        max_tokens: Longest answer.
        name: Start of the prompts.

    Attributes:
        replies: All replies, by time of their end.
        failures: Errors of the callers themselves.
    """

    def __init__(self,
                 urls: collections.abc.Sequence[str],
                 callers: int,
                 max_tokens: int | None = 40,
                 name: str = "load") -> None:
        self.replies: list[Reply] = []
        self.thread_errors: list[BaseException] = []
        self._urls = urls
        self._max_tokens = max_tokens
        self._name = name
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(callers)
        ]

    def __enter__(self) -> typing.Self:
        for each in self._threads:
            each.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        for each in self._threads:
            each.join()

    def wait_for(self, count: int) -> None:
        """Waits until this many more replies have come."""
        wanted = len(self.replies) + count
        wait_until(lambda: len(self.replies) >= wanted)

    def list_failed(self) -> list[Reply | BaseException]:
        """Returns what is not the whole answer to its own request."""
        failed = [each for each in self.replies if not each.is_correct]
        return [*failed, *self.thread_errors]

    def _run(self, number: int) -> None:
        try:
            while not self._stopping.is_set():
                self._send_next(number)
        except Exception as error:  # pylint: disable=broad-exception-caught
            self.thread_errors.append(error)

    def _send_next(self, number: int) -> None:
        prompt = f"{self._name} {next(self._numbers)}"
        for turn in range(len(self._urls)):
            url = self._urls[(number + turn) % len(self._urls)]
            try:
                self.replies.append(send(url, prompt, self._max_tokens))
                return
            except ConnectionRefusedError:
                continue
        raise RuntimeError("no VM takes callers")


def start_thread(call: collections.abc.Callable[..., typing.Any], *arguments:
                 typing.Any) -> threading.Thread:
    """Starts a call in a thread of its own, and returns the thread."""
    thread = threading.Thread(target=call, args=arguments)
    thread.start()
    return thread


def wait_until(condition: collections.abc.Callable[[], bool],
               seconds: float = _WAIT_TIMEOUT_SECONDS) -> None:
    """Polls until something is so; fails when it is not in time."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "did not come to be in time"
        time.sleep(_POLL_INTERVAL_SECONDS)
