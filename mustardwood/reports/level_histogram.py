"""A histogram of times to the first token."""

import msgspec


class LevelHistogram(msgspec.Struct, frozen=True):
    """Times to the first token of one class in one minute.

    Attributes:
        minute: Start of the minute, in minutes since 1970.
        class_name: Request class.
        encoded: An HdrHistogram of milliseconds in its compressed,
            base64-encoded form.
    """

    minute: int
    class_name: str
    encoded: str
