"""Events of a model engine's answer."""

import msgspec

from mustardwood import errors


class Delta(msgspec.Struct, frozen=True):
    """A piece of a chat answer.

    Attributes:
        content: Text; None where the piece carries something else.
        tool_calls: Pieces of tool calls, undecoded.
    """

    content: str | None = None
    tool_calls: msgspec.Raw | None = None


class Choice(msgspec.Struct, frozen=True):
    """A choice of an event.

    Attributes:
        delta: Piece of a chat answer.
        text: Piece of a text completion.
        finish_reason: Why the answer ended; None before its end.
    """

    delta: Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True):
    """Token counts of an answer.

    Attributes:
        prompt_tokens: Length of the prompt.
        completion_tokens: Length of the answer.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0


class EngineEvent(msgspec.Struct, frozen=True):
    """One server-sent event of an engine.

    Attributes:
        id: Id of the attempt that it belongs to.
        choices: Its choices; empty in the event of the usage.
        usage: Token counts, in the last event.
        tokens: How many tokens the event carries; None where the engine does
            not say.
    """

    id: str = ""
    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None
    tokens: int | None = None

    @property
    def text(self) -> str:
        """The text that the event adds to the answer."""
        if not self.choices:
            return ""
        choice = self.choices[0]
        if choice.delta is not None:
            return choice.delta.content or ""
        return choice.text or ""

    @property
    def token_count(self) -> int:
        """How many tokens the event adds to the answer."""
        if self.tokens is not None:
            return self.tokens
        return 1 if self.text else 0

    @property
    def finished(self) -> bool:
        """Whether the engine says that the answer's text is whole."""
        return bool(self.choices and self.choices[0].finish_reason)

    @property
    def resumable(self) -> bool:
        """Whether the text alone describes the event."""
        for choice in self.choices:
            if choice.delta is not None and choice.delta.tool_calls:
                return False
        return True


_DECODER = msgspec.json.Decoder(EngineEvent)


def decode_event(data: bytes) -> EngineEvent:
    """Decodes the data of a server-sent event.

    Raises:
        LinkError: The data is no event of an engine.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.LinkError(f"an engine's event can't be decoded: {error}.",
                               "Check the engine's release.") from error
