"""HTTP interface of the engine stand-in."""

import datetime
import http
import os
import typing

import klein
import msgspec
from twisted.internet import defer
from twisted.web import server

from mustardwood import timing
from mustardwood.standins import fault_injector
from mustardwood.standins import json_http
from mustardwood.standins import listening_port
from mustardwood.standins.engine import attempt as attempt_module
from mustardwood.standins.engine import completion_request
from mustardwood.standins.engine import engine as engine_module
from mustardwood.standins.engine import engine_options
from mustardwood.standins.engine import event_stream
from mustardwood.standins.engine import faults as faults_module
from mustardwood.standins.engine import json_response
from mustardwood.standins.engine import load_report
from mustardwood.standins.engine import order_executor

_CRASH_EXIT_CODE = 70
"""Exit code of a process that crashes because of an injected fault."""


class EngineSite:
    """Serves one engine on one address.

    Args:
        reactor: The reactor.
        options: Capacity and speed.
        clock: The clock.
        ip: IP address to listen on.
        port: TCP port; 0 lets the system choose.

    Attributes:
        port: The listening port.
        engine: The engine.
    """

    def __init__(self, reactor: typing.Any,
                 options: engine_options.EngineOptions, clock: timing.Clock,
                 ip: str, port: int) -> None:
        app = klein.Klein()
        self._injector = fault_injector.FaultInjector(faults_module.Faults())
        self.engine = engine_module.Engine(reactor, options, self._injector,
                                           self.crash)
        self.port = listening_port.ListeningPort(reactor,
                                                 server.Site(app.resource()),
                                                 ip, port)
        self._options = options
        self._clock = clock
        self._load_report = load_report.LoadReport(reactor, self.engine, clock,
                                                   options.load_lag_seconds)
        self._orders = order_executor.OrderExecutor(options.checks_fencing)
        self._add_routes(app)

    def _add_routes(self, app: klein.Klein) -> None:
        route = app.route
        route("/v1/chat/completions",
              methods=["POST"])(self._handle_chat_completion)
        route("/v1/completions", methods=["POST"])(self._handle_completion)
        route("/v1/models", methods=["GET"])(self._show_models)
        route("/cancel", methods=["POST"])(self._handle_cancel)
        route("/load", methods=["GET"])(self._show_load)
        route("/healthz", methods=["GET"])(self._show_health)
        route("/log", methods=["GET"])(self._show_log)
        route("/orders", methods=["POST"])(self._handle_order)
        route("/orders", methods=["GET"])(self._show_orders)
        route("/switch", methods=["POST"])(self._handle_switch)

    def crash(self) -> None:
        """Crashes in the way that the fault ``crash_mode`` selects.

        Either ends the process, or resets all connections and refuses new ones
        for ``crash_seconds``.
        """
        faults = self._injector.faults
        if faults.crash_mode == faults_module.CrashMode.EXIT:
            os._exit(_CRASH_EXIT_CODE)
        self.engine.fail_all()
        self.port.drop_connections()
        self._refuse_connections_for(faults.crash_seconds)

    async def close(self) -> None:
        """Stops listening and resets all streams and connections."""
        self._load_report.stop()
        await self.port.close()
        self.engine.fail_all()
        self.port.drop_connections()

    def _refuse_connections_for(self, seconds: float) -> None:
        duration = datetime.timedelta(seconds=seconds)
        defer.ensureDeferred(self.port.close_temporarily(duration))

    def _handle_chat_completion(self, request: server.Request) -> typing.Any:
        return self._start_completion(request, is_chat=True)

    def _handle_completion(self, request: server.Request) -> typing.Any:
        return self._start_completion(request, is_chat=False)

    def _start_completion(self, request: server.Request,
                          is_chat: bool) -> typing.Any:
        text = json_http.read_body(request)
        try:
            completion = completion_request.CompletionRequest(
                request, text, is_chat)
        except (ValueError, KeyError, msgspec.MsgspecError) as error:
            return _make_error_response(request, http.HTTPStatus.BAD_REQUEST,
                                        str(error))
        if completion.body.model not in self._options.models:
            return _make_error_response(request, http.HTTPStatus.NOT_FOUND,
                                        f"no model {completion.body.model}")
        tokens = completion.list_remaining_tokens()
        resumes = self._injector.faults.resumes
        if tokens is None or (completion.is_resumed and not resumes):
            return _make_error_response(request, http.HTTPStatus.CONFLICT,
                                        "can't resume from that text")
        if self.engine.is_full or self._injector.take("refuse_requests"):
            request.setHeader("x-not-started", "1")
            return _make_error_response(request,
                                        http.HTTPStatus.SERVICE_UNAVAILABLE,
                                        "the queue is full")
        return self._start_attempt(request, completion, tokens, is_chat,
                                   self._contains_poison_word(text))

    def _contains_poison_word(self, text: bytes) -> bool:
        word = self._injector.faults.poison_word
        return bool(word) and word.encode() in text

    def _start_attempt(self, request: server.Request,
                       completion: completion_request.CompletionRequest,
                       tokens: tuple[str, ...], is_chat: bool,
                       is_poison: bool) -> defer.Deferred[bytes]:
        sink: event_stream.EventStream | json_response.JsonResponse
        if completion.body.stream:
            sink = event_stream.EventStream(request, completion.attempt_id,
                                            completion.body.model, is_chat,
                                            completion.has_usage)
        else:
            sink = json_response.JsonResponse(request, completion.attempt_id,
                                              completion.body.model, is_chat)
        attempt = attempt_module.Attempt(completion.request_id,
                                         completion.attempt_id,
                                         completion.priority,
                                         completion.prompt_words, tokens,
                                         completion.finish_reason, is_poison,
                                         sink)
        request.notifyFinish().addErrback(
            lambda _: self.engine.cancel(completion.attempt_id))
        self.engine.submit(attempt)
        return sink.done

    def _show_models(self, request: server.Request) -> bytes:
        models = [{
            "id": name,
            "object": "model",
            "created": 0,
            "owned_by": "stand-in",
        } for name in self._options.models]
        return json_http.make_json_response(request, {
            "object": "list",
            "data": models
        })

    def _handle_cancel(self, request: server.Request) -> bytes:
        attempt_id = json_http.read_json(request)["attempt_id"]
        attempt = self.engine.cancel(attempt_id)
        if attempt is not None:
            attempt.sink.truncate()
        return json_http.make_json_response(request,
                                            {"cancelled": attempt is not None})

    def _show_load(self, request: server.Request) -> bytes:
        return json_http.make_json_response(request,
                                            self._load_report.make_body())

    def _show_health(self, request: server.Request) -> bytes:
        return json_http.make_json_response(request, {"healthy": True})

    def _show_log(self, request: server.Request) -> bytes:
        entries = [{
            "request_id": attempt.request_id,
            "attempt_id": attempt.attempt_id,
            "state": attempt.state,
        } for attempt in self.engine.log]
        return json_http.make_json_response(request, entries)

    def _handle_order(self, request: server.Request) -> bytes:
        try:
            order = msgspec.json.decode(json_http.read_body(request),
                                        type=order_executor.Order)
        except msgspec.MsgspecError as error:
            return _make_error_response(request, http.HTTPStatus.BAD_REQUEST,
                                        str(error))
        if not self._orders.execute(order, self._clock.now()):
            return _make_error_response(request,
                                        http.HTTPStatus.PRECONDITION_FAILED,
                                        "the order is old")
        return json_http.make_json_response(request,
                                            {"order_id": order.order_id})

    def _show_orders(self, request: server.Request) -> bytes:
        return json_http.make_json_response(
            request, {
                "loaded": sorted(self._orders.loaded),
                "carried_out": msgspec.to_builtins(self._orders.executed),
            })

    def _handle_switch(self, request: server.Request) -> bytes:
        body = json_http.read_json(request)
        crashes = body.pop("crash", False)
        refuse_seconds = body.pop("refuse_seconds", 0.0)
        self._injector.update(body)
        if refuse_seconds:
            self._refuse_connections_for(refuse_seconds)
        if crashes:
            self.crash()
        return json_http.make_json_response(
            request, msgspec.to_builtins(self._injector.faults))


def _make_error_response(request: server.Request, status: int,
                         message: str) -> bytes:
    return json_http.make_json_response(request,
                                        {"error": {
                                            "message": message
                                        }}, status)
