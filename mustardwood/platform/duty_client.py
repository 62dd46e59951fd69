"""Client of the platform's duty calls: usage reports and orders of endpoints.
"""

import collections
import collections.abc
import datetime
import http
import typing

import msgspec

from mustardwood import dispatch
from mustardwood import http1
from mustardwood import leadership
from mustardwood.platform import headers

CALL_TIMEOUT = leadership.MAX_CALL_TIME
"""Timeout of a call; the next term begins to act that long after the last."""
_MAX_RESPONSE_BYTES = 64 * 1024
"""Maximum size of a response's body, which is not used."""
_MAX_RETRY_AFTER = datetime.timedelta(minutes=1)
"""Maximum delay that a response may ask for; a longer one is cut to it."""
_USAGE_PATH = "/usage"
_SCALE_PATH = "/scale"

_Done = collections.abc.Callable[[leadership.CallResult], None]


class DutyClient:
    """Sends duty calls; implements `leadership.DutyCalls`.

    A call that got no response may be executed later. The client sends nothing
    again by itself.

    Failure: a VM whose term has ended without its knowledge goes on calling.
    Once a call was refused because of a higher token, calls with the same or a
    lower token are not sent any more; they end as refused.

    Status 409 has two meanings for orders of endpoints: a higher token, or no
    endpoint is available. Nobody else gets a token while this VM's term is
    proven. So it means that no endpoint is available if the term is still
    proven when the response arrives, and a higher token otherwise. For usage
    reports, it always means a higher token.

    Attributes:
        calls: Number of ended calls, by path and outcome.
    """

    def __init__(
            self, address: tuple[str, int], pool: http1.ConnectionPool,
            scheduler: dispatch.Scheduler, journal: dispatch.Journal,
            is_proven: collections.abc.Callable[[leadership.Term],
                                                bool]) -> None:
        """Creates a client.

        Args:
            address: IP address and port of the API.
            pool: Sends the calls.
            scheduler: Schedules the timeouts.
            journal: Logs the calls that were not accepted.
            is_proven: Returns whether a term is still this VM's own, so that no
                other VM can have a higher token.
        """
        self._address = address
        self._pool = pool
        self._scheduler = scheduler
        self._journal = journal
        self._is_proven = is_proven
        self._refused_token = -1
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()

    def report_usage(self, term: leadership.Term, window: int,
                     counts: collections.abc.Mapping[str,
                                                     int], done: _Done) -> None:
        """See `leadership.DutyCalls`."""
        self._call(_USAGE_PATH, term, {
            "window_id": window,
            "counts": dict(sorted(counts.items()))
        }, done)

    def order_endpoints(self, term: leadership.Term,
                        order: leadership.EndpointOrder, done: _Done) -> None:
        """See `leadership.DutyCalls`."""
        body: dict[str, typing.Any] = {
            "service": order.service,
            "zone": order.zone,
            "desired_count": order.count
        }
        if order.is_preemptible:
            body["preemptible"] = True
        self._call(_SCALE_PATH, term, body, done)

    def _call(self, path: str, term: leadership.Term,
              body: dict[str, typing.Any], done: _Done) -> None:
        if term.token <= self._refused_token:
            refused = leadership.CallResult(
                leadership.CallOutcome.TOKEN_REFUSED)
            self._scheduler.call_later(datetime.timedelta(),
                                       lambda: done(refused))
            return
        host, port = self._address
        request = http1.HttpRequest(
            "POST", path, [(b"Host", f"{host}:{port}".encode()),
                           (b"Content-Type", b"application/json"),
                           (headers.DUTY_HOLDER, term.holder.encode()),
                           (headers.FENCING_TOKEN, b"%d" % term.token)],
            msgspec.json.encode(body))
        listener = _CallListener(lambda result, reason: self._end_call(
            path, term, body, _CallEnd(result, reason, done)))
        exchange = self._pool.send(self._address,
                                   request,
                                   listener,
                                   max_body_bytes=_MAX_RESPONSE_BYTES)
        listener.timer = self._scheduler.call_later(
            CALL_TIMEOUT, lambda: _abort_call(exchange, listener))

    def _end_call(self, path: str, term: leadership.Term,
                  body: dict[str, typing.Any], end: "_CallEnd") -> None:
        result = end.result
        if (result.outcome is leadership.CallOutcome.TOKEN_REFUSED and
                path == _SCALE_PATH and self._is_proven(term)):
            result = leadership.CallResult(leadership.CallOutcome.NOT_AVAILABLE,
                                           result.retry_after)
        if result.outcome is leadership.CallOutcome.TOKEN_REFUSED:
            self._refused_token = max(self._refused_token, term.token)
        self.calls[path, result.outcome.value] += 1
        if result.outcome is not leadership.CallOutcome.ACCEPTED:
            retry_after = result.retry_after
            self._journal.write("duty_call_failed",
                                path=path,
                                token=term.token,
                                outcome=result.outcome.value,
                                reason=end.reason,
                                retry_after_s=(None if retry_after is None else
                                               retry_after.total_seconds()),
                                **{
                                    name: body[name]
                                    for name in ("window_id", "service", "zone",
                                                 "desired_count")
                                    if name in body
                                })
        end.done(result)


class _CallEnd(typing.NamedTuple):
    """The end of a call."""

    result: leadership.CallResult
    reason: str
    done: _Done


class _CallListener:
    """Interprets the response to a call."""

    def __init__(
        self, deliver: collections.abc.Callable[[leadership.CallResult, str],
                                                None]
    ) -> None:
        self._deliver = deliver
        self._status = 0
        self._retry_after: datetime.timedelta | None = None
        self.timer: dispatch.Timer | None = None

    def accepts(self, status: int, response_headers: http1.Headers) -> bool:
        """Accepts every response."""
        del status, response_headers
        return True

    def receive_head(self, status: int,
                     response_headers: http1.Headers) -> None:
        """Records the status and the delay before a retry."""
        self._status = status
        for name, value in response_headers:
            if name.lower() == headers.RETRY_AFTER:
                self._retry_after = _parse_seconds(value)

    def receive_data(self, data: bytes) -> None:
        """Ignores the body."""

    def receive_end(self) -> None:
        """Delivers the result that the response states."""
        self._end(_classify(self._status), f"status {self._status}")

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Delivers the failure; a call that was not sent is not executed."""
        self._end(
            leadership.CallOutcome.NO_RESPONSE
            if was_sent else leadership.CallOutcome.FAILED, reason)

    def _end(self, outcome: leadership.CallOutcome, reason: str) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self._deliver(leadership.CallResult(outcome, self._retry_after), reason)


def _abort_call(exchange: http1.Exchange, listener: _CallListener) -> None:
    was_sent = exchange.is_written
    exchange.abort()
    listener.receive_failure(was_sent, "no answer in time")


def _classify(status: int) -> leadership.CallOutcome:
    if 200 <= status < 300:
        return leadership.CallOutcome.ACCEPTED
    if status == http.HTTPStatus.CONFLICT:
        return leadership.CallOutcome.TOKEN_REFUSED
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        return leadership.CallOutcome.RATE_LIMITED
    return leadership.CallOutcome.FAILED


def _parse_seconds(value: bytes) -> datetime.timedelta | None:
    """Returns a delay in seconds; None if it is malformed or negative."""
    try:
        delay = datetime.timedelta(seconds=float(value))
    except (ValueError, OverflowError):
        return None
    return None if delay < datetime.timedelta() else min(
        delay, _MAX_RETRY_AFTER)
