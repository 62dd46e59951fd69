"""The parts of prompts that a modelled engine keeps."""

import collections

from mustardwood.dispatch import prompt as prompt_module


class PromptCache:
    """Keeps parts by least recent use in the memory that requests leave."""

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[str,
                                             int] = collections.OrderedDict()
        self.tokens = 0

    def admit_prompt(self, prompt: prompt_module.Prompt) -> int:
        """Takes over a prompt's parts; returns the tokens that were missing.

        A part counts as kept only if all parts before it are kept too.
        """
        missing = 0
        for part in prompt.parts:
            if missing or part.key not in self._parts:
                missing += part.tokens
            self._add(part.key, part.tokens)
        return missing

    def evict_to(self, max_tokens: int) -> None:
        """Drops the least recently used parts until the rest fits."""
        while self._parts and self.tokens > max_tokens:
            _, tokens = self._parts.popitem(last=False)
            self.tokens -= tokens

    def clear(self) -> None:
        """Drops all, as in a crash."""
        self._parts.clear()
        self.tokens = 0

    def _add(self, key: str, tokens: int) -> None:
        self.tokens += tokens - self._parts.pop(key, 0)
        self._parts[key] = tokens
