"""Interfaces and shared objects that the forwarding of requests uses."""

import collections.abc
import dataclasses
import datetime
import typing

from mustardwood import hedging as hedging_module
from mustardwood import profiles
from mustardwood import timing
from mustardwood.dispatch import crash_record
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_brittleness
from mustardwood.dispatch import endpoint_directory
from mustardwood.dispatch import endpoint_health
from mustardwood.dispatch import endpoint_notices
from mustardwood.dispatch import endpoint_pauses
from mustardwood.dispatch import endpoint_rate_limits
from mustardwood.dispatch import endpoint_statements
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement as placement_module
from mustardwood.dispatch import prefix_cache_index
from mustardwood.dispatch import process_exit as process_exit_module
from mustardwood.dispatch import prompt_part_crashes
from mustardwood.dispatch import refusal
from mustardwood.dispatch import response_memory as response_memory_module
from mustardwood.dispatch import retry_after_policy
from mustardwood.dispatch import service_request
from mustardwood.dispatch import service_retry_budgets
from mustardwood.dispatch import stream_version_table
from mustardwood.dispatch import tier_admission

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


class Caller(typing.Protocol):
    """The connection to the caller of a request."""

    def begin(self, status: int, headers: Headers, length: int | None) -> None:
        """Sends the head of a response.

        Args:
            status: HTTP status.
            headers: Headers.
            length: Length of the body in bytes; None if it is unknown.
        """

    def write(self, data: bytes) -> None:
        """Sends a part of the response's body."""

    def finish(self) -> None:
        """Ends a complete response."""

    def abort(self) -> None:
        """Closes the connection, so that the response is visibly incomplete."""

    def refuse(self, response: refusal.Refusal) -> None:
        """Sends an error response of the router."""


class Attempt(typing.Protocol):
    """A request that is being sent to an endpoint."""

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection."""

    @property
    def is_response_invalid(self) -> bool:
        """Whether it failed because of what the endpoint sent.

        It is false if the connection was lost.
        """

    @property
    def is_close_delimited(self) -> bool:
        """Whether the response ends with its connection."""

    @property
    def connection_number(self) -> int:
        """Number of the connection, for the log; 0 if there is none."""

    @property
    def discarded_responses(self) -> int:
        """Number of responses to other requests before its own."""

    def write(self) -> None:
        """Writes a request that was held back."""

    def abort(self) -> None:
        """Closes the connection; the listener is not called again."""

    def end_sending(self) -> None:
        """Closes the sending direction of the connection.

        The end of a response without a length counts as a lost connection then.
        """

    def close(self, on_closed: collections.abc.Callable[[bool], None]) -> None:
        """Closes the connection when the endpoint has, or after a time.

        The listener is not called again.

        Args:
            on_closed: Called once then, possibly within this call, with whether
                the endpoint has closed the connection and so ended its work.
        """

    def pause(self) -> None:
        """Stops reading the response."""

    def resume(self) -> None:
        """Reads the response again."""


class AttemptListener(typing.Protocol):
    """Receives the response to an attempt, or its failure."""

    def receive_head(
        self,
        status: int,
        headers: Headers,
        is_verified: bool,
        was_not_run: bool,
        statements: endpoint_statements.EndpointStatements = (
            endpoint_statements.EndpointStatements())
    ) -> None:
        """Receives the head of a response.

        Args:
            status: HTTP status.
            headers: Headers to forward to the caller.
            is_verified: Whether the response carries the endpoint's signature.
            was_not_run: Whether the endpoint states that it did not run the
                request.
            statements: What it states of the endpoint.
        """

    def receive_data(self, data: bytes) -> None:
        """Receives a part of the body."""

    def receive_end(self) -> None:
        """Receives the end of a complete response."""

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Receives the failure of an attempt without a complete response.

        Args:
            was_sent: Whether a byte of the request was written.
            reason: Cause of the failure, for the log.
        """


class EndpointClient(typing.Protocol):
    """Sends requests to endpoints."""

    def send(self, request: service_request.ServiceRequest,
             endpoint: endpoint_module.Endpoint, time_left: datetime.timedelta,
             resume_after: int | None, listener: AttemptListener,
             before_write: collections.abc.Callable[[], bool]) -> Attempt:
        """Sends a request.

        Args:
            request: The request.
            endpoint: The endpoint to send it to.
            time_left: Time until the request's deadline.
            resume_after: Id of the last event that the caller received; None
                if none was sent.
            listener: Receives the response; it is never called before this
                call returns.
            before_write: Called when there is a connection, before a byte of
                the request is written, possibly within this call. It is not
                called without a connection. If it returns True, the request is
                held back until `Attempt.write` is called.
        """

    def is_connected_since(self, endpoint: endpoint_module.Endpoint,
                           time: datetime.timedelta) -> bool:
        """Returns whether a connection to an endpoint is open since a time.

        The endpoint has not restarted then.

        Args:
            endpoint: The endpoint.
            time: Monotonic time.
        """


