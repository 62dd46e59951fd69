"""Sizes of the prompt of a request to a language model."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, which several requests may have in common.

    Attributes:
        key: Key that identifies the text of the part.
        tokens: Length in tokens.
    """

    key: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The parts and sizes of a prompt, by which an engine is chosen.

    Attributes:
        parts: The parts in order; the last one belongs to this request only.
        input_tokens: Length of the whole prompt in tokens.
        output_tokens: Maximum length of the response in tokens.
    """

    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    output_tokens: int = 0

    @property
    def prefix_key(self) -> str:
        """Key of the last shared part, which identifies the shared prefix.

        It is empty if no part is shared.
        """
        return self.parts[-2].key if len(self.parts) > 1 else ""

    def list_shared_keys(self, max_count: int) -> list[str]:
        """Returns the keys of the first shared parts, each of them once.

        Args:
            max_count: Maximum number of parts that are considered.

        Examples:
            >>> parts = [PromptPart(key, 9) for key in ("a", "", "b", "a", "c")]
            >>> Prompt(tuple(parts)).list_shared_keys(8)
            ['a', 'b']
        """
        shared = self.parts[:-1][:max_count]
        return list(dict.fromkeys(each.key for each in shared if each.key))

    @property
    def shared_tokens(self) -> int:
        """Length of the shared prefix in tokens."""
        return sum(each.tokens for each in self.parts[:-1])
