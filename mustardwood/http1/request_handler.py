"""What answers the requests of callers."""

import typing

from mustardwood.http1 import connection_limits
from mustardwood.http1 import http_request
from mustardwood.http1 import response_writer


class RequestHandler(typing.Protocol):
    """Takes the requests that connections have read."""

    def find_limits(self) -> connection_limits.ConnectionLimits:
        """Returns the limits in force."""

    def is_stopping(self) -> bool:
        """Returns whether answers must end their connections."""

    def handle_request(self, message: http_request.HttpRequest,
                       channel: response_writer.ResponseWriter) -> None:
        """Answers a request, now or later, through its channel."""

    def add_connection(self, connection: typing.Any) -> None:
        """Learns of a new connection."""

    def remove_connection(self, connection: typing.Any) -> None:
        """Learns that a connection has ended."""
