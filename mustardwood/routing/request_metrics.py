"""Interface to the metrics of an entry."""

import datetime
import typing


class RequestMetrics(typing.Protocol):
    """Receives the figures about requests that become metrics."""

    def count_request(self, class_name: str) -> None:
        """Counts the arrival of a request."""

    def observe_first_token(self, class_name: str,
                            delay: datetime.timedelta) -> None:
        """Observes the time from arrival to the first token."""

    def count_refusal(self, class_name: str, code: str) -> None:
        """Counts a request that ended with an error."""

    def count_retry(self, class_name: str) -> None:
        """Counts a retry."""

    def count_tokens(self, class_name: str, tokens: int) -> None:
        """Counts the tokens of complete responses."""

    def count_waste(self, class_name: str, cause: str, tokens: int) -> None:
        """Counts generated tokens that were wasted."""


class NoMetrics:
    """Discards all figures."""

    def count_request(self, class_name: str) -> None:
        """Counts the arrival of a request."""

    def observe_first_token(self, class_name: str,
                            delay: datetime.timedelta) -> None:
        """Observes the time from arrival to the first token."""

    def count_refusal(self, class_name: str, code: str) -> None:
        """Counts a request that ended with an error."""

    def count_retry(self, class_name: str) -> None:
        """Counts a retry."""

    def count_tokens(self, class_name: str, tokens: int) -> None:
        """Counts the tokens of complete responses."""

    def count_waste(self, class_name: str, cause: str, tokens: int) -> None:
        """Counts generated tokens that were wasted."""
