"""The interface between connections and the code that handles requests."""

import typing

from mustardwood import dispatch
from mustardwood.http1 import body_budget
from mustardwood.http1 import chunk_turns
from mustardwood.http1 import connection_limits
from mustardwood.http1 import http_request
from mustardwood.http1 import response_writer


class RequestHandler(typing.Protocol):
    """Handles the requests that `CallerConnection` has received."""

    def get_limits(self) -> connection_limits.ConnectionLimits:
        """Returns the limits that apply to connections now."""

    def get_body_budget(self) -> body_budget.BodyBudget:
        """Returns the bound on the bodies of all requests together."""

    def get_response_memory(self) -> dispatch.ResponseMemory:
        """Returns the bound on the buffers of all responses together."""

    def get_chunk_turns(self) -> chunk_turns.ChunkTurns:
        """Returns the turns in which all connections decode chunks."""

    def is_stopping(self) -> bool:
        """Returns whether to close each connection after its next response."""

    def handle_request(self, request: http_request.HttpRequest,
                       writer: response_writer.ResponseWriter) -> None:
        """Handles a request and responds through `writer`, now or later."""

    def add_connection(self, connection: typing.Any) -> None:
        """Registers a connection that was opened."""

    def remove_connection(self, connection: typing.Any, reason: str) -> None:
        """Unregisters a connection that has ended for a reason."""
