"""Sends requests to endpoints, with the headers that the platform uses."""

import collections.abc
import datetime
import http

from mustardwood import dispatch
from mustardwood import http1
from mustardwood.platform import headers
from mustardwood.platform import statement_decoder

_MAX_IDLE_TIME_FOR_SINGLE_RUN = datetime.timedelta(seconds=1)
"""Maximum idle time of a connection for requests that may run only once.

The longer a connection has been idle, the more likely the endpoint closes it
while the request is sent. Such a request is lost and may not be sent again.
"""
_PRIORITY_COUNT = 10
"""Number of priorities that engines distinguish."""
_HOP_BY_HOP_HEADERS = headers.HOP_BY_HOP
"""Response headers that concern the connection to the endpoint only."""


class HttpEndpointClient:
    """Sends requests over pooled connections.

    It implements `dispatch.forwarding_context.EndpointClient`.
    """

    def __init__(self, pool: http1.ConnectionPool) -> None:
        self._pool = pool

    def send(
            self, request: dispatch.ServiceRequest, endpoint: dispatch.Endpoint,
            time_left: datetime.timedelta, resume_after: int | None,
            listener: dispatch.AttemptListener,
            before_write: collections.abc.Callable[[],
                                                   bool]) -> dispatch.Attempt:
        """See `dispatch.forwarding_context.EndpointClient`."""
        request_headers = list(request.headers)
        milliseconds = max(1, time_left // datetime.timedelta(milliseconds=1))
        request_headers.append(
            (b"Mustardwood-Deadline-Ms", str(milliseconds).encode()))
        request_headers.append(
            (b"Mustardwood-Expect-Replica", endpoint.name.encode()))
        if request.organisation:
            request_headers.append(
                (b"Mustardwood-Tenant", request.organisation.encode()))
        if request.prompt.input_tokens:
            request_headers.append((b"Mustardwood-Request-Priority",
                                    b"%d" % _find_engine_priority(request)))
        last = request.last_event_id if resume_after is None else resume_after
        if last is not None:
            request_headers.append((b"Last-Event-Id", str(last).encode()))
        http_request = http1.HttpRequest(request.method, request.target,
                                         request_headers, request.body)
        max_idle_time = (datetime.timedelta.max
                         if request.retry_policy.allows_rerun else
                         _MAX_IDLE_TIME_FOR_SINGLE_RUN)
        return self._pool.send((endpoint.host, endpoint.port),
                               http_request,
                               _ResponseDecoder(request, endpoint, listener),
                               max_idle_time,
                               before_write=before_write,
                               request_id=request.request_id.encode("latin-1"))

    def is_connected_since(self, endpoint: dispatch.Endpoint,
                           time: datetime.timedelta) -> bool:
        """See `dispatch.forwarding_context.EndpointClient`."""
        return self._pool.is_connected_since((endpoint.host, endpoint.port),
                                             time)


def _find_engine_priority(request: dispatch.ServiceRequest) -> int:
    """Returns the priority of a request on an engine.

    If there are more tiers than priorities, the least urgent ones share the
    last priority. An engine can't tell these apart when it preempts a request.
    """
    return max(0, min(request.tier, _PRIORITY_COUNT - 1))


class _ResponseDecoder:
    """Interprets a response's headers for a listener."""

    def __init__(self, request: dispatch.ServiceRequest,
                 endpoint: dispatch.Endpoint,
                 listener: dispatch.AttemptListener) -> None:
        self._request_id = request.request_id.encode("latin-1")
        self._endpoint_name = endpoint.name.encode()
        self._listener = listener

    def accepts(self, status: int, response_headers: http1.Headers) -> bool:
        """Returns whether a response carries the id of the request."""
        del status
        return any(
            name.lower() == headers.ATTEMPT_ID and value == self._request_id
            for name, value in response_headers)

    def receive_head(self, status: int,
                     response_headers: http1.Headers) -> None:
        """Passes on status and headers, without hop-by-hop headers."""
        forwarded = [(name, value)
                     for name, value in response_headers
                     if name.lower() not in _HOP_BY_HOP_HEADERS]
        names = {name.lower() for name, _ in response_headers}
        was_not_run = headers.NOT_RUN in names or (
            status == http.HTTPStatus.MISDIRECTED_REQUEST and
            self._is_from_other_endpoint(response_headers))
        is_verified = (headers.SIGNATURE in names and
                       b"content-encoding" not in names)
        self._listener.receive_head(
            status, forwarded, is_verified, was_not_run,
            statement_decoder.decode_statements(status, response_headers))

    def _is_from_other_endpoint(self, response_headers: http1.Headers) -> bool:
        return any(
            name.lower() == headers.ENDPOINT_ID and value != self._endpoint_name
            for name, value in response_headers)

    def receive_data(self, data: bytes) -> None:
        """Passes on a part of the response's body."""
        self._listener.receive_data(data)

    def receive_end(self) -> None:
        """Passes on the end of the response."""
        self._listener.receive_end()

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Passes on a failure."""
        self._listener.receive_failure(was_sent, reason)
