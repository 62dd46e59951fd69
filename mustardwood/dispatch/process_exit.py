"""The planned exit of the process that forwards requests."""

import datetime

from mustardwood.dispatch import service_request


class ProcessExit:
    """Decides which requests may still be sent before the process exits.

    Failure: a request is sent to an endpoint shortly before the process exits.
    The endpoint runs it, and its caller gets no answer. A request whose own
    time limit ends before the exit always gets one. Any other request is
    refused while it has not run, so that its caller can send it to another VM.
    """

    def __init__(self) -> None:
        self._exits_at: datetime.timedelta | None = None

    def limit_requests(self, exits_at: datetime.timedelta) -> None:
        """Allows only requests that end before the exit from now on.

        Args:
            exits_at: Monotonic time of the exit.
        """
        self._exits_at = exits_at

    def allows(self, request: service_request.ServiceRequest) -> bool:
        """Returns whether a request that has not run may be sent."""
        return self._exits_at is None or request.expires_at <= self._exits_at
