"""Period in which a new owner of a cell rebuilds its state."""

import datetime

LEARNING_TIME = datetime.timedelta(seconds=0.5)
"""Duration of the period, in which the owner grants few requests."""

MAX_TICK_GAP = datetime.timedelta(seconds=1)
"""Time between ticks after which entries have moved to another owner."""


class LearningPeriod:
    """Tracks whether an owner is still learning from the entries' heartbeats.

    The state of a cell is soft state, which is not stored. A new owner learns
    the waiting and running attempts from the heartbeats of the entries. An
    owner that missed its ticks, for example because its process was frozen,
    starts learning again, since the entries have moved their attempts to
    another owner in the meantime.
    """

    def __init__(self) -> None:
        self._ends_at: datetime.timedelta | None = None
        self._checked_at = datetime.timedelta()

    def restart(self, now: datetime.timedelta) -> None:
        """Starts the learning period again."""
        self._ends_at = now + LEARNING_TIME

    def update(self, now: datetime.timedelta, *, has_work: bool) -> bool:
        """Returns whether the owner is learning; the first call starts it.

        Args:
            now: Monotonic time.
            has_work: Whether ticks were due since the last call.
        """
        missed_ticks = has_work and now - self._checked_at > MAX_TICK_GAP
        self._checked_at = now
        if self._ends_at is None or missed_ticks:
            self.restart(now)
        return self._ends_at is not None and now < self._ends_at
