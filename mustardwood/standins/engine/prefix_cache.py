"""The prefix cache of a stand-in engine."""

import collections

_BLOCK_WORDS = 16
"""Words that are cached or dropped together."""


class PrefixCache:
    """Keeps the least recently used prefixes out of a bounded memory.

    Args:
        capacity: Size in tokens.

    Examples:
        >>> cache = PrefixCache(64)
        >>> words = ("w",) * 40
        >>> cache.use(words), cache.use(words), cache.size
        (0, 32, 32)
    """

    def __init__(self, capacity: int) -> None:
        self._block_limit = capacity // _BLOCK_WORDS
        self._blocks: collections.OrderedDict[int,
                                              None] = collections.OrderedDict()

    @property
    def size(self) -> int:
        """Tokens that are cached."""
        return len(self._blocks) * _BLOCK_WORDS

    def use(self, words: tuple[str, ...]) -> int:
        """Returns how many tokens of a prompt are cached, and caches it."""
        blocks = _hash_blocks(words)
        cached = 0
        for block in blocks:
            if block not in self._blocks:
                break
            cached += _BLOCK_WORDS
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._block_limit:
            self._blocks.popitem(last=False)
        return cached


def _hash_blocks(words: tuple[str, ...]) -> list[int]:
    blocks = []
    chain = 0
    for start in range(0, len(words) - _BLOCK_WORDS + 1, _BLOCK_WORDS):
        chain = hash((chain, words[start:start + _BLOCK_WORDS]))
        blocks.append(chain)
    return blocks
