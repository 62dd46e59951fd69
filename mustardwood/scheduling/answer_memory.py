"""A short memory of attempts that are over."""

import collections
import datetime

from mustardwood import messages
from mustardwood.scheduling import waiting_request

_MEMORY = datetime.timedelta(seconds=30)


class AnswerMemory:
    """Remembers ended, withdrawn and refused attempts for half a minute.

    A late or repeated ask of one of them is not granted again.
    """

    def __init__(self) -> None:
        self._answers: dict[waiting_request.AttemptKey,
                            messages.Refusal | None] = {}
        self._order: collections.deque[
            tuple[datetime.timedelta,
                  waiting_request.AttemptKey]] = collections.deque()

    def __contains__(self, key: waiting_request.AttemptKey) -> bool:
        return key in self._answers

    def find_refusal(
            self, key: waiting_request.AttemptKey) -> messages.Refusal | None:
        """Returns the refusal of an attempt, to be repeated."""
        return self._answers.get(key)

    def record(self,
               key: waiting_request.AttemptKey,
               now: datetime.timedelta,
               refusal: messages.Refusal | None = None) -> None:
        """Remembers that an attempt is over."""
        self._expire(now)
        if key in self._answers:
            return
        self._answers[key] = refusal
        self._order.append((now, key))

    def _expire(self, now: datetime.timedelta) -> None:
        while self._order and now - self._order[0][0] > _MEMORY:
            self._answers.pop(self._order.popleft()[1], None)
