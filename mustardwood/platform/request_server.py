"""Accepts callers' connections and starts forwarding their requests."""

import collections.abc
import http

from twisted.internet import protocol

from mustardwood import dispatch
from mustardwood import http1
from mustardwood.platform import headers
from mustardwood.platform import request_decoder
from mustardwood.platform import store_watcher


class RequestServer(protocol.ServerFactory):
    """Forwards each request; implements `http1.RequestHandler`."""

    noisy = False

    def __init__(
        self, context: dispatch.ForwardingContext,
        watcher: store_watcher.StoreWatcher, body_budget: http1.BodyBudget,
        confirm_refusal: collections.abc.Callable[[dispatch.Refusal],
                                                  dispatch.Refusal]
    ) -> None:
        """Creates a server without connections.

        Args:
            context: What the forwarding of requests needs.
            watcher: Has the present configuration.
            body_budget: Bounds the memory of request bodies.
            confirm_refusal: See `authorizer.Authorizer`.
        """
        self._confirm_refusal = confirm_refusal
        self._context = context
        self._watcher = watcher
        self._connections: set[http1.CallerConnection] = set()
        self._body_budget = body_budget
        self._chunk_turns = http1.ChunkTurns(context.scheduler)
        self._open: set[dispatch.Forwarding] = set()
        self._is_stopping = False

    @property
    def open_requests(self) -> int:
        """Number of requests without a complete response."""
        return len(self._open)

    @property
    def has_connections(self) -> bool:
        """Whether a caller is connected, or a response is still being sent."""
        return bool(self._connections)

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: object) -> http1.CallerConnection:
        """See `protocol.ServerFactory`."""
        del addr
        return http1.CallerConnection(self, self._context.scheduler)

    def get_limits(self) -> http1.ConnectionLimits:
        """See `http1.RequestHandler`."""
        configuration = self._watcher.configuration
        if configuration is None:
            return http1.ConnectionLimits()
        return configuration.limits

    def get_body_budget(self) -> http1.BodyBudget:
        """See `http1.RequestHandler`."""
        return self._body_budget

    def get_response_memory(self) -> dispatch.ResponseMemory:
        """See `http1.RequestHandler`."""
        return self._context.response_memory

    def get_chunk_turns(self) -> http1.ChunkTurns:
        """See `http1.RequestHandler`."""
        return self._chunk_turns

    def is_stopping(self) -> bool:
        """See `http1.RequestHandler`."""
        return self._is_stopping

    def stop(self) -> None:
        """Starts to close each connection after its next response."""
        self._is_stopping = True

    def close_idle_connections(self) -> None:
        """Closes the connections without a request in progress."""
        for each in list(self._connections):
            if each.is_idle:
                each.close()

    def end_requests(self) -> None:
        """Ends all open requests, because the process is about to exit."""
        for each in list(self._open):
            each.handle_exit()

    def handle_request(self, http_request: http1.HttpRequest,
                       writer: http1.ResponseWriter) -> None:
        """See `http1.RequestHandler`."""
        context = self._context
        configuration = self._watcher.configuration
        request = request_decoder.decode_request(
            http_request,
            None if configuration is None else configuration.table,
            context.clock.monotonic())
        if isinstance(request, dispatch.Refusal):
            self._refuse(http_request, writer, self._confirm_refusal(request))
            return
        if not request.request_id:
            self._refuse(
                http_request, writer,
                dispatch.Refusal(http.HTTPStatus.BAD_REQUEST,
                                 "The request has no id; send one."))
            return
        caller = _TrackedCaller(writer, lambda: self._open.discard(forwarding))
        forwarding = dispatch.Forwarding(request, caller, context)
        self._open.add(forwarding)
        writer.set_disconnect_callback(
            lambda: self._handle_disconnect(forwarding))
        writer.set_flow_callbacks(forwarding.pause, forwarding.resume)
        try:
            forwarding.start()
        except Exception as error:  # pylint: disable=broad-exception-caught
            # Otherwise the caller would get no answer.
            forwarding.handle_error(error)

    def add_connection(self, connection: http1.CallerConnection) -> None:
        """See `http1.RequestHandler`."""
        self._connections.add(connection)

    def remove_connection(self, connection: http1.CallerConnection,
                          reason: str) -> None:
        """See `http1.RequestHandler`."""
        self._connections.discard(connection)
        if connection.unanswered_bytes:
            self._context.journal.write(
                "request_unanswered",
                received_bytes=connection.unanswered_bytes,
                is_stopping=self._is_stopping,
                reason=reason)

    def _handle_disconnect(self, forwarding: dispatch.Forwarding) -> None:
        if not forwarding.is_done:
            forwarding.handle_caller_disconnect()
            self._open.discard(forwarding)

    def _refuse(self, http_request: http1.HttpRequest,
                writer: http1.ResponseWriter,
                refusal: dispatch.Refusal) -> None:
        self._context.journal.write(
            "request_refused",
            request_id=(http_request.find_header(headers.ATTEMPT_ID) or
                        b"").decode("latin-1"),
            status=int(refusal.status),
            reason=refusal.message)
        writer.refuse(refusal)


class _TrackedCaller:
    """A caller that reports the end of its response.

    It implements `dispatch.Caller`.
    """

    def __init__(self, writer: http1.ResponseWriter,
                 on_end: collections.abc.Callable[[], None]) -> None:
        self._writer = writer
        self._on_end = on_end
        self.begin = writer.begin
        self.write = writer.write

    def finish(self) -> None:
        """Completes the response."""
        self._writer.finish()
        self._on_end()

    def abort(self) -> None:
        """Resets the connection, so that the caller sees a truncated response.
        """
        self._writer.abort()
        self._on_end()

    def refuse(self, refusal: dispatch.Refusal) -> None:
        """Sends an error response of the router itself."""
        self._writer.refuse(refusal)
        self._on_end()
