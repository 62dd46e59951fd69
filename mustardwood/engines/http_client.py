"""HTTP client for endpoints."""

import typing

from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http_headers

from mustardwood import routing
from mustardwood import runtime
from mustardwood.engines import bytes_producer
from mustardwood.engines import endpoint_client
from mustardwood.engines import http_exchange

_CONNECT_TIMEOUT_SECONDS = 2.0
_log = runtime.make_logger("engines")


class HttpClient:
    """Sends each request on a new connection.

    Connections are not reused, so that neither a cancelled response nor an idle
    connection that the endpoint closes can affect another request.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._agent = client.Agent(reactor,
                                   connectTimeout=_CONNECT_TIMEOUT_SECONDS)

    def start_attempt(
            self, command: routing.StartAttempt,
            receiver: endpoint_client.ResponseReceiver
    ) -> endpoint_client.Exchange:
        """Sends the request of an attempt."""
        headers = http_headers.Headers()
        for name, value in command.headers:
            headers.addRawHeader(name.encode("latin-1"),
                                 value.encode("latin-1"))
        url = command.endpoint.url.rstrip("/") + command.path
        body = bytes_producer.make_producer(command.body)
        exchange = http_exchange.HttpExchange(
            receiver, expects_events=command.expects_events)
        exchange.track_response(
            self._send_request(command.method, url, headers, body))
        return exchange

    def _send_request(self, method: str, url: str,
                      headers: http_headers.Headers,
                      body: typing.Any) -> defer.Deferred:
        try:
            return self._agent.request(method.encode("ascii"),
                                       url.encode("ascii"), headers, body)
        except NotImplementedError:
            _log.error("endpoint URL %s needs TLS: set endpoints_tls to true",
                       url)
            return defer.fail(error.ConnectError(string="TLS is not enabled"))
