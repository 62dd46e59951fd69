"""Answers callers' requests."""

import collections.abc
import http

from twisted.internet import protocol

from mustardwood import dispatch
from mustardwood import http1
from mustardwood.platform import headers
from mustardwood.platform import request_decoder
from mustardwood.platform import store_watcher


class RequestServer(protocol.ServerFactory):
    """Starts a forwarding for each request; implements `RequestHandler`.

    Attributes:
        open_requests: Requests without their final answer.
    """

    noisy = False

    def __init__(self, context: dispatch.ForwardingContext,
                 follower: store_watcher.StoreWatcher) -> None:
        self._context = context
        self._follower = follower
        self._connections: set[http1.CallerConnection] = set()
        self._is_stopping = False
        self.open_requests = 0

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: object) -> http1.CallerConnection:
        """See `protocol.ServerFactory`."""
        del addr
        return http1.CallerConnection(self, self._context.scheduler)

    def get_limits(self) -> http1.ConnectionLimits:
        """See `http1.RequestHandler`."""
        configuration = self._follower.configuration
        if configuration is None:
            return http1.ConnectionLimits()
        return configuration.limits

    def is_stopping(self) -> bool:
        """See `http1.RequestHandler`."""
        return self._is_stopping

    def stop(self) -> None:
        """Ends each connection with its next answer."""
        self._is_stopping = True

    def close_idle(self) -> None:
        """Closes the connections that are between requests."""
        for each in list(self._connections):
            if each.is_idle:
                each.close()

    def handle_request(self, message: http1.HttpRequest,
                       channel: http1.ResponseWriter) -> None:
        """See `http1.RequestHandler`."""
        context = self._context
        configuration = self._follower.configuration
        request = request_decoder.decode_request(
            message, None if configuration is None else configuration.table,
            context.clock.monotonic())
        if isinstance(request, dispatch.Refusal):
            self._refuse(message, channel, request)
            return
        if not request.request_id:
            self._refuse(
                message, channel,
                dispatch.Refusal(http.HTTPStatus.BAD_REQUEST,
                                 "The request has no id; send one."))
            return
        tracked = _Tracked(channel, self._forget)
        self.open_requests += 1
        forwarding = dispatch.Forwarding(request, tracked, context)
        channel.set_disconnect_callback(lambda: self._lose_caller(forwarding))
        forwarding.start()

    def add_connection(self, connection: http1.CallerConnection) -> None:
        """See `http1.RequestHandler`."""
        self._connections.add(connection)

    def remove_connection(self, connection: http1.CallerConnection) -> None:
        """See `http1.RequestHandler`."""
        self._connections.discard(connection)

    def _lose_caller(self, forwarding: dispatch.Forwarding) -> None:
        if not forwarding.is_done:
            forwarding.handle_caller_disconnect()
            self._forget()

    def _forget(self) -> None:
        self.open_requests -= 1

    def _refuse(self, message: http1.HttpRequest, channel: http1.ResponseWriter,
                answer: dispatch.Refusal) -> None:
        self._context.journal.write(
            "request_refused",
            request_id=(message.find_header(headers.ATTEMPT_ID) or
                        b"").decode("latin-1"),
            status=int(answer.status),
            reason=answer.message)
        channel.refuse(answer)


class _Tracked:
    """A caller whose request is counted until its final answer."""

    def __init__(self, channel: http1.ResponseWriter,
                 on_end: collections.abc.Callable[[], None]) -> None:
        self._channel = channel
        self._on_end = on_end
        self.begin = channel.begin
        self.write = channel.write

    def finish(self) -> None:
        """Ends the answer as complete."""
        self._channel.finish()
        self._on_end()

    def abort(self) -> None:
        """Closes the connection, so that the answer is not complete."""
        self._channel.abort()
        self._on_end()

    def refuse(self, answer: dispatch.Refusal) -> None:
        """Sends an answer of the router's own."""
        self._channel.refuse(answer)
        self._on_end()
