"""A range of minutes."""

import msgspec


class MinuteRange(msgspec.Struct, frozen=True):
    """A range of minutes since 1970; both ends are included.

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
        """Formats the range as text, which `parse_range` parses.

        Examples:
            >>> MinuteRange(29123, 29125).format()
            '29123-29125'
        """
        return f"{self.first}-{self.last}"


def parse_range(text: str) -> MinuteRange | None:
    """Parses a range; returns None if the text is not a range.

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
