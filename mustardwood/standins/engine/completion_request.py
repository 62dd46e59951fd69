"""Decodes and checks the HTTP request of a completion."""

import typing
import uuid

import msgspec
from twisted.web import server

from mustardwood.standins.engine import completion_text


class ResumePoint(msgspec.Struct, frozen=True):
    """The part of an answer that was received before the stream broke off.

    Attributes:
        text: Text after which the stream is to continue.
        tokens: Length of the text in tokens.
    """

    text: str
    tokens: int


class CompletionBody(msgspec.Struct, frozen=True):
    """The fields of a completion's body that the stand-in evaluates."""

    model: str
    messages: list[dict[str, typing.Any]] | None = None
    prompt: str | list[str] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: dict[str, typing.Any] | None = None
    resume_from: ResumePoint | None = None


class CompletionRequest:
    """A decoded request for a completion.

    Args:
        request: The HTTP request.
        text: Body of the request.
        is_chat: Whether it is a chat completion.

    Attributes:
        body: The decoded body.
        prompt: The prompt as one text.
        request_id: Id of the request; generated if the header is missing.
        attempt_id: Id of the attempt; generated if the header is missing.
        priority: Priority; 0 is the most urgent.

    Raises:
        ValueError: The body or a header is invalid.
    """

    def __init__(self, request: server.Request, text: bytes,
                 is_chat: bool) -> None:
        self.body = msgspec.json.decode(text, type=CompletionBody)
        if (self.body.messages if is_chat else self.body.prompt) is None:
            raise ValueError("the body has no messages or prompt")
        self.prompt = completion_text.read_prompt(
            _select_prompt_field(self.body, is_chat))
        generated_id = f"local-{uuid.uuid4().hex}"
        self.request_id = request.getHeader("x-request-id") or generated_id
        self.attempt_id = request.getHeader("x-attempt-id") or generated_id
        self.priority = int(request.getHeader("x-priority") or 0)

    @property
    def max_tokens(self) -> int | None:
        """Limit on the answer's length in tokens; None for none."""
        body = self.body
        return (body.max_tokens if body.max_completion_tokens is None else
                body.max_completion_tokens)

    @property
    def is_resumed(self) -> bool:
        """Whether it resumes an answer."""
        return self.body.resume_from is not None

    @property
    def has_usage(self) -> bool:
        """Whether the stream is to end with an event with the usage."""
        return bool((self.body.stream_options or {}).get("include_usage"))

    @property
    def finish_reason(self) -> str:
        """Finish reason of the answer: ``stop`` or ``length``."""
        return completion_text.compute_finish_reason(self.body.model,
                                                     self.prompt,
                                                     self.max_tokens)

    @property
    def prompt_words(self) -> tuple[str, ...]:
        """Words to prefill: the prompt, and the text to resume after."""
        resume_point = self.body.resume_from
        resumed_text = resume_point.text if resume_point is not None else ""
        return tuple(f"{self.prompt} {resumed_text}".split())

    def list_remaining_tokens(self) -> tuple[str, ...] | None:
        """Returns the tokens to send.

        Returns:
            All tokens of the answer, or those after the resume point; None if
            the answer does not begin with the text of the resume point.
        """
        tokens = completion_text.generate_tokens(self.body.model, self.prompt,
                                                 self.max_tokens)
        resume_point = self.body.resume_from
        if resume_point is None:
            return tokens
        return _skip_text(tokens, resume_point.text)


def _select_prompt_field(body: CompletionBody,
                         is_chat: bool) -> dict[str, typing.Any]:
    if is_chat:
        return {"messages": body.messages}
    return {"prompt": body.prompt}


def _skip_text(tokens: tuple[str, ...], text: str) -> tuple[str, ...] | None:
    """Returns the tokens after `text`, or None if they don't begin with it.

    If `text` ends inside a token, the rest of that token is the first item.
    """
    for index, token in enumerate(tokens):
        if not text:
            return tokens[index:]
        if len(text) < len(token) and token.startswith(text):
            return (token[len(text):], *tokens[index + 1:])
        if not text.startswith(token):
            return None
        text = text[len(token):]
    return None if text else ()
