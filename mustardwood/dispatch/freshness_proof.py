"""Proof that the configuration in force is recent enough."""

import datetime

from mustardwood import timing


class FreshnessProof:
    """The last proof that the configuration in force was the newest version.

    The age of a proof is counted from the time of the request to the store,
    because a newer version may exist as soon as the store has responded.

    Failure: a VM that can't reach the store does not see that an API key was
    removed. It must stop accepting keys before the time within which operators
    can rely on a removed key being rejected everywhere.
    """

    def __init__(self, clock: timing.Clock,
                 key_removal_time: datetime.timedelta,
                 margin: datetime.timedelta) -> None:
        """Creates an object without a proof.

        Args:
            clock: Its monotonic time must include time in which the VM is
                suspended.
            key_removal_time: Time after its removal from the configuration in
                which every VM must reject an API key.
            margin: Time allowed from this check until the endpoint receives
                the request.
        """
        self._clock = clock
        self._max_age = key_removal_time - margin
        self._requested_at: datetime.timedelta | None = None
        self._longest_age = datetime.timedelta()

    def set_key_removal_time(self, key_removal_time: datetime.timedelta,
                             margin: datetime.timedelta) -> None:
        """Changes the maximum age and keeps the last proof."""
        self._max_age = key_removal_time - margin

    def record(self, requested_at: datetime.timedelta) -> None:
        """Records a proof; does nothing if it is older than the last one.

        Args:
            requested_at: Monotonic time of the request to the store.
        """
        if self._requested_at is None or requested_at > self._requested_at:
            self._update_longest_age()
            self._requested_at = requested_at

    def get_age(self) -> datetime.timedelta | None:
        """Returns the age of the last proof; None without a proof."""
        if self._requested_at is None:
            return None
        return self._clock.monotonic() - self._requested_at

    def take_longest_age(self) -> datetime.timedelta:
        """Returns the longest age since the last call of this method.

        The store has answered no VM for at most that time.
        """
        self._update_longest_age()
        longest, self._longest_age = self._longest_age, datetime.timedelta()
        return longest

    def is_current(self) -> bool:
        """Returns whether API keys may be accepted."""
        age = self.get_age()
        return age is not None and age < self._max_age

    def _update_longest_age(self) -> None:
        age = self.get_age()
        if age is not None:
            self._longest_age = max(self._longest_age, age)
