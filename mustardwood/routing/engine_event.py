"""Decoding of the events of a model engine's response."""

import msgspec

from mustardwood import errors


class Delta(msgspec.Struct, frozen=True):
    """A fragment of a chat message.

    Attributes:
        content: Text; None in a fragment without text.
        tool_calls: Fragments of tool calls, not decoded.
    """

    content: str | None = None
    tool_calls: msgspec.Raw | None = None


class Choice(msgspec.Struct, frozen=True):
    """A choice (alternative completion) in an event.

    Attributes:
        delta: Fragment of a chat message; None in a text completion.
        text: Fragment of a text completion; None in a chat completion.
        finish_reason: Reason why the completion ended; None before its end.
    """

    delta: Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a completion.

    Attributes:
        prompt_tokens: Length of the prompt, in tokens.
        completion_tokens: Length of the completion, in tokens.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0


class EngineEvent(msgspec.Struct, frozen=True):
    """A server-sent event of an engine.

    Attributes:
        id: Id of the attempt that the event belongs to.
        choices: Choices; empty in the usage event.
        usage: Token counts; only in the last event.
        tokens: Number of tokens that the event carries; None if the engine
            doesn't report it.
    """

    id: str = ""
    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None
    tokens: int | None = None

    @property
    def text(self) -> str:
        """The text that the event adds to the completion."""
        if not self.choices:
            return ""
        choice = self.choices[0]
        if choice.delta is not None:
            return choice.delta.content or ""
        return choice.text or ""

    @property
    def token_count(self) -> int:
        """The number of tokens that the event adds to the completion.

        An event with text counts as one token if the engine reports no number.
        """
        if self.tokens is not None:
            return self.tokens
        return 1 if self.text else 0

    @property
    def finished(self) -> bool:
        """Whether the event has a finish reason: the text is complete."""
        return bool(self.choices and self.choices[0].finish_reason)

    @property
    def resumable(self) -> bool:
        """Whether the text alone describes the event: it has no tool calls."""
        for choice in self.choices:
            if choice.delta is not None and choice.delta.tool_calls:
                return False
        return True


_DECODER = msgspec.json.Decoder(EngineEvent)


def decode_event(data: bytes) -> EngineEvent:
    """Decodes the data of a server-sent event.

    Raises:
        LinkError: The data is not a valid engine event.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.LinkError(f"an engine's event can't be decoded: {error}.",
                               "Check the engine's release.") from error
