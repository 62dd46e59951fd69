"""HTTP of the service stand-in."""

import http
import typing

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import task
from twisted.web import server

from mustardwood.standins import fault_injector
from mustardwood.standins import json_http
from mustardwood.standins import listening_port
from mustardwood.standins.service import faults as faults_module
from mustardwood.standins.service import service_call

_ECHO_STATUS = "x-echo-status"
"""Request header that names the status of the answer."""

_ECHO_HEADER = "x-echo-"
"""Start of the request headers that the answer repeats."""


class ServiceSite:
    """Answers each call with what it got, and logs it.

    Args:
        reactor: The reactor.
        ip: IP address to listen on.
        port: TCP port; 0 lets the system choose.

    Attributes:
        port: The port.
        log: Calls that ran, in their order.
    """

    def __init__(self, reactor: typing.Any, ip: str, port: int) -> None:
        app = klein.Klein()
        self.log: list[service_call.ServiceCall] = []
        self.port = listening_port.ListeningPort(reactor,
                                                 server.Site(app.resource()),
                                                 ip, port)
        self._reactor = reactor
        self._injector = fault_injector.FaultInjector(faults_module.Faults())
        app.route("/log", methods=["GET"])(self._show_log)
        app.route("/healthz", methods=["GET"])(self._show_health)
        app.route("/switch", methods=["POST"])(self._change)
        app.route("/", branch=True)(self._serve)

    async def _serve(self, request: server.Request) -> typing.Any:
        if self._injector.take("refuse_calls"):
            request.setHeader("x-not-started", "1")
            return json_http.answer_json(request, {},
                                         http.HTTPStatus.SERVICE_UNAVAILABLE)
        call = _read_call(request)
        self.log.append(call)
        if self._injector.faults.slow_seconds:
            await task.deferLater(self._reactor,
                                  self._injector.faults.slow_seconds)
        answer = _make_answer(request, call)
        if self._injector.take("lose_answers"):
            return await self._reset(request)
        if self._injector.take("crash_answers"):
            request.setHeader("content-length", str(len(answer)))
            request.write(answer[:len(answer) // 2])
            await task.deferLater(self._reactor, 0.0)
            return await self._reset(request)
        return answer

    def _reset(self, request: server.Request) -> defer.Deferred[bytes]:
        json_http.reset_connection(request)
        return defer.Deferred()

    def _show_log(self, request: server.Request) -> bytes:
        return json_http.answer_json(request, msgspec.to_builtins(self.log))

    def _show_health(self, request: server.Request) -> bytes:
        return json_http.answer_json(request, {"healthy": True})

    def _change(self, request: server.Request) -> bytes:
        self._injector.change(json_http.read_json(request))
        return json_http.answer_json(request,
                                     msgspec.to_builtins(self._injector.faults))


def _read_call(request: server.Request) -> service_call.ServiceCall:
    return service_call.ServiceCall(
        request_id=request.getHeader("x-request-id") or "",
        attempt_id=request.getHeader("x-attempt-id") or "",
        idempotency_key=request.getHeader("idempotency-key") or "",
        method=request.method.decode(),
        path=request.uri.decode(),
        body=json_http.read_body(request).decode(errors="replace"))


def _make_answer(request: server.Request,
                 call: service_call.ServiceCall) -> bytes:
    status = int(request.getHeader(_ECHO_STATUS) or http.HTTPStatus.OK)
    for name, values in request.requestHeaders.getAllRawHeaders():
        if name.decode().lower().startswith(_ECHO_HEADER):
            request.responseHeaders.setRawHeaders(name, values)
    body = {"method": call.method, "path": call.path, "body": call.body}
    return json_http.answer_json(request, body, status)
