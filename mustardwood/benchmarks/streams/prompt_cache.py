"""Model of an engine's cache of prompt parts."""

import collections

from mustardwood.dispatch import prompt as prompt_module


class PromptCache:
    """LRU cache of prompt parts in the memory that running requests leave.

    Attributes:
        tokens: Number of tokens in the cache.
    """

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[str,
                                             int] = collections.OrderedDict()
        self.tokens = 0

    def admit_prompt(self, prompt: prompt_module.Prompt) -> int:
        """Caches the parts of a prompt; returns the number of missing tokens.

        A part is a cache hit only if all parts before it are hits too.
        """
        missing = 0
        for part in prompt.parts:
            if missing or part.key not in self._parts:
                missing += part.tokens
            self._add(part.key, part.tokens)
        return missing

    def evict_to(self, max_tokens: int) -> None:
        """Evicts least recently used parts down to at most `max_tokens`."""
        while self._parts and self.tokens > max_tokens:
            _, tokens = self._parts.popitem(last=False)
            self.tokens -= tokens

    def clear(self) -> None:
        """Clears the cache, as after a crash."""
        self._parts.clear()
        self.tokens = 0

    def _add(self, key: str, tokens: int) -> None:
        self.tokens += tokens - self._parts.pop(key, 0)
        self._parts[key] = tokens
