"""The time in which an owner rebuilds what it knows."""

import datetime

LEARNING_TIME = datetime.timedelta(seconds=0.5)
"""Time in which a new owner rebuilds its state and grants little."""

PAUSE_LIMIT = datetime.timedelta(seconds=1)
"""Time between two ticks after which entries have asked another owner."""


class LearningPeriod:
    """Tells whether an owner still learns from the entries' heartbeats.

    An owner that missed its ticks, as in a frozen process, learns again: the
    entries have taken their work to another owner meanwhile.
    """

    def __init__(self) -> None:
        self._until: datetime.timedelta | None = None
        self._active_at = datetime.timedelta()

    def restart(self, now: datetime.timedelta) -> None:
        """Starts to learn from now on."""
        self._until = now + LEARNING_TIME

    def check(self, now: datetime.timedelta, *, has_work: bool) -> bool:
        """Returns whether the owner learns; the first call starts it.

        Args:
            now: Monotonic time.
            has_work: Whether ticks were due since the last call.
        """
        was_paused = has_work and now - self._active_at > PAUSE_LIMIT
        self._active_at = now
        if self._until is None or was_paused:
            self.restart(now)
        return self._until is not None and now < self._until
