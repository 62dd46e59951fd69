"""Requests to endpoints, in the platform's words."""

import datetime

from mustardwood import dispatch
from mustardwood import http1
from mustardwood.platform import headers

_FRESH = datetime.timedelta(seconds=1)
"""Idle time up to which a kept connection carries what may run only once.

A request that meets the endpoint's own idle close is lost.
"""
_PRIORITIES = 10
"""Number of ranks that engines know."""
_DROPPED = headers.HOP_BY_HOP
"""Headers of an answer that concern the connection to the endpoint."""


class HttpEndpointClient:
    """Sends requests over kept connections; implements `EndpointClient`."""

    def __init__(self, pool: http1.ConnectionPool) -> None:
        self._pool = pool

    def send(self, request: dispatch.ServiceRequest,
             endpoint: dispatch.Endpoint, left: datetime.timedelta,
             resume_after: int | None,
             listener: dispatch.AttemptListener) -> dispatch.Attempt:
        """See `dispatch.forwarding_context.EndpointClient`."""
        sent = list(request.headers)
        milliseconds = max(1, left // datetime.timedelta(milliseconds=1))
        sent.append((b"Mustardwood-Deadline-Ms", str(milliseconds).encode()))
        sent.append((b"Mustardwood-Expect-Replica", endpoint.name.encode()))
        if request.organisation:
            sent.append((b"Mustardwood-Tenant", request.organisation.encode()))
        if request.prompt.input_tokens:
            rank = max(0, min(request.tier, _PRIORITIES - 1))
            sent.append((b"Mustardwood-Request-Priority", str(rank).encode()))
        last = request.last_event_id if resume_after is None else resume_after
        if last is not None:
            sent.append((b"Last-Event-Id", str(last).encode()))
        message = http1.HttpRequest(request.method, request.target, sent,
                                    request.body)
        longest = (datetime.timedelta.max
                   if request.retry_policy.allows_rerun else _FRESH)
        return self._pool.send((endpoint.host, endpoint.port), message,
                               _AnswerDecoder(request, listener), longest)


class _AnswerDecoder:
    """Tells a listener what an answer says."""

    def __init__(self, request: dispatch.ServiceRequest,
                 listener: dispatch.AttemptListener) -> None:
        self._request_id = request.request_id.encode("latin-1")
        self._listener = listener

    def accepts(self, status: int, names: http1.Headers) -> bool:
        """Returns whether an answer carries the id of the request."""
        del status
        return any(
            name.lower() == headers.ATTEMPT_ID and value == self._request_id
            for name, value in names)

    def receive_head(self, status: int, names: http1.Headers) -> None:
        """Passes on the head without what concerns the connection."""
        kept = [(name, value)
                for name, value in names
                if name.lower() not in _DROPPED]
        known = {name.lower() for name, _ in names}
        is_verified = (headers.SIGNATURE in known and
                       b"content-encoding" not in known)
        self._listener.receive_head(status, kept, is_verified,
                                    headers.NOT_RUN in known or status == 421)

    def receive_data(self, data: bytes) -> None:
        """Passes on a part of the body."""
        self._listener.receive_data(data)

    def receive_end(self) -> None:
        """Passes on the end."""
        self._listener.receive_end()

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Passes on a failure."""
        self._listener.receive_failure(was_sent, reason)
