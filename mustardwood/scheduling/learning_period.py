"""The time in which an owner rebuilds what it knows."""

import datetime

LEARNING_TIME = datetime.timedelta(seconds=0.5)
"""Time in which a new owner rebuilds its state and grants little."""

MAX_TICK_GAP = datetime.timedelta(seconds=1)
"""Time between two ticks after which entries have asked another owner."""


class LearningPeriod:
    """Tells whether an owner still learns from the entries' heartbeats.

    An owner that missed its ticks, as in a frozen process, learns again: the
    entries have taken their work to another owner meanwhile.
    """

    def __init__(self) -> None:
        self._ends_at: datetime.timedelta | None = None
        self._checked_at = datetime.timedelta()

    def restart(self, now: datetime.timedelta) -> None:
        """Starts to learn from now on."""
        self._ends_at = now + LEARNING_TIME

    def update(self, now: datetime.timedelta, *, has_work: bool) -> bool:
        """Returns whether the owner learns; the first call starts it.

        Args:
            now: Monotonic time.
            has_work: Whether ticks were due since the last call.
        """
        missed_ticks = has_work and now - self._checked_at > MAX_TICK_GAP
        self._checked_at = now
        if self._ends_at is None or missed_ticks:
            self.restart(now)
        return self._ends_at is not None and now < self._ends_at
