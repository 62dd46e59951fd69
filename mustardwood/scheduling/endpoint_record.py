"""What a scheduler knows of one endpoint."""

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
    """An endpoint's own attempts, limit and measured times.

    Attributes:
        endpoint: Its configuration.
        running: Attempts granted and not ended.
        limit: Its adaptive concurrency limit.
        backoff: Its back-off after failures.
        foreign: Work there that this scheduler did not grant.
        slowness: Mean of its time between tokens over the usual one.
        started_at: When an attempt's first token last came.
        inter_token: Mean seconds between tokens.
        leaving: Whether it gets no new work.
        straggling: Whether it is slow compared with the cell.
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
        """Its name."""
        return self.endpoint.name

    @property
    def expected_tokens(self) -> float:
        """Tokens that its attempts are expected to generate."""
        return self._expected_tokens

    @property
    def prefilling_tokens(self) -> int:
        """Prompt tokens of the attempts without a first token."""
        return sum(each.prompt_tokens
                   for each in self.running.values()
                   if not each.has_first_token)

    def add(self, request: running_request.RunningRequest,
            now: datetime.timedelta) -> None:
        """Counts an attempt."""
        self.running[request.key] = request
        self._running_by_class[request.class_name] += 1
        self._expected_tokens += request.output_tokens
        self.external_load.record_own_running(len(self.running), now)

    def remove(self, request: running_request.RunningRequest,
               now: datetime.timedelta) -> None:
        """Ends the count of an attempt."""
        del self.running[request.key]
        self._running_by_class[request.class_name] -= 1
        self._expected_tokens = max(
            0.0, self._expected_tokens - request.output_tokens)
        self.external_load.record_own_running(len(self.running), now)

    def record_inter_token(self, sample: inter_token_sample.InterTokenSample,
                           expected_seconds: float | None) -> None:
        """Takes in the pace of a whole answer.

        Args:
            sample: The pace.
            usual_seconds: Usual time between tokens in this cell at the same
                load; None while unknown.
        """
        self.inter_token.record(sample.seconds, sample.weight)
        if expected_seconds:
            self.relative_latency.record(sample.seconds / expected_seconds,
                                         sample.weight)

    def count_classes(self, names: frozenset[str]) -> int:
        """Returns how many attempts belong to some classes."""
        return sum(self._running_by_class[name] for name in names)

    def compute_limit(self, now: datetime.timedelta) -> int:
        """Returns how many own attempts may run; 0 for no new work."""
        if self.leaving or not self.backoff.allows_attempt(now):
            return 0
        if self.backoff.probing:
            return 1
        return max(
            1,
            self.limit.limit - self.external_load.count_external_requests(now))

    def count_free_slots(self, now: datetime.timedelta, *,
                         learning: bool) -> int:
        """Returns how many more attempts may start."""
        limit = self.compute_limit(now)
        if learning:
            limit = min(limit, 1)
        return max(0, limit - len(self.running))

    def describe_state(self, now: datetime.timedelta) -> str:
        """Returns one word for operators."""
        if self.leaving:
            return "leaving"
        if self.backoff.probing or not self.backoff.allows_attempt(now):
            return "failing"
        return "straggling" if self.straggling else "active"
