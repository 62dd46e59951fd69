"""The interface of a client of endpoints."""

import typing

from mustardwood import routing


class ResponseReceiver(typing.Protocol):
    """Takes what comes back from an endpoint; nothing after `handle_end`."""

    def handle_head(self, status: int, headers: tuple[tuple[str, str],
                                                      ...]) -> None:
        """Takes the status and the headers, names in lower case."""

    def handle_events(self, parts: list[bytes]) -> None:
        """Takes the data of server-sent events."""

    def handle_body(self, data: bytes) -> None:
        """Takes a part of a body that is no stream of events."""

    def handle_end(self, end: routing.AttemptEnd) -> None:
        """Takes the end of the exchange."""


class Exchange(typing.Protocol):
    """One request to an endpoint, under way."""

    def cancel(self) -> None:
        """Closes the connection; the receiver is told nothing more."""


class EndpointClient(typing.Protocol):
    """Sends requests to endpoints."""

    def start_attempt(self, command: routing.StartAttempt,
                      receiver: ResponseReceiver) -> Exchange:
        """Sends a request."""
