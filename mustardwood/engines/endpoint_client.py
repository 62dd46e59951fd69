"""Interface of a client for endpoints."""

import typing

from mustardwood import routing


class ResponseReceiver(typing.Protocol):
    """Receives the response of an endpoint.

    No method is called after `handle_end`.
    """

    def handle_head(self, status: int, headers: tuple[tuple[str, str],
                                                      ...]) -> None:
        """Handles the status and the headers, with names in lower case."""

    def handle_events(self, parts: list[bytes]) -> None:
        """Handles the data of server-sent events."""

    def handle_body(self, data: bytes) -> None:
        """Handles a part of a body that is not an event stream."""

    def handle_end(self, end: routing.AttemptEnd) -> None:
        """Handles the end of the exchange."""


class Exchange(typing.Protocol):
    """A request to an endpoint and its response, in progress."""

    def cancel(self) -> None:
        """Closes the connection; the receiver gets no further calls."""


class EndpointClient(typing.Protocol):
    """Sends requests to endpoints."""

    def start_attempt(self, command: routing.StartAttempt,
                      receiver: ResponseReceiver) -> Exchange:
        """Sends the request of an attempt.

        Args:
            command: The endpoint and the request.
            receiver: Receives the response. Its methods may be called before
                this method returns.
        """
