"""Buffer for the streamed response of a model engine."""

import typing

import msgspec

from mustardwood.routing import engine_event
from mustardwood.routing import response_conversion

END_MARKER = b"[DONE]"
"""Data of the server-sent event that ends a streamed completion."""


class CompletionBuffer:
    """Collects the events of one completion across all attempts.

    Events from the finish reason on are held back until the end marker has
    come, so that callers never see the end of an incomplete completion.

    Attributes:
        sent_tokens: Number of tokens in `sent_events`.
        prompt_tokens: Number of prompt tokens reported by the engine; 0 before
            the report.
        resumable: Whether the text alone is enough to resume the response; an
            event with tool calls makes this false.
        sent_events: Data of the events released for callers, in order; their
            id is the request's id instead of the attempt's.
        held_back_events: Data of the events held back until the end marker.
    """

    def __init__(self, request_id: str, *, is_chat: bool) -> None:
        self._request_id = request_id
        self._is_chat = is_chat
        self.reset()

    def reset(self) -> None:
        """Discards all content, so that the completion can start over."""
        self.sent_tokens = 0
        self.prompt_tokens = 0
        self.resumable = True
        self.sent_events: list[bytes] = []
        self.held_back_events: list[bytes] = []
        self._text_parts: list[str] = []
        self._held_back_tokens = 0
        self._reported_tokens = 0
        self._attempts = 1

    @property
    def text(self) -> str:
        """The text of `sent_events`."""
        return "".join(self._text_parts)

    @property
    def total_tokens(self) -> int:
        """The number of tokens, those held back included."""
        return self.sent_tokens + self._held_back_tokens

    @property
    def held_back_tokens(self) -> int:
        """The number of tokens held back.

        A resumed attempt generates them again.
        """
        return self._held_back_tokens

    @property
    def finished(self) -> bool:
        """Whether an event with a finish reason has come."""
        return bool(self.held_back_events)

    def add_event(self, event: engine_event.EngineEvent, data: bytes) -> bytes:
        """Adds an event.

        Args:
            event: The decoded event.
            data: The encoded event.

        Returns:
            The encoded event with the request's id, to be sent to callers;
            empty for a usage event and for an event that is held back.
        """
        if event.usage is not None and not event.choices:
            self.prompt_tokens = event.usage.prompt_tokens
            self._reported_tokens = event.usage.completion_tokens
            return b""
        rewritten = _replace_id(data, event.id, self._request_id)
        tokens = event.token_count
        if event.finished or self.held_back_events:
            self.held_back_events.append(rewritten)
            self._held_back_tokens += tokens
            return b""
        text = event.text
        if text:
            self._text_parts.append(text)
        self.sent_tokens += tokens
        self.resumable = self.resumable and event.resumable
        self.sent_events.append(rewritten)
        return rewritten

    def prepare_resume(self) -> None:
        """Discards the held-back events, so that another attempt can resume."""
        self.held_back_events.clear()
        self._held_back_tokens = 0
        self._attempts += 1

    def build_usage(self) -> dict[str, int]:
        """Returns the token counts in the format of the OpenAI API.

        Of a single attempt, the engine's reported count is used if it is the
        larger one. After a resume that count covers only the last attempt.
        """
        completion = self.total_tokens
        if self._attempts == 1:
            completion = max(completion, self._reported_tokens)
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion,
            "total_tokens": self.prompt_tokens + completion,
        }

    def encode_usage_event(self, model: str) -> bytes:
        """Returns the encoded usage event, which ends the stream on request."""
        return msgspec.json.encode({
            "id":
                self._request_id,
            "object":
                "chat.completion.chunk" if self._is_chat else "text_completion",
            "created":
                0,
            "model":
                model,
            "choices": [],
            "usage":
                self.build_usage(),
        })

    def encode_response(self) -> bytes:
        """Returns the whole completion as one JSON object."""
        events = [
            msgspec.json.decode(each)
            for each in self.sent_events + self.held_back_events
        ]
        response = response_conversion.merge_events(events,
                                                    is_chat=self._is_chat)
        response["usage"] = self.build_usage()
        return msgspec.json.encode(response)


def encode_sse(data: bytes) -> bytes:
    """Encodes data as a server-sent event.

    Examples:
        >>> encode_sse(b"[DONE]")
        b'data: [DONE]\\n\\n'
    """
    return b"data: " + data + b"\n\n"


def _replace_id(data: bytes, old: str, new: str) -> bytes:
    encoded = old.encode()
    if data.count(encoded) == 1:
        return data.replace(encoded, new.encode())
    fields: dict[str, typing.Any] = msgspec.json.decode(data)
    fields["id"] = new
    return msgspec.json.encode(fields)
