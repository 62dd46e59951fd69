"""Answers the balancer's question whether this VM takes callers."""

import collections.abc
import http
import typing

from twisted.internet import protocol

from mustardwood import dispatch
from mustardwood import http1
from mustardwood.dispatch import forwarding_context


class Readiness(protocol.ServerFactory):
    """Serves one page over kept connections; implements `CallerService`."""

    noisy = False

    def __init__(self, scheduler: forwarding_context.Scheduler,
                 find_obstacle: collections.abc.Callable[[], str]) -> None:
        """Creates the factory.

        Args:
            scheduler: Delays calls.
            find_obstacle: Returns why the VM is not ready; empty if it is.
        """
        self._scheduler = scheduler
        self._find_obstacle = find_obstacle

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: object) -> http1.CallerConnection:
        """See `protocol.ServerFactory`."""
        del addr
        return http1.CallerConnection(self, self._scheduler)

    def find_limits(self) -> http1.ConnectionLimits:
        """See `http1.CallerService`."""
        return http1.ConnectionLimits()

    def is_stopping(self) -> bool:
        """See `http1.CallerService`."""
        return False

    def handle_request(self, message: http1.Message,
                       channel: http1.AnswerChannel) -> None:
        """See `http1.CallerService`."""
        del message
        obstacle = self._find_obstacle()
        status = (http.HTTPStatus.SERVICE_UNAVAILABLE
                  if obstacle else http.HTTPStatus.OK)
        channel.refuse(dispatch.Refusal(status, obstacle or "ready"))

    def add_connection(self, connection: typing.Any) -> None:
        """See `http1.CallerService`."""

    def remove_connection(self, connection: typing.Any) -> None:
        """See `http1.CallerService`."""
