"""One streamed completion."""

import dataclasses
import time
import typing
import urllib.parse

import msgspec
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.python import failure

API_KEY = "path-key"
"""API key of the measurement's organisation."""

_CALL_TIMEOUT_SECONDS = 30.0
"""Bound on one call."""

_EVENT_PREFIX = b"data: "
_END_OF_STREAM = b"[DONE]"


@dataclasses.dataclass(frozen=True)
class StreamSample:
    """What one call showed.

    Attributes:
        first_token_seconds: Time from the call to the first event.
        tokens: Tokens that came.
        is_whole: Whether the end mark came after the tokens asked for.
    """

    first_token_seconds: float
    tokens: int
    is_complete: bool


class _EventCounter(protocol.Protocol):  # pylint: disable=invalid-name
    """Counts the events of one connection.

    It reads no more of the answer than that, so that the measuring process
    adds little time of its own.
    """

    def __init__(self, request: bytes) -> None:
        self.ended: defer.Deferred[None] = defer.Deferred()
        self.first_event_at = 0.0
        self.events = 0
        self.has_end_of_stream = False
        self._request = request
        self._tail = b""

    def connectionMade(self) -> None:
        """Sends the request."""
        typing.cast(typing.Any, self.transport).write(self._request)

    def dataReceived(self, data: bytes) -> None:
        """Takes a part of the answer."""
        text = self._tail + data
        self.events += text.count(_EVENT_PREFIX)
        if self.events and not self.first_event_at:
            self.first_event_at = time.perf_counter()
        self.has_end_of_stream = self.has_end_of_stream or _END_OF_STREAM in text
        self._tail = data[1 - len(_EVENT_PREFIX):]

    def connectionLost(self,
                       reason: failure.Failure = protocol.connectionDone
                      ) -> None:
        """Takes the end."""
        del reason
        self.ended.callback(None)


async def call_stream(reactor: typing.Any, url: str, attempt_id: str,
                      model: str, prompt: str, tokens: int) -> StreamSample:
    """Sends a streamed completion on a connection of its own.

    Args:
        reactor: The reactor.
        url: Base URL of an entry or of an engine.
        attempt_id: Id of the attempt, for an engine called directly.
        model: Name of the model.
        prompt: The prompt.
        tokens: Length of the answer.

    Returns:
        The sample.

    Raises:
        OSError: The connection can't be made.
        defer.TimeoutError: The answer did not end in time.
    """
    address = urllib.parse.urlsplit(url)
    counter = _EventCounter(
        _encode_request(address.netloc, attempt_id, model, prompt, tokens))
    endpoint = endpoints.TCP4ClientEndpoint(reactor, address.hostname or "",
                                            address.port or 80)
    started = time.perf_counter()
    await endpoints.connectProtocol(endpoint, counter)
    counter.ended.addTimeout(_CALL_TIMEOUT_SECONDS, reactor)
    await counter.ended
    # The event of the finish reason and the end mark carry no token.
    tokens_received = max(counter.events - 2, 0)
    is_complete = counter.has_end_of_stream and tokens_received == tokens
    return StreamSample(counter.first_event_at - started, tokens_received,
                        is_complete)


def _encode_request(host: str, attempt_id: str, model: str, prompt: str,
                    tokens: int) -> bytes:
    body = msgspec.json.encode({
        "model": model,
        "prompt": prompt,
        "stream": True,
        "max_tokens": tokens
    })
    lines = [
        "POST /v1/completions HTTP/1.1", f"host: {host}", "connection: close",
        f"authorization: Bearer {API_KEY}", "content-type: application/json",
        f"content-length: {len(body)}", f"x-request-id: {attempt_id}",
        f"x-attempt-id: {attempt_id}", "x-priority: 0", "", ""
    ]
    return "\r\n".join(lines).encode() + body
