"""Reports the response of an endpoint to the router."""

import collections.abc

from mustardwood import routing
from mustardwood import timing

ExecuteCommands = collections.abc.Callable[[list[routing.Command]], None]
"""Function that executes commands of the router."""


class AttemptReceiver:
    """Reports one attempt's response to the router.

    It implements `engines.ResponseReceiver`. The commands that the router
    returns are executed at once.

    Attributes:
        ended: Whether the exchange with the endpoint has ended.
    """

    def __init__(self, router: routing.Router, execute: ExecuteCommands,
                 clock: timing.Clock, request_id: str, attempt: int) -> None:
        self.ended = False
        self._router = router
        self._execute = execute
        self._clock = clock
        self._request_id = request_id
        self._attempt = attempt

    def handle_head(self, status: int, headers: tuple[tuple[str, str],
                                                      ...]) -> None:
        """Handles the status and the headers of the response."""
        self._execute(
            self._router.handle_head(self._request_id, self._attempt, status,
                                     headers, self._clock.monotonic()))

    def handle_events(self, parts: list[bytes]) -> None:
        """Handles the data of server-sent events."""
        self._execute(
            self._router.handle_events(self._request_id, self._attempt, parts,
                                       self._clock.monotonic()))

    def handle_body(self, data: bytes) -> None:
        """Handles a part of a body that is not an event stream."""
        self._execute(
            self._router.handle_body(self._request_id, self._attempt, data,
                                     self._clock.monotonic()))

    def handle_end(self, end: routing.AttemptEnd) -> None:
        """Handles the end of the exchange."""
        self.ended = True
        self._execute(
            self._router.handle_end(self._request_id, self._attempt, end,
                                    self._clock.monotonic()))
