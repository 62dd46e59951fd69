"""What the forwarding of requests needs from its surroundings."""

import collections.abc
import dataclasses
import datetime
import typing

from mustardwood import timing
from mustardwood.dispatch import crash_record
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_directory
from mustardwood.dispatch import endpoint_health
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement as placement_module
from mustardwood.dispatch import prefix_cache_index
from mustardwood.dispatch import refusal
from mustardwood.dispatch import retry_after_policy
from mustardwood.dispatch import service_request
from mustardwood.dispatch import service_retry_budgets

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


class Caller(typing.Protocol):
    """The caller's side of a request."""

    def begin(self, status: int, headers: Headers, length: int | None) -> None:
        """Sends the head; `length` is None for a body of unknown length."""

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    def finish(self) -> None:
        """Ends the answer as complete."""

    def abort(self) -> None:
        """Closes the connection, so that the answer is not complete."""

    def refuse(self, answer: refusal.Refusal) -> None:
        """Sends an answer of the router's own."""


class Attempt(typing.Protocol):
    """A request that was handed to an endpoint's connection."""

    def abort(self) -> None:
        """Closes the connection; no event follows."""


class AttemptListener(typing.Protocol):
    """Learns what happens to an attempt."""

    def receive_head(self, status: int, headers: Headers, is_verified: bool,
                     was_not_run: bool) -> None:
        """Takes the head of an answer.

        Args:
            status: HTTP status.
            headers: Headers to pass on.
            is_verified: Whether it is marked as this endpoint's answer.
            was_not_run: Whether the endpoint states that it did not run it.
        """

    def receive_data(self, data: bytes) -> None:
        """Takes a part of the body."""

    def receive_end(self) -> None:
        """Learns that the answer is complete."""

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Learns that no complete answer will come.

        Args:
            was_sent: Whether a byte may have reached the endpoint.
            reason: What happened, for the log.
        """


class EndpointClient(typing.Protocol):
    """Sends requests to endpoints."""

    def send(self, request: service_request.ServiceRequest,
             endpoint: endpoint_module.Endpoint, left: datetime.timedelta,
             resume_after: int | None, listener: AttemptListener) -> Attempt:
        """Sends a request.

        Args:
            request: The request.
            endpoint: Where to.
            left: Time after which the endpoint may stop.
            resume_after: Id of the last event that the caller has.
            listener: Gets the events, never before this call returns.
        """


class Timer(typing.Protocol):
    """A call that was put off."""

    def cancel(self) -> None:
        """Cancels it."""


class Scheduler(typing.Protocol):
    """Calls functions later."""

    def call_later(self, delay: datetime.timedelta,
                   function: collections.abc.Callable[[], None]) -> Timer:
        """Calls `function` once after `delay`."""


class Authorizer(typing.Protocol):
    """Tells whether a request is still allowed."""

    def find_denial(
            self,
            request: service_request.ServiceRequest) -> refusal.Refusal | None:
        """Returns why a request must not be sent now; None if it may."""

    def describe(self) -> dict[str, typing.Any]:
        """Returns what the answer rests on, for the log."""


class Journal(typing.Protocol):
    """Takes one structured line for each decision."""

    def write(self, event: str, **fields: typing.Any) -> None:
        """Writes a line."""


class Metrics(typing.Protocol):
    """Counts what happens to requests."""

    def count_request(self, tier: int, outcome: str, status: int,
                      took: datetime.timedelta,
                      first_byte: datetime.timedelta | None) -> None:
        """Counts a request at its end.

        Args:
            tier: Its rank.
            outcome: ``answered``, ``refused``, ``failed`` or ``caller_gone``.
            status: Status that the caller got; 0 if the answer broke off.
            took: Time since its arrival.
            first_byte: Time to the first byte of the answer.
        """

    def count_attempt(self, service: str, end: str) -> None:
        """Counts an attempt at its end: ``complete``, ``status`` or ``broken``.
        """


class Queue(typing.Protocol):
    """Keeps requests until an endpoint has room."""

    def add(self, request: service_request.ServiceRequest,
            retry: collections.abc.Callable[[], bool]) -> None:
        """Adds a request; `retry` returns whether it need not wait on."""

    def remove(self, request: service_request.ServiceRequest) -> None:
        """Removes a request, if it waits."""


@dataclasses.dataclass(frozen=True)
class ForwardingContext:
    """The parts that all requests of a process share."""

    clock: timing.Clock
    scheduler: Scheduler
    client: EndpointClient
    authorizer: Authorizer
    directory: endpoint_directory.EndpointDirectory
    loads: load_table.LoadTable
    health: endpoint_health.EndpointHealth
    prefix_caches: prefix_cache_index.PrefixCacheIndex
    crashes: crash_record.CrashRecord
    placement: placement_module.Placement
    retry_budgets: service_retry_budgets.ServiceRetryBudgets
    retry_after: retry_after_policy.RetryAfterPolicy
    queue: Queue
    journal: Journal
    metrics: Metrics
