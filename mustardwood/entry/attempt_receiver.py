"""The passing of an endpoint's answer to the router."""

import collections.abc

from mustardwood import routing
from mustardwood import timing

ExecuteCommands = collections.abc.Callable[[list[routing.Command]], None]


class AttemptReceiver:
    """Turns what comes from an endpoint into events of the router.

    Attributes:
        ended: Whether the exchange has ended.
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
        """Takes the status and the headers."""
        self._execute(
            self._router.handle_head(self._request_id, self._attempt, status,
                                     headers, self._clock.monotonic()))

    def handle_events(self, parts: list[bytes]) -> None:
        """Takes the data of server-sent events."""
        self._execute(
            self._router.handle_events(self._request_id, self._attempt, parts,
                                       self._clock.monotonic()))

    def handle_body(self, data: bytes) -> None:
        """Takes a part of a body that is no stream of events."""
        self._execute(
            self._router.handle_body(self._request_id, self._attempt, data,
                                     self._clock.monotonic()))

    def handle_end(self, end: routing.AttemptEnd) -> None:
        """Takes the end of the exchange."""
        self.ended = True
        self._execute(
            self._router.handle_end(self._request_id, self._attempt, end,
                                    self._clock.monotonic()))
