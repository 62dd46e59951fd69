"""The interface of an entry's metrics."""

import datetime
import typing


class RequestMetrics(typing.Protocol):
    """Counts what happens to requests."""

    def count_request(self, class_name: str) -> None:
        """Counts an arrival."""

    def observe_first_token(self, class_name: str,
                            delay: datetime.timedelta) -> None:
        """Observes the time from arrival to the first token."""

    def count_refusal(self, class_name: str, code: str) -> None:
        """Counts a final error."""

    def count_retry(self, class_name: str) -> None:
        """Counts a retry."""

    def count_tokens(self, class_name: str, tokens: int) -> None:
        """Counts tokens of whole answers."""

    def count_waste(self, class_name: str, cause: str, tokens: int) -> None:
        """Counts tokens generated in vain."""


class NoMetrics:
    """Counts nothing."""

    def count_request(self, class_name: str) -> None:
        """Counts an arrival."""

    def observe_first_token(self, class_name: str,
                            delay: datetime.timedelta) -> None:
        """Observes the time from arrival to the first token."""

    def count_refusal(self, class_name: str, code: str) -> None:
        """Counts a final error."""

    def count_retry(self, class_name: str) -> None:
        """Counts a retry."""

    def count_tokens(self, class_name: str, tokens: int) -> None:
        """Counts tokens of whole answers."""

    def count_waste(self, class_name: str, cause: str, tokens: int) -> None:
        """Counts tokens generated in vain."""
