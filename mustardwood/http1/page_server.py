"""Small pages for other machines."""

import collections.abc
import dataclasses
import http
import typing

from twisted.internet import protocol

from mustardwood import dispatch
from mustardwood.http1 import caller_connection
from mustardwood.http1 import connection_limits
from mustardwood.http1 import http_request
from mustardwood.http1 import response_writer


@dataclasses.dataclass(frozen=True)
class Page:
    """What a page holds.

    Attributes:
        status: HTTP status.
        body: The content.
        content_type: Its media type.
    """

    status: http.HTTPStatus
    body: bytes
    content_type: str = "text/plain; charset=utf-8"


_Pages = collections.abc.Mapping[str, collections.abc.Callable[[], Page]]


class PageServer(protocol.ServerFactory):
    """Serves pages by path over kept connections."""

    noisy = False

    def __init__(self, scheduler: dispatch.Scheduler, pages: _Pages) -> None:
        """Creates the factory.

        Args:
            scheduler: Delays calls.
            pages: Functions that return the pages, by path.
        """
        self._scheduler = scheduler
        self._pages = pages

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: object) -> caller_connection.CallerConnection:
        """See `protocol.ServerFactory`."""
        del addr
        return caller_connection.CallerConnection(self, self._scheduler)

    def find_limits(self) -> connection_limits.ConnectionLimits:
        """See `RequestHandler`."""
        return connection_limits.ConnectionLimits()

    def is_stopping(self) -> bool:
        """See `RequestHandler`."""
        return False

    def handle_request(self, message: http_request.HttpRequest,
                       channel: response_writer.ResponseWriter) -> None:
        """See `RequestHandler`."""
        build = self._pages.get(message.target.partition("?")[0])
        page = (build() if build is not None else Page(
            http.HTTPStatus.NOT_FOUND, b"No page has this path."))
        channel.begin(page.status,
                      [(b"Content-Type", page.content_type.encode())],
                      len(page.body))
        channel.write(page.body)
        channel.finish()

    def add_connection(self, connection: typing.Any) -> None:
        """See `RequestHandler`."""

    def remove_connection(self, connection: typing.Any) -> None:
        """See `RequestHandler`."""
