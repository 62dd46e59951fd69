"""The HTTP interface for callers."""

import collections.abc
import http
import typing
import urllib.parse

import msgspec
from twisted.internet import defer
from twisted.python import failure
from twisted.web import server
from werkzeug import exceptions

from mustardwood import errors
from mustardwood import routing
from mustardwood import runtime
from mustardwood import timing
from mustardwood.entry import limited_request
from mustardwood.entry import request_decoder
from mustardwood.entry import response_writer

_SERVICES_PREFIX = "/services/"
_log = runtime.make_logger("entry")

ResponseWritten = defer.Deferred
"""Fires when the response has been written."""


class RequestHandler(typing.Protocol):
    """Handles the requests that `CallersSite` has decoded."""

    @property
    def classifier(self) -> routing.Classifier | None:
        """Look-up in the current configuration; None before the first."""

    def is_draining(self) -> bool:
        """Returns whether a graceful shutdown is in progress."""

    def handle_request(self, request: routing.CallerRequest,
                       writer: response_writer.ResponseWriter) -> None:
        """Handles a valid request.

        Args:
            request: The request.
            writer: Writes the response.
        """

    def handle_caller_disconnect(self, request_id: str) -> None:
        """Handles the loss of a caller's connection."""


class CallersSite:
    """The HTTP routes for callers.

    Attributes:
        app: Klein application with the routes.
    """

    def __init__(self, request_handler: RequestHandler,
                 clock: timing.Clock) -> None:
        # Importing klein installs a reactor, but the launcher has to choose it.
        import klein
        self.app = klein.Klein()
        self.app.url_map.merge_slashes = False
        self._request_handler = request_handler
        self._clock = clock
        self.app.route("/v1/chat/completions",
                       methods=["POST"])(self._handle_chat_completion)
        self.app.route("/v1/completions",
                       methods=["POST"])(self._handle_text_completion)
        self.app.route("/v1/models", methods=["GET"])(self._list_models)
        self.app.route("/v1/models/<path:name>",
                       methods=["GET"])(self._describe_model)
        self.app.route(_SERVICES_PREFIX, branch=True)(self._handle_service_call)
        self.app.route("/", branch=True)(self._refuse_unknown_path)
        register_error_handler: typing.Any = self.app.handle_errors
        register_error_handler(exceptions.HTTPException)(
            self._handle_http_exception)
        register_error_handler(Exception)(self._handle_internal_error)

    def make_site(self, reactor: typing.Any) -> limited_request.LimitedSite:
        """Returns the site that serves the routes."""
        return limited_request.LimitedSite(self.app.resource(), reactor)

    def _handle_chat_completion(self,
                                request: server.Request) -> ResponseWritten:
        return self._handle_completion(request, routing.RequestKind.CHAT)

    def _handle_text_completion(self,
                                request: server.Request) -> ResponseWritten:
        return self._handle_completion(request, routing.RequestKind.COMPLETION)

    def _handle_completion(self, request: server.Request,
                           kind: routing.RequestKind) -> ResponseWritten:

        def decode(classifier: routing.Classifier,
                   raw: request_decoder.RawRequest) -> routing.CallerRequest:
            return request_decoder.decode_completion(classifier, kind, raw)

        return self._decode_and_route(request, decode)

    def _handle_service_call(self, request: server.Request) -> ResponseWritten:

        def decode(classifier: routing.Classifier,
                   raw: request_decoder.RawRequest) -> routing.CallerRequest:
            name, path = split_service_path(request.uri)
            return request_decoder.decode_service_call(classifier, name, path,
                                                       raw)

        return self._decode_and_route(request, decode)

    def _decode_and_route(
        self, request: server.Request, decode: collections.abc.Callable[
            [routing.Classifier, request_decoder.RawRequest],
            routing.CallerRequest]
    ) -> ResponseWritten:
        writer = self._make_writer(request)
        try:
            classifier = request_decoder.require_classifier(
                self._request_handler.classifier)
            caller_request = decode(classifier, self._make_raw_request(request))
        except errors.RequestError as error:
            writer.send_error(error)
            return writer.done
        self._watch_connection(request, writer)
        self._request_handler.handle_request(caller_request, writer)
        return writer.done

    def _list_models(self, request: server.Request) -> ResponseWritten:
        return self._send_json(request, request_decoder.list_models)

    def _describe_model(self, request: server.Request,
                        name: str) -> ResponseWritten:

        def describe(classifier: routing.Classifier) -> dict[str, typing.Any]:
            return request_decoder.describe_model(
                classifier.find_model(name).name)

        return self._send_json(request, describe)

    def _send_json(
        self, request: server.Request,
        make_body: collections.abc.Callable[[routing.Classifier],
                                            dict[str, typing.Any]]
    ) -> ResponseWritten:
        writer = self._make_writer(request)
        raw = self._make_raw_request(request)
        try:
            classifier = request_decoder.require_classifier(
                self._request_handler.classifier)
            classifier.find_organisation(raw.find_header("authorization"))
            body = msgspec.json.encode(make_body(classifier))
        except errors.RequestError as error:
            writer.send_error(error)
        else:
            writer.send_response(http.HTTPStatus.OK,
                                 (("content-type", "application/json"),), body)
        return writer.done

    def _refuse_unknown_path(self, request: server.Request) -> ResponseWritten:
        writer = self._make_writer(request)
        writer.send_error(
            errors.RequestError(
                errors.RequestCode.UNKNOWN_PATH,
                "there is nothing at this path and method.",
                "Use POST /v1/chat/completions, POST "
                "/v1/completions, GET /v1/models or "
                "/services/NAME/PATH."))
        return writer.done

    def _handle_http_exception(self, request: server.Request,
                               reason: failure.Failure) -> ResponseWritten:
        del reason
        return self._refuse_unknown_path(request)

    def _handle_internal_error(self, request: server.Request,
                               reason: failure.Failure) -> ResponseWritten:
        _log.error("internal error while handling a request: %s",
                   reason.getTraceback())
        writer = self._make_writer(request)
        writer.send_error(
            errors.RequestError(errors.RequestCode.OUTCOME_UNKNOWN,
                                "the router failed on this request.",
                                "Tell the operators the id of the request.",
                                ran=errors.RunState.OUTCOME_UNKNOWN))
        return writer.done

    def _make_writer(self,
                     request: server.Request) -> response_writer.ResponseWriter:
        limited = typing.cast(limited_request.LimitedRequest, request)
        return response_writer.ResponseWriter(request, limited.request_id,
                                              self._request_handler.is_draining)

    def _make_raw_request(
            self, request: server.Request) -> request_decoder.RawRequest:
        limited = typing.cast(limited_request.LimitedRequest, request)
        headers = tuple(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, values in request.requestHeaders.getAllRawHeaders()
            for value in values)
        assert request.content is not None
        return request_decoder.RawRequest(limited.request_id,
                                          request.method.decode("ascii"),
                                          headers, request.content.read(),
                                          self._clock.monotonic())

    def _watch_connection(self, request: server.Request,
                          writer: response_writer.ResponseWriter) -> None:
        limited = typing.cast(limited_request.LimitedRequest, request)

        def on_disconnect(_: object) -> None:
            writer.handle_disconnect()
            self._request_handler.handle_caller_disconnect(limited.request_id)

        request.notifyFinish().addErrback(on_disconnect)


def split_service_path(uri: bytes) -> tuple[str, str]:
    """Splits a URI into the service's name and the path sent to the service.

    Args:
        uri: Path and query as sent by the caller.

    Returns:
        The decoded name and the rest of the URI, which is not decoded. A
        missing path becomes ``/``.

    Examples:
        >>> split_service_path(b"/services/invoices/a%20b?x=1")
        ('invoices', '/a%20b?x=1')
        >>> split_service_path(b"/services/invoices?x=1")
        ('invoices', '/?x=1')
    """
    rest = uri.decode("ascii").removeprefix(_SERVICES_PREFIX)
    path, separator, query = rest.partition("?")
    name, slash, tail = path.partition("/")
    return urllib.parse.unquote(name), (slash or "/") + tail + separator + query