class Timer(typing.Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancels the call."""


class Scheduler(typing.Protocol):
    """Schedules calls."""

    def call_later(self, delay: datetime.timedelta,
                   function: collections.abc.Callable[[], None]) -> Timer:
        """Calls `function` once after `delay`."""


class Authorizer(typing.Protocol):
    """Decides whether a request is still allowed."""

    def find_denial(
            self,
            request: service_request.ServiceRequest) -> refusal.Refusal | None:
        """Returns the refusal of a request that is not allowed, else None."""

    def describe(self) -> dict[str, typing.Any]:
        """Returns log fields with the data that decisions are based on."""


class Journal(typing.Protocol):
    """A structured log with one line for each decision."""

    def write(self, event: str, **fields: typing.Any) -> None:
        """Writes a log line."""


class Metrics(typing.Protocol):
    """Metrics of requests and attempts."""

    def count_request(self, tier: int, outcome: str, status: int,
                      took: datetime.timedelta,
                      first_byte: datetime.timedelta | None) -> None:
        """Counts a request at its end.

        Args:
            tier: Priority of the request.
            outcome: ``answered``, ``refused``, ``failed`` or ``caller_gone``.
            status: HTTP status that the caller got; 0 if the response was
                aborted.
            took: Time since the arrival of the request.
            first_byte: Time to the first byte of the response; None if there
                was none.
        """

    def count_attempt(self, service: str, end: str) -> None:
        """Counts an attempt at its end.

        Args:
            service: Name of the service.
            end: ``complete``, ``cancelled``, ``status`` or ``broken``.
        """


class VersionRecord(typing.Protocol):
    """What was saved of the software versions of services."""

    def find_only_version(self, service: str,
                          period: datetime.timedelta) -> str | None:
        """Returns the only version that may have begun a service's stream.

        Args:
            service: Name of the service.
            period: Time before now in which the stream may have begun.

        Returns:
            The version; None if several may have.
        """

    def is_recorded(self, service: str, version: str) -> bool:
        """Returns whether a version has been saved."""

    def handle_new_stream(self) -> None:
        """Saves a stream that has just begun at this VM, if that is needed."""


class RegistrationReader(typing.Protocol):
    """Reads the changes of the registrations from the store."""

    def request_read(self) -> None:
        """Has the changes read soon, unless a read has just begun.

        The directory receives them and records the time of the read.
        """


class RequestCounter(typing.Protocol):
    """Counts the requests that endpoints began to run."""

    def record_begin(self, organisation: str,
                     began_at: datetime.timedelta) -> None:
        """Counts a request, once, when it is known that it began to run.

        Args:
            organisation: Name of its organisation.
            began_at: Monotonic time at which it began, as far as is known.
        """


class NoRequestCounter:
    """Counts nothing, where the usage is not reported."""

    def record_begin(self, organisation: str,
                     began_at: datetime.timedelta) -> None:
        """See `RequestCounter`."""


class NoResponseObserver:
    """Measures nothing, where engine profiles are not learned."""

    def record_events(self, request: service_request.ServiceRequest,
                      choice: placement_module.Choice,
                      response: profiles.ResponseTiming, events: bytes,
                      is_whole: bool) -> None:
        """See `ResponseObserver`."""

    def record_end(self, request: service_request.ServiceRequest,
                   response: profiles.ResponseTiming) -> None:
        """See `ResponseObserver`."""


class ResponseObserver(typing.Protocol):
    """Measures the responses of engines."""

    def record_events(self, request: service_request.ServiceRequest,
                      choice: placement_module.Choice,
                      response: profiles.ResponseTiming, events: bytes,
                      is_whole: bool) -> None:
        """Records that events of a stream have arrived.

        Args:
            request: The request.
            choice: The endpoint that sent them.
            response: Measures the attempt.
            events: The events.
            is_whole: Whether the attempt brings the stream from its beginning.
        """

    def record_end(self, request: service_request.ServiceRequest,
                   response: profiles.ResponseTiming) -> None:
        """Records the end of a complete response of one attempt."""


class Queue(typing.Protocol):
    """Holds requests until an endpoint has free capacity."""

    def add(self,
            request: service_request.ServiceRequest,
            retry: collections.abc.Callable[[], bool],
            group: str = "",
            has_begun: bool = False) -> None:
        """Adds a request.

        Args:
            request: The request.
            retry: Tries to place the request; returns whether it no longer
                has to wait.
            group: Requests of a service with the same group may use the same
                endpoints.
            has_begun: Whether an engine has run a part of it.
        """

    def has_more_urgent(self, request: service_request.ServiceRequest) -> bool:
        """Returns whether a more urgent request of its service waits."""

    def remove(self, request: service_request.ServiceRequest) -> None:
        """Removes a request if it is in the queue."""


@dataclasses.dataclass(frozen=True)
class ForwardingContext:
    """Objects that all requests of a process share."""

    clock: timing.Clock
    scheduler: Scheduler
    client: EndpointClient
    authorizer: Authorizer
    directory: endpoint_directory.EndpointDirectory
    notices: endpoint_notices.EndpointNotices
    loads: load_table.LoadTable
    health: endpoint_health.EndpointHealth
    prefix_caches: prefix_cache_index.PrefixCacheIndex
    crashes: crash_record.CrashRecord
    part_crashes: prompt_part_crashes.PromptPartCrashes
    rate_limits: endpoint_rate_limits.EndpointRateLimits
    pauses: endpoint_pauses.EndpointPauses
    brittleness: endpoint_brittleness.EndpointBrittleness
    admission: tier_admission.TierAdmission
    placement: placement_module.Placement
    retry_budgets: service_retry_budgets.ServiceRetryBudgets
    retry_after: retry_after_policy.RetryAfterPolicy
    queue: Queue
    journal: Journal
    metrics: Metrics
    streams: stream_version_table.StreamVersionTable
    version_record: VersionRecord
    registrations: RegistrationReader
    observer: ResponseObserver
    process_exit: process_exit_module.ProcessExit
    usage: RequestCounter = NoRequestCounter()
    hedging: hedging_module.Hedging | None = None
    response_memory: response_memory_module.ResponseMemory = dataclasses.field(
        default_factory=response_memory_module.ResponseMemory)
