"""A problem in a settings file."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Problem:
    """An invalid value of a settings file.

    Attributes:
        key: Path of the value, as in ``$.callers_port``.
        message: What is wrong, without a full stop.
        remedy: What to do about it, as a sentence.
    """

    key: str
    message: str
    remedy: str
