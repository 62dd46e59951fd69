"""A histogram of times to the first token."""

import msgspec


class LevelHistogram(msgspec.Struct, frozen=True):
    """First-token times of one minute and class.

    Attributes:
        minute: Start of the minute, in minutes since 1970.
        class_name: Request class.
        encoded: An HdrHistogram of milliseconds in its compressed text form.
    """

    minute: int
    class_name: str
    encoded: str
