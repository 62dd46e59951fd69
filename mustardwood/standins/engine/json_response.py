"""A response that is one JSON object, without streaming."""

import time
import typing

from twisted.internet import defer
from twisted.web import server

from mustardwood.standins import json_http
from mustardwood.standins.engine import event_stream


class JsonResponse:
    """Collects the tokens of one attempt and responds at its end.

    Args:
        request: The HTTP request.
        attempt_id: Id of the attempt.
        model: Name of the model.
        is_chat: Whether it is a chat completion.

    Attributes:
        done: Fires with the response body; not fired by `reset`.
    """

    def __init__(self, request: server.Request, attempt_id: str, model: str,
                 is_chat: bool) -> None:
        self.done: defer.Deferred[bytes] = defer.Deferred()
        self._request = request
        self._attempt_id = attempt_id
        self._model = model
        self._is_chat = is_chat
        self._texts: list[str] = []

    def send_token(self, event_id: str, text: str) -> None:
        """Collects one token; `event_id` is not used."""
        del event_id
        self._texts.append(text)

    def finish(self, finish_reason: str, prompt_tokens: int,
               completion_tokens: int) -> None:
        """Sends the complete response."""
        body = {
            "id": self._attempt_id,
            "object": "chat.completion" if self._is_chat else "text_completion",
            "created": int(time.time()),
            "model": self._model,
            "choices": [self._make_choice(finish_reason)],
            "usage": event_stream.make_usage(prompt_tokens, completion_tokens),
        }
        self.done.callback(json_http.make_json_response(self._request, body))

    def truncate(self) -> None:
        """Resets the connection, as no part of the response was sent yet."""
        self.reset()

    def reset(self) -> None:
        """Resets the connection."""
        json_http.reset_connection(self._request)

    def _make_choice(self, finish_reason: str) -> dict[str, typing.Any]:
        text = "".join(self._texts)
        choice: dict[str, typing.Any] = {
            "index": 0,
            "finish_reason": finish_reason,
        }
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return choice
