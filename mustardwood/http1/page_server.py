"""An HTTP server for generated pages, such as metrics and readiness."""

import collections.abc
import dataclasses
import http
import typing

from twisted.internet import protocol

from mustardwood import dispatch
from mustardwood.http1 import body_budget
from mustardwood.http1 import caller_connection
from mustardwood.http1 import chunk_turns
from mustardwood.http1 import connection_limits
from mustardwood.http1 import http_request
from mustardwood.http1 import response_writer


@dataclasses.dataclass(frozen=True)
class Page:
    """A generated response.

    Attributes:
        status: HTTP status.
        body: The response's body.
        content_type: Media type of the body.
    """

    status: http.HTTPStatus
    body: bytes
    content_type: str = "text/plain; charset=utf-8"


_MAX_BODY_BYTES = 64 * 1024
"""Size of the bodies that are received at the same time; pages need none."""
_Pages = collections.abc.Mapping[str, collections.abc.Callable[[], Page]]


class PageServer(protocol.ServerFactory):
    """Serves generated pages by path, over persistent connections."""

    noisy = False

    def __init__(self, scheduler: dispatch.Scheduler, pages: _Pages) -> None:
        """Creates the factory.

        Args:
            scheduler: Schedules the timeouts of connections.
            pages: Maps each path to the function that generates its page.
        """
        self._scheduler = scheduler
        self._pages = pages
        self._body_budget = body_budget.BodyBudget(_MAX_BODY_BYTES)
        self._response_memory = dispatch.ResponseMemory()
        self._chunk_turns = chunk_turns.ChunkTurns(scheduler)

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: object) -> caller_connection.CallerConnection:
        """See `protocol.ServerFactory`."""
        del addr
        return caller_connection.CallerConnection(self, self._scheduler)

    def get_limits(self) -> connection_limits.ConnectionLimits:
        """See `request_handler.RequestHandler`."""
        return connection_limits.ConnectionLimits()

    def get_body_budget(self) -> body_budget.BodyBudget:
        """See `request_handler.RequestHandler`."""
        return self._body_budget

    def get_response_memory(self) -> dispatch.ResponseMemory:
        """See `request_handler.RequestHandler`."""
        return self._response_memory

    def get_chunk_turns(self) -> chunk_turns.ChunkTurns:
        """See `request_handler.RequestHandler`."""
        return self._chunk_turns

    def is_stopping(self) -> bool:
        """See `request_handler.RequestHandler`."""
        return False

    def handle_request(self, request: http_request.HttpRequest,
                       writer: response_writer.ResponseWriter) -> None:
        """See `request_handler.RequestHandler`."""
        build = self._pages.get(request.target.partition("?")[0])
        page = (build() if build is not None else Page(
            http.HTTPStatus.NOT_FOUND, b"No page has this path."))
        writer.begin(page.status,
                     [(b"Content-Type", page.content_type.encode())],
                     len(page.body))
        writer.write(page.body)
        writer.finish()

    def add_connection(self, connection: typing.Any) -> None:
        """See `request_handler.RequestHandler`."""

    def remove_connection(self, connection: typing.Any, reason: str) -> None:
        """See `request_handler.RequestHandler`."""
