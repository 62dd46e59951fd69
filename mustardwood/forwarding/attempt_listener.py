"""Listener to the response of one attempt."""

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import endpoint_statements
from mustardwood.dispatch import forwarding_context
from mustardwood.forwarding import response_handler


class AttemptListener:
    """Passes on the response to one attempt while the attempt is open.

    An unexpected error ends the request. The code that reads the endpoint's
    connection can't answer the caller.
    """

    def __init__(self, handler: response_handler.ResponseHandler,
                 attempt: attempt_record.AttemptRecord) -> None:
        self._handler = handler
        self._attempt = attempt

    def receive_head(
        self,
        status: int,
        headers: forwarding_context.Headers,
        is_verified: bool,
        was_not_run: bool,
        statements: endpoint_statements.EndpointStatements = (
            endpoint_statements.EndpointStatements())
    ) -> None:
        """See `forwarding_context.AttemptListener`."""
        attempt = self._attempt
        attempt.status = status
        attempt.headers = headers
        attempt.is_verified = is_verified
        attempt.was_not_run = was_not_run
        try:
            self._handler.record_statements(attempt, statements)
        except Exception as error:  # pylint: disable=broad-exception-caught
            self._handler.handle_error(error)

    def receive_data(self, data: bytes) -> None:
        """See `forwarding_context.AttemptListener`."""
        if not self._handler.is_open(self._attempt):
            return
        try:
            self._handler.receive_data(self._attempt, data)
        except Exception as error:  # pylint: disable=broad-exception-caught
            self._handler.handle_error(error)

    def receive_end(self) -> None:
        """See `forwarding_context.AttemptListener`."""
        if not self._handler.is_open(self._attempt):
            return
        try:
            self._handler.receive_end(self._attempt)
        except Exception as error:  # pylint: disable=broad-exception-caught
            self._handler.handle_error(error)

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """See `forwarding_context.AttemptListener`."""
        if not self._handler.is_open(self._attempt):
            return
        try:
            self._handler.receive_failure(self._attempt, was_sent, reason)
        except Exception as error:  # pylint: disable=broad-exception-caught
            self._handler.handle_error(error)
