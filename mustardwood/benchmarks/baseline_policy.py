"""Base class of the baseline policies."""

import abc
import collections

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import pending_request
from mustardwood.benchmarks import environment as environment_module

_MAX_ATTEMPTS = 3


class BaselinePolicy(abc.ABC):
    """Sends attempts, restarts interrupted requests and enforces deadlines.

    Attributes:
        name: Name in result tables.
        control_bytes: Always 0; baselines exchange no messages.
        outstanding: Number of running attempts by endpoint.
    """

    name = ""
    control_bytes = 0

    def __init__(self) -> None:
        self._environment: environment_module.Environment
        self.outstanding: collections.Counter[str] = collections.Counter()

    def start(self, environment: environment_module.Environment) -> None:
        """Prepares for a run in a simulated environment."""
        self._environment = environment
        environment.start_load_reports()

    def kill_owner(self) -> None:
        """Does nothing; baselines have no owner VM."""

    def handle_request(self, request: bench_request.BenchRequest) -> None:
        """Records a request, sets its deadline timer and places it."""
        self._environment.recorder.record_arrival(request)
        pending = pending_request.PendingRequest(request)
        self._environment.timeline.call_later(
            request.request_class.deadline_seconds,
            lambda: self._expire(pending))
        self._place_request(pending)

    @abc.abstractmethod
    def _place_request(self, pending: pending_request.PendingRequest) -> None:
        """Sends a request to an endpoint or queues it."""

    @abc.abstractmethod
    def _remove_waiting(self, pending: pending_request.PendingRequest) -> None:
        """Removes a request from the queue."""

    def _release_slot(self, pending: pending_request.PendingRequest) -> None:
        """Releases the slot of an attempt that ended at its endpoint."""
        self.outstanding[pending.endpoint] -= 1

    def _send(self, pending: pending_request.PendingRequest, endpoint: str,
              priority: int) -> None:
        pending.endpoint = endpoint
        pending.attempts += 1
        self.outstanding[endpoint] += 1
        request = pending.request
        pending.sequence = self._environment.send_attempt(
            request, request.vm, endpoint, f"{request.request_id}/"
            f"{pending.attempts}", priority, 0,
            lambda: self._environment.recorder.record_first_token(request),
            lambda is_complete: self._handle_end(pending, is_complete))

    def _handle_end(self, pending: pending_request.PendingRequest,
                    is_complete: bool) -> None:
        if pending.is_over:
            return
        self._release_slot(pending)
        if is_complete:
            pending.is_over = True
            self._environment.recorder.record_completion(pending.request)
        elif pending.attempts >= _MAX_ATTEMPTS:
            pending.is_over = True
            self._environment.recorder.record_refusal(pending.request)
        else:
            pending.sequence = None
            self._place_request(pending)

    def _expire(self, pending: pending_request.PendingRequest) -> None:
        if pending.is_over:
            return
        pending.is_over = True
        self._environment.recorder.record_refusal(pending.request)
        if pending.sequence is None:
            self._remove_waiting(pending)
        else:
            self._environment.engines[pending.endpoint].cancel(pending.sequence)
            self._release_slot(pending)

    def _list_usable(self) -> list[str]:
        return [
            each.name
            for each in self._environment.endpoints
            if each.name not in self._environment.down_endpoints
        ]
