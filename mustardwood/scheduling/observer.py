"""The interface through which decisions are counted."""

import datetime
import typing

from mustardwood import messages


class Observer(typing.Protocol):
    """Is told of each decision, for metrics."""

    def record_grant(self, class_name: str, waited: datetime.timedelta) -> None:
        """Counts a grant after a wait in the queue."""

    def record_refusal(self, class_name: str,
                       reason: messages.RefusalReason) -> None:
        """Counts a refusal."""


class NullObserver:
    """Counts nothing."""

    def record_grant(self, class_name: str, waited: datetime.timedelta) -> None:
        """Ignores the grant."""

    def record_refusal(self, class_name: str,
                       reason: messages.RefusalReason) -> None:
        """Ignores the refusal."""
