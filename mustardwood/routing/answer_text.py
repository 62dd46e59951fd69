"""The answer of a model engine as it is put together."""

import typing

import msgspec

from mustardwood.routing import engine_event
from mustardwood.routing import merging

DONE = b"[DONE]"
"""Data of the end mark of a streamed answer."""


class AnswerText:
    """Collects the events of one answer across its attempts.

    Attributes:
        tokens: Tokens passed on.
        prompt_tokens: Length of the prompt, as the engine counted it.
        resumable: Whether the text alone describes the answer so far.
        lines: Data of the events passed on, with the request's id.
        tail: Data of the last events, held back until the end mark.
    """

    def __init__(self, request_id: str, *, chat: bool) -> None:
        self._request_id = request_id
        self._chat = chat
        self.clear()

    def clear(self) -> None:
        """Forgets everything, for a fresh run."""
        self.tokens = 0
        self.prompt_tokens = 0
        self.resumable = True
        self.lines: list[bytes] = []
        self.tail: list[bytes] = []
        self._parts: list[str] = []
        self._tail_tokens = 0
        self._reported_tokens = 0
        self._attempts = 1

    @property
    def text(self) -> str:
        """The text passed on."""
        return "".join(self._parts)

    @property
    def total_tokens(self) -> int:
        """Tokens of the answer, with its held back end."""
        return self.tokens + self._tail_tokens

    @property
    def held_back_tokens(self) -> int:
        """Tokens of the held back end; a resume generates them again."""
        return self._tail_tokens

    @property
    def finished(self) -> bool:
        """Whether the engine named the reason of the end."""
        return bool(self.tail)

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
        own = _replace_id(data, event.id, self._request_id)
        tokens = event.token_count
        if event.finished or self.tail:
            self.tail.append(own)
            self._tail_tokens += tokens
            return b""
        text = event.text
        if text:
            self._parts.append(text)
        self.tokens += tokens
        self.resumable = self.resumable and event.resumable
        self.lines.append(own)
        return own

    def begin_resume(self) -> None:
        """Forgets the held back end of a broken attempt."""
        self.tail.clear()
        self._tail_tokens = 0
        self._attempts += 1

    def make_usage(self) -> dict[str, int]:
        """Returns the token counts in OpenAI's shape."""
        completion = self.total_tokens
        if self._attempts == 1:
            completion = max(completion, self._reported_tokens)
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion,
            "total_tokens": self.prompt_tokens + completion,
        }

    def encode_usage(self, model: str) -> bytes:
        """Returns the data of the event of the usage."""
        return msgspec.json.encode({
            "id":
                self._request_id,
            "object":
                "chat.completion.chunk" if self._chat else "text_completion",
            "created":
                0,
            "model":
                model,
            "choices": [],
            "usage":
                self.make_usage(),
        })

    def encode_whole(self) -> bytes:
        """Returns the answer as one JSON object."""
        events = [msgspec.json.decode(each) for each in self.lines + self.tail]
        whole = merging.merge_events(events, chat=self._chat)
        whole["usage"] = self.make_usage()
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
