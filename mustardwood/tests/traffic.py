"""Callers that run in threads, for tests with real processes."""

import collections.abc
import dataclasses
import http.client
import itertools
import json
import threading
import time
import typing
import urllib.parse

from mustardwood.standins.engine import completion_text

MODEL = "small"
"""Name of the model that the engines serve."""

_KEY = "demo-tatra"
_READ_TIMEOUT_SECONDS = 30.0
"""Timeout of each read from a connection."""
_POLL_INTERVAL_SECONDS = 0.05
_WAIT_TIMEOUT_SECONDS = 30.0
"""Default timeout of `wait_until`."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """The response that a caller received.

    Attributes:
        prompt: Prompt of the request.
        url: URL of the VM that received the request.
        started_at: Monotonic time at which the request was sent, in seconds.
        ended_at: Monotonic time at which the response ended, in seconds.
        status: HTTP status; 0 if the connection was lost before it.
        text: Text of the completion.
        is_complete: Whether the finish reason and ``[DONE]`` were received.
        is_text_expected: Whether the text is the engine's complete output for
            the prompt.
        ran: Field ``ran`` of an error.
        code: Field ``code`` of an error.
        retry_after: Header ``Retry-After``, in seconds.
        connection_error: Error of the connection; empty if there was none.
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
        """Whether it is the complete response to its own request."""
        return self.status == 200 and self.is_complete and self.is_text_expected


def send(url: str,
         prompt: str,
         max_tokens: int | None = None,
         request_class: str = "question") -> Reply:
    """Sends a streamed completion and reads the response to its end.

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
    expected = completion_text.generate_text(MODEL, prompt, max_tokens)
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
    """Concurrent callers that each send one request after another.

    Like a load balancer, a caller tries the next VM if nothing listens at the
    first. The end of the context manager's block stops the callers and waits
    for their replies.

    Args:
        urls: URLs for callers of the VMs.
        callers: Number of concurrent callers.
        max_tokens: Maximum output length.
        name: Start of the prompts.

    Attributes:
        replies: All replies, in order of their end.
        thread_errors: Exceptions in the callers' threads.
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
        """Waits until `count` more replies have been received."""
        wanted = len(self.replies) + count
        wait_until(lambda: len(self.replies) >= wanted)

    def list_failed(self) -> list[Reply | BaseException]:
        """Returns the replies that are not correct, and the thread errors."""
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
        raise RuntimeError("no VM accepts connections of callers")


def start_thread(call: collections.abc.Callable[..., typing.Any], *arguments:
                 typing.Any) -> threading.Thread:
    """Starts a call in a new thread and returns the thread."""
    thread = threading.Thread(target=call, args=arguments)
    thread.start()
    return thread


def wait_until(condition: collections.abc.Callable[[], bool],
               seconds: float = _WAIT_TIMEOUT_SECONDS) -> None:
    """Polls a condition; fails if it does not hold before the timeout."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic(
        ) < end, "condition did not hold before the timeout"
        time.sleep(_POLL_INTERVAL_SECONDS)
