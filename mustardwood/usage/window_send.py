"""The action to report the usage of a window."""

import collections.abc
import dataclasses

from mustardwood import leadership


@dataclasses.dataclass(frozen=True)
class WindowSend:
    """Reports the usage of a finalized window to the platform.

    Attributes:
        term: The term of this VM.
        window: Number of the window.
        counts: Its counts by organisation, as they were finalized.
    """

    term: leadership.Term
    window: int
    counts: collections.abc.Mapping[str, int]
