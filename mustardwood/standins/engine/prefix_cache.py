"""The prefix cache of a stand-in engine."""

import collections

_BLOCK_WORDS = 16
"""Number of words that are cached and evicted together."""


class PrefixCache:
    """A bounded cache of prompt prefixes with LRU eviction.

    Prompts are cached in blocks of 16 words; a word counts as a token.

    Args:
        capacity: Capacity in tokens.

    Examples:
        >>> cache = PrefixCache(64)
        >>> words = ("w",) * 40
        >>> cache.look_up_and_insert(words), cache.look_up_and_insert(words)
        (0, 32)
        >>> cache.size
        32
    """

    def __init__(self, capacity: int) -> None:
        self._max_blocks = capacity // _BLOCK_WORDS
        self._blocks: collections.OrderedDict[int,
                                              None] = collections.OrderedDict()

    @property
    def size(self) -> int:
        """Number of cached tokens."""
        return len(self._blocks) * _BLOCK_WORDS

    def look_up_and_insert(self, words: tuple[str, ...]) -> int:
        """Looks up the cached prefix of a prompt, then caches the prompt.

        Args:
            words: Words of the prompt.

        Returns:
            Length of the prefix that was cached before, in tokens.
        """
        blocks = _hash_blocks(words)
        cached = 0
        for block in blocks:
            if block not in self._blocks:
                break
            cached += _BLOCK_WORDS
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return cached


def _hash_blocks(words: tuple[str, ...]) -> list[int]:
    blocks = []
    chained_hash = 0
    for start in range(0, len(words) - _BLOCK_WORDS + 1, _BLOCK_WORDS):
        chained_hash = hash((chained_hash, words[start:start + _BLOCK_WORDS]))
        blocks.append(chained_hash)
    return blocks
