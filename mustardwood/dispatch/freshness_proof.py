"""How old the configuration in force may be."""

import datetime

from mustardwood import timing


class FreshnessProof:
    """The age of the last proof that the configuration is the newest.

    A proof counts from the moment at which the store was asked, since a later
    version may exist as soon as the store has answered.

    Load pattern: a VM that lost the store must stop honouring API keys before
    the operator may count a removed key as dead.
    """

    def __init__(self, clock: timing.Clock, longest: datetime.timedelta,
                 margin: datetime.timedelta) -> None:
        """Creates a proof that has not been given yet.

        Args:
            clock: Its monotonic time must go on while the VM is suspended.
            longest: Time after which a removed key must be dead everywhere.
            margin: Time between this check and the endpoint's receipt.
        """
        self._clock = clock
        self._longest = longest - margin
        self._asked_at: datetime.timedelta | None = None

    def set_key_removal_time(self, longest: datetime.timedelta,
                             margin: datetime.timedelta) -> None:
        """Changes the bounds; the proof that was given holds."""
        self._longest = longest - margin

    def record(self, asked_at: datetime.timedelta) -> None:
        """Takes over a proof; an older one than known changes nothing."""
        if self._asked_at is None or asked_at > self._asked_at:
            self._asked_at = asked_at

    def get_age(self) -> datetime.timedelta | None:
        """Returns the age of the proof; None before the first."""
        if self._asked_at is None:
            return None
        return self._clock.monotonic() - self._asked_at

    def is_current(self) -> bool:
        """Returns whether keys may still be honoured."""
        age = self.get_age()
        return age is not None and age < self._longest
