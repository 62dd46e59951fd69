"""Interface through which a scheduler reports its decisions to metrics."""

import datetime
import typing

from mustardwood import messages


class Observer(typing.Protocol):
    """Receives each grant and refusal of a cell, for metrics."""

    def record_grant(self, class_name: str, waited: datetime.timedelta) -> None:
        """Records a grant and the time since the request's arrival."""

    def record_refusal(self, class_name: str,
                       reason: messages.RefusalReason) -> None:
        """Records a refusal."""


class NullObserver:
    """Ignores all decisions."""

    def record_grant(self, class_name: str, waited: datetime.timedelta) -> None:
        """Ignores the grant."""

    def record_refusal(self, class_name: str,
                       reason: messages.RefusalReason) -> None:
        """Ignores the refusal."""
