"""A problem in a settings file."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Problem:
    """A value that can't work.

    Attributes:
        key: Path of the value, as in ``$.callers_port``.
        message: What is wrong, without the full stop.
        remedy: What to do about it.
    """

    key: str
    message: str
    remedy: str
