"""What a caller has received of its response."""

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import event_splitter
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import service_request


class ForwardedResponse:
    """What the caller of a request has received of the response.

    Attributes:
        splitter: Splits the responses of all attempts into events.
        is_head_sent: Whether the caller got the head of a response.
        is_unbuffered: Whether parts of the body are sent on as they arrive.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 caller: forwarding_context.Caller) -> None:
        self._caller = caller
        self.splitter = event_splitter.EventSplitter(request.last_event_id)
        self.is_head_sent = False
        self.is_unbuffered = False

    @property
    def can_continue(self) -> bool:
        """Whether the response of another endpoint can take its place."""
        if self.is_unbuffered:
            return False
        return not self.is_head_sent or self.splitter.last_id is not None

    @property
    def resume_after(self) -> int | None:
        """Id of the last event that the caller got; None if none was sent."""
        return self.splitter.last_id if self.is_head_sent else None

    def send_head(self, attempt: attempt_record.AttemptRecord,
                  length: int | None) -> None:
        """Sends the head of an attempt's response to the caller.

        Args:
            attempt: The attempt.
            length: Length of the body in bytes; None if it is unknown.
        """
        self.is_head_sent = True
        self._caller.begin(attempt.status, attempt.headers, length)
