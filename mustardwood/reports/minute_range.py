"""A range of minutes."""

import msgspec


class MinuteRange(msgspec.Struct, frozen=True):
    """Minutes since 1970, both ends included.

    Attributes:
        first: First minute.
        last: Last minute.
    """

    first: int
    last: int

    def contains(self, minute: int) -> bool:
        """Returns whether a minute is in the range."""
        return self.first <= minute <= self.last

    def format(self) -> str:
        """Returns the text that `parse_range` reads.

        Examples:
            >>> MinuteRange(29123, 29125).format()
            '29123-29125'
        """
        return f"{self.first}-{self.last}"


def parse_range(text: str) -> MinuteRange | None:
    """Reads a range; None for any other text.

    Examples:
        >>> parse_range("29123-29125")
        MinuteRange(first=29123, last=29125)
        >>> parse_range("")
    """
    first, _, last = text.partition("-")
    if not (first.isascii() and first.isdigit() and last.isascii() and
            last.isdigit()):
        return None
    return MinuteRange(int(first), int(last))
