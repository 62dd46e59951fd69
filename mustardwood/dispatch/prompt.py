"""The prompt of a request to a language model."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share.

    Attributes:
        key: Identifies the part's text.
        tokens: Its length.
    """

    key: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The sizes that decide where a prompt is prefilled.

    Attributes:
        parts: The parts in order; the last one is the request's own.
        input_tokens: Length of the whole prompt.
        output_tokens: Most tokens that the answer may have.
    """

    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    output_tokens: int = 0

    @property
    def prefix_key(self) -> str:
        """Key of the last part that other requests share; empty for none."""
        return self.parts[-2].key if len(self.parts) > 1 else ""

    @property
    def shared_tokens(self) -> int:
        """Tokens before the request's own part."""
        return sum(each.tokens for each in self.parts[:-1])
