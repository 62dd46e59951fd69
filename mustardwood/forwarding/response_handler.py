"""Interface of the receiver of all responses to one request."""

import typing

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import endpoint_statements


class ResponseHandler(typing.Protocol):
    """Receives the responses to the attempts of one request."""

    def record_statements(
            self, attempt: attempt_record.AttemptRecord,
            statements: endpoint_statements.EndpointStatements) -> None:
        """Records what a response states of its endpoint."""

    def receive_data(self, attempt: attempt_record.AttemptRecord,
                     data: bytes) -> None:
        """Handles a part of the response's body of an open attempt."""

    def receive_end(self, attempt: attempt_record.AttemptRecord) -> None:
        """Handles the end of the complete response of an open attempt."""

    def receive_failure(self, attempt: attempt_record.AttemptRecord,
                        was_sent: bool, reason: str) -> None:
        """Handles the failure of an open attempt without a whole response.

        Args:
            attempt: The attempt.
            was_sent: Whether the endpoint may have received a byte of the
                request.
            reason: Cause of the failure, for the log.
        """

    def receive_denial(self, attempt: attempt_record.AttemptRecord) -> None:
        """Handles that the request may not be written any more."""

    def handle_error(self, error: Exception) -> None:
        """Logs and ends the request after an unexpected error in its handling.

        Otherwise its caller would wait until the deadline.

        Args:
            error: The error.
        """

    def is_open(self, attempt: attempt_record.AttemptRecord) -> bool:
        """Returns whether the response of an attempt is still expected."""
