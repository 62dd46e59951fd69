"""A completion's HTTP request, read and checked."""

import typing
import uuid

import msgspec
from twisted.web import server

from mustardwood.standins.engine import completion_text


class ResumePoint(msgspec.Struct, frozen=True):
    """Where an answer is to go on.

    Attributes:
        text: The text so far.
        tokens: Its length in tokens.
    """

    text: str
    tokens: int


class CompletionBody(msgspec.Struct, frozen=True):
    """The fields of a completion's body that the stand-in honours."""

    model: str
    messages: list[dict[str, typing.Any]] | None = None
    prompt: str | list[str] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: dict[str, typing.Any] | None = None
    resume_from: ResumePoint | None = None


class CompletionRequest:
    """A completion asked for.

    Args:
        request: The HTTP request.
        text: Its body.
        is_chat: Whether it is a chat completion.

    Attributes:
        body: The decoded body.
        prompt: The prompt.
        request_id: Id of the request.
        attempt_id: Id of the send.
        priority: 0 is the most urgent.

    Raises:
        ValueError: The body or a header is wrong.
    """

    def __init__(self, request: server.Request, text: bytes,
                 is_chat: bool) -> None:
        self.body = msgspec.json.decode(text, type=CompletionBody)
        if (self.body.messages if is_chat else self.body.prompt) is None:
            raise ValueError("the body has no messages or prompt")
        self.prompt = completion_text.read_prompt(
            _pick_prompt(self.body, is_chat))
        made_id = f"local-{uuid.uuid4().hex}"
        self.request_id = request.getHeader("x-request-id") or made_id
        self.attempt_id = request.getHeader("x-attempt-id") or made_id
        self.priority = int(request.getHeader("x-priority") or 0)

    @property
    def max_tokens(self) -> int | None:
        """Bound on the answer's length in tokens; None for none."""
        body = self.body
        return (body.max_tokens if body.max_completion_tokens is None else
                body.max_completion_tokens)

    @property
    def is_resumed(self) -> bool:
        """Whether it goes on with an answer."""
        return self.body.resume_from is not None

    @property
    def has_usage(self) -> bool:
        """Whether the stream ends with its usage."""
        return bool((self.body.stream_options or {}).get("include_usage"))

    @property
    def finish_reason(self) -> str:
        """Reason of the answer's end."""
        return completion_text.find_finish_reason(self.body.model, self.prompt,
                                                  self.max_tokens)

    @property
    def prompt_words(self) -> tuple[str, ...]:
        """Words to prefill."""
        point = self.body.resume_from
        so_far = point.text if point is not None else ""
        return tuple(f"{self.prompt} {so_far}".split())

    def find_tokens(self) -> tuple[str, ...] | None:
        """Returns the tokens still to send; None when it can't be resumed."""
        tokens = completion_text.generate_tokens(self.body.model, self.prompt,
                                                 self.max_tokens)
        point = self.body.resume_from
        if point is None:
            return tokens
        return _drop_text(tokens, point.text)


def _pick_prompt(body: CompletionBody, is_chat: bool) -> dict[str, typing.Any]:
    if is_chat:
        return {"messages": body.messages}
    return {"prompt": body.prompt}


def _drop_text(tokens: tuple[str, ...], text: str) -> tuple[str, ...] | None:
    """Returns what follows `text`; a token that it splits is sent in part."""
    for index, token in enumerate(tokens):
        if not text:
            return tokens[index:]
        if len(text) < len(token) and token.startswith(text):
            return (token[len(text):], *tokens[index + 1:])
        if not text.startswith(token):
            return None
        text = text[len(token):]
    return None if text else ()
