"""State of one endpoint in the scheduler of its cell."""

import collections
import datetime

from mustardwood import configuration
from mustardwood.scheduling import backoff
from mustardwood.scheduling import concurrency_limit
from mustardwood.scheduling import external_load
from mustardwood.scheduling import inter_token_sample
from mustardwood.scheduling import moving_average
from mustardwood.scheduling import running_request
from mustardwood.scheduling import waiting_request

_SMOOTHING = 0.2


class EndpointRecord:
    """Running attempts, concurrency limit and measured times of an endpoint.

    Attributes:
        endpoint: Configuration of the endpoint.
        running: Attempts that were granted and have not ended, by key.
        limit: Adaptive concurrency limit.
        backoff: Backoff after failures.
        external_load: Requests on the endpoint that this scheduler didn't
            grant.
        relative_latency: Mean ratio of its inter-token time to the one that is
            usual in the cell at the same load.
        last_first_token_at: When an attempt last received its first token.
        inter_token: Mean inter-token time, in seconds.
        leaving: Whether the endpoint is leaving and gets no new attempts.
        straggling: Whether it is much slower than the other endpoints of the
            cell, or stalled.
    """

    def __init__(self, endpoint: configuration.Endpoint) -> None:
        self.endpoint = endpoint
        self.running: dict[waiting_request.AttemptKey,
                           running_request.RunningRequest] = {}
        self.limit = concurrency_limit.ConcurrencyLimit(endpoint.concurrency)
        self.backoff = backoff.Backoff()
        self.external_load = external_load.ExternalLoad()
        self.relative_latency = moving_average.MovingAverage(_SMOOTHING)
        self.last_first_token_at = datetime.timedelta()
        self.inter_token = moving_average.MovingAverage(_SMOOTHING)
        self.leaving = False
        self.straggling = False
        self._running_by_class: collections.Counter[str] = collections.Counter()
        self._expected_tokens = 0.0

    @property
    def name(self) -> str:
        """Name of the endpoint."""
        return self.endpoint.name

    @property
    def expected_tokens(self) -> float:
        """Tokens that the running attempts are expected to generate."""
        return self._expected_tokens

    @property
    def prefilling_tokens(self) -> int:
        """Prompt tokens of the attempts that have no first token yet."""
        return sum(each.prompt_tokens
                   for each in self.running.values()
                   if not each.has_first_token)

    def add(self, request: running_request.RunningRequest,
            now: datetime.timedelta) -> None:
        """Adds a running attempt."""
        self.running[request.key] = request
        self._running_by_class[request.class_name] += 1
        self._expected_tokens += request.output_tokens
        self.external_load.record_own_running(len(self.running), now)

    def remove(self, request: running_request.RunningRequest,
               now: datetime.timedelta) -> None:
        """Removes a running attempt."""
        del self.running[request.key]
        self._running_by_class[request.class_name] -= 1
        self._expected_tokens = max(
            0.0, self._expected_tokens - request.output_tokens)
        self.external_load.record_own_running(len(self.running), now)

    def record_inter_token(self, sample: inter_token_sample.InterTokenSample,
                           expected_seconds: float | None) -> None:
        """Records the inter-token time of a complete answer.

        Args:
            sample: The measured inter-token time.
            expected_seconds: Usual inter-token time in this cell at the same
                load; None while unknown.
        """
        self.inter_token.record(sample.seconds, sample.weight)
        if expected_seconds:
            self.relative_latency.record(sample.seconds / expected_seconds,
                                         sample.weight)

    def count_classes(self, names: frozenset[str]) -> int:
        """Returns the number of running attempts of the given classes."""
        return sum(self._running_by_class[name] for name in names)

    def compute_limit(self, now: datetime.timedelta) -> int:
        """Returns the number of attempts that this scheduler may run there.

        It is 0 while the endpoint gets no new attempts.
        """
        if self.leaving or not self.backoff.allows_attempt(now):
            return 0
        if self.backoff.probing:
            return 1
        return max(
            1,
            self.limit.limit - self.external_load.count_external_requests(now))

    def count_free_slots(self, now: datetime.timedelta, *,
                         learning: bool) -> int:
        """Returns the number of attempts that may start now."""
        limit = self.compute_limit(now)
        if learning:
            limit = min(limit, 1)
        return max(0, limit - len(self.running))

    def describe_state(self, now: datetime.timedelta) -> str:
        """Returns the endpoint's state as one word, for operators."""
        if self.leaving:
            return "leaving"
        if self.backoff.probing or not self.backoff.allows_attempt(now):
            return "failing"
        return "straggling" if self.straggling else "active"
