"""HTTP interface of the service stand-in."""

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

_ECHO_STATUS_HEADER = "x-echo-status"
"""Request header with the status that the response is to have."""

_ECHO_HEADER_PREFIX = "x-echo-"
"""Prefix of the request headers that are copied into the response."""


class ServiceSite:
    """Echoes each call in its response and logs it.

    Args:
        reactor: The reactor.
        ip: IP address to listen on.
        port: TCP port; 0 lets the system choose.

    Attributes:
        port: The listening port.
        log: Calls that were executed, in order of arrival.
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
        app.route("/switch", methods=["POST"])(self._handle_switch)
        app.route("/", branch=True)(self._handle_call)

    async def _handle_call(self, request: server.Request) -> typing.Any:
        if self._injector.take("refuse_calls"):
            request.setHeader("x-not-started", "1")
            return json_http.make_json_response(
                request, {}, http.HTTPStatus.SERVICE_UNAVAILABLE)
        call = _read_call(request)
        self.log.append(call)
        if self._injector.faults.slow_seconds:
            await task.deferLater(self._reactor,
                                  self._injector.faults.slow_seconds)
        response = _make_response(request, call)
        if self._injector.take("lose_answers"):
            return await self._reset_connection(request)
        if self._injector.take("crash_answers"):
            request.setHeader("content-length", str(len(response)))
            request.write(response[:len(response) // 2])
            await task.deferLater(self._reactor, 0.0)
            return await self._reset_connection(request)
        return response

    def _reset_connection(self,
                          request: server.Request) -> defer.Deferred[bytes]:
        json_http.reset_connection(request)
        return defer.Deferred()

    def _show_log(self, request: server.Request) -> bytes:
        return json_http.make_json_response(request,
                                            msgspec.to_builtins(self.log))

    def _show_health(self, request: server.Request) -> bytes:
        return json_http.make_json_response(request, {"healthy": True})

    def _handle_switch(self, request: server.Request) -> bytes:
        self._injector.update(json_http.read_json(request))
        return json_http.make_json_response(
            request, msgspec.to_builtins(self._injector.faults))


def _read_call(request: server.Request) -> service_call.ServiceCall:
    return service_call.ServiceCall(
        request_id=request.getHeader("x-request-id") or "",
        attempt_id=request.getHeader("x-attempt-id") or "",
        idempotency_key=request.getHeader("idempotency-key") or "",
        method=request.method.decode(),
        path=request.uri.decode(),
        body=json_http.read_body(request).decode(errors="replace"))


def _make_response(request: server.Request,
                   call: service_call.ServiceCall) -> bytes:
    status = int(request.getHeader(_ECHO_STATUS_HEADER) or http.HTTPStatus.OK)
    for name, values in request.requestHeaders.getAllRawHeaders():
        if name.decode().lower().startswith(_ECHO_HEADER_PREFIX):
            request.responseHeaders.setRawHeaders(name, values)
    body = {"method": call.method, "path": call.path, "body": call.body}
    return json_http.make_json_response(request, body, status)
