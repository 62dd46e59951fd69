"""The answer of a model engine as it is put together."""

import typing

import msgspec

from mustardwood.routing import engine_event
from mustardwood.routing import response_conversion

END_MARKER = b"[DONE]"
"""Data of the end mark of a streamed answer."""


class CompletionBuffer:
    """Collects the events of one answer across its attempts.

    Attributes:
        tokens: Tokens passed on.
        prompt_tokens: Length of the prompt, as the engine counted it.
        resumable: Whether the text alone describes the answer so far.
        sent_events: Data of the events passed on, with the request's id.
        held_back_events: Data of the last events, held back until the end mark.
    """

    def __init__(self, request_id: str, *, is_chat: bool) -> None:
        self._request_id = request_id
        self._is_chat = is_chat
        self.reset()

    def reset(self) -> None:
        """Forgets everything, for a fresh run."""
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
        """The text passed on."""
        return "".join(self._text_parts)

    @property
    def total_tokens(self) -> int:
        """Tokens of the answer, with its held back end."""
        return self.sent_tokens + self._held_back_tokens

    @property
    def held_back_tokens(self) -> int:
        """Tokens of the held back end; a resume generates them again."""
        return self._held_back_tokens

    @property
    def finished(self) -> bool:
        """Whether the engine named the reason of the end."""
        return bool(self.held_back_events)

    def add_event(self, event: engine_event.EngineEvent, data: bytes) -> bytes:
        """Adds an event.

        Args:
            event: The event.
            data: Its data.

        Returns:
            The data to pass on; empty when it is held back.
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
        """Forgets the held back end of a broken attempt."""
        self.held_back_events.clear()
        self._held_back_tokens = 0
        self._attempts += 1

    def build_usage(self) -> dict[str, int]:
        """Returns the token counts in OpenAI's shape."""
        completion = self.total_tokens
        if self._attempts == 1:
            completion = max(completion, self._reported_tokens)
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion,
            "total_tokens": self.prompt_tokens + completion,
        }

    def encode_usage_event(self, model: str) -> bytes:
        """Returns the data of the event of the usage."""
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
        """Returns the answer as one JSON object."""
        events = [
            msgspec.json.decode(each)
            for each in self.sent_events + self.held_back_events
        ]
        whole = response_conversion.merge_events(events, is_chat=self._is_chat)
        whole["usage"] = self.build_usage()
        return msgspec.json.encode(whole)


def encode_sse(data: bytes) -> bytes:
    """Returns data as a server-sent event.

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
