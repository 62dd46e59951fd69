"""A streamed response: server-sent events."""

import json
import time
import typing

from twisted.internet import defer
from twisted.web import server

from mustardwood.standins import json_http


class EventStream:
    """Writes the events of one attempt to an HTTP response.

    Args:
        request: The HTTP request.
        attempt_id: Id of the attempt.
        model: Name of the model.
        is_chat: Whether it is a chat completion.
        has_usage: Whether the stream is to end with an event with the usage.

    Attributes:
        done: Fires when the response has ended; not fired by `reset`.
    """

    def __init__(self, request: server.Request, attempt_id: str, model: str,
                 is_chat: bool, has_usage: bool) -> None:
        self.done: defer.Deferred[bytes] = defer.Deferred()
        self._request = request
        self._attempt_id = attempt_id
        self._is_chat = is_chat
        self._has_usage = has_usage
        self._common_fields = {
            "object": "chat.completion.chunk" if is_chat else "text_completion",
            "created": int(time.time()),
            "model": model,
        }
        self._is_first = True

    def send_token(self, event_id: str, text: str) -> None:
        """Sends one token in an event with the id `event_id`."""
        if self._is_first:
            self._is_first = False
            self._request.setHeader("content-type", "text/event-stream")
        self._send(event_id, [self._make_choice(text, None)])

    def finish(self, finish_reason: str, prompt_tokens: int,
               completion_tokens: int) -> None:
        """Sends the finish reason, the usage if asked for, and the end mark."""
        self._send(self._attempt_id, [self._make_choice("", finish_reason)], 0)
        if self._has_usage:
            usage = make_usage(prompt_tokens, completion_tokens)
            self._write({
                "id": self._attempt_id,
                **self._common_fields, "choices": [],
                "tokens": 0,
                "usage": usage
            })
        self._request.write(b"data: [DONE]\n\n")
        self.done.callback(b"")

    def truncate(self) -> None:
        """Ends the response without finish reason and end mark."""
        self.done.callback(b"")

    def reset(self) -> None:
        """Resets the connection."""
        json_http.reset_connection(self._request)

    def _make_choice(self, text: str,
                     finish_reason: str | None) -> dict[str, typing.Any]:
        choice: dict[str, typing.Any] = {
            "index": 0,
            "finish_reason": finish_reason,
        }
        if self._is_chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        return choice

    def _send(self,
              event_id: str,
              choices: list[dict[str, typing.Any]],
              tokens: int = 1) -> None:
        self._write({
            "id": event_id,
            **self._common_fields, "choices": choices,
            "tokens": tokens
        })

    def _write(self, event: dict[str, typing.Any]) -> None:
        self._request.write(b"data: " + json.dumps(event).encode() + b"\n\n")


def make_usage(prompt_tokens: int, completion_tokens: int) -> dict[str, int]:
    """Returns the ``usage`` object of a response."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    }
