"""Record of the attempts that ended recently."""

import collections
import datetime

from mustardwood import messages
from mustardwood.scheduling import waiting_request

_RETENTION = datetime.timedelta(seconds=30)


class FinishedAttempts:
    """Keeps the keys of ended, withdrawn and refused attempts for 30 s.

    With it the scheduler recognises a late or repeated ask for such an attempt
    and doesn't grant it again.
    """

    def __init__(self) -> None:
        self._refusals: dict[waiting_request.AttemptKey,
                             messages.Refusal | None] = {}
        self._recorded: collections.deque[
            tuple[datetime.timedelta,
                  waiting_request.AttemptKey]] = collections.deque()

    def __contains__(self, key: waiting_request.AttemptKey) -> bool:
        return key in self._refusals

    def find_refusal(
            self, key: waiting_request.AttemptKey) -> messages.Refusal | None:
        """Returns the refusal to send again; None if it was not refused."""
        return self._refusals.get(key)

    def record(self,
               key: waiting_request.AttemptKey,
               now: datetime.timedelta,
               refusal: messages.Refusal | None = None) -> None:
        """Records that an attempt ended; an earlier record of it is kept.

        Args:
            key: Key of the attempt.
            now: Monotonic time.
            refusal: The refusal, if the attempt was refused.
        """
        self._expire(now)
        if key in self._refusals:
            return
        self._refusals[key] = refusal
        self._recorded.append((now, key))

    def _expire(self, now: datetime.timedelta) -> None:
        while self._recorded and now - self._recorded[0][0] > _RETENTION:
            self._refusals.pop(self._recorded.popleft()[1], None)
