"""Client for one streamed completion."""

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
"""API key of the benchmark's organisation."""

_CALL_TIMEOUT_SECONDS = 30.0
"""Timeout of one call."""

_EVENT_PREFIX = b"data: "
_END_OF_STREAM = b"[DONE]"


@dataclasses.dataclass(frozen=True)
class StreamSample:
    """Result of one call.

    Attributes:
        first_token_seconds: Time from the start of the call to the first
            event, in seconds.
        tokens: Number of tokens received.
        is_complete: Whether exactly the requested number of tokens and then
            the end-of-stream event were received.
    """

    first_token_seconds: float
    tokens: int
    is_complete: bool


class _EventCounter(protocol.Protocol):  # pylint: disable=invalid-name
    """Counts the server-sent events of one connection.

    It does not parse the response, so that the benchmark process adds little
    latency of its own.
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
        """Counts the events in a chunk of the response."""
        text = self._tail + data
        self.events += text.count(_EVENT_PREFIX)
        if self.events and not self.first_event_at:
            self.first_event_at = time.perf_counter()
        self.has_end_of_stream = (self.has_end_of_stream or
                                  _END_OF_STREAM in text)
        self._tail = data[1 - len(_EVENT_PREFIX):]

    def connectionLost(self,
                       reason: failure.Failure = protocol.connectionDone
                      ) -> None:
        """Reports the end of the connection."""
        del reason
        self.ended.callback(None)


async def call_stream(reactor: typing.Any, url: str, attempt_id: str,
                      model: str, prompt: str, tokens: int) -> StreamSample:
    """Sends a streamed completion on a connection of its own.

    Args:
        reactor: The Twisted reactor.
        url: Base URL of an entry or of an engine.
        attempt_id: Id of the attempt, for an engine called directly.
        model: Name of the model.
        prompt: The prompt.
        tokens: Maximum output length.

    Returns:
        The measured result of the call.

    Raises:
        OSError: The connection cannot be established.
        defer.TimeoutError: The response did not end before the timeout.
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
    # The events with the finish reason and ``[DONE]`` carry no token.
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
