"""What a scheduler knows of one endpoint."""

import collections
import datetime

from mustardwood import configuration
from mustardwood.scheduling import backoff
from mustardwood.scheduling import concurrency_limit
from mustardwood.scheduling import foreign_work
from mustardwood.scheduling import moving_average
from mustardwood.scheduling import pace_sample
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
        self.foreign = foreign_work.ForeignWork()
        self.slowness = moving_average.MovingAverage(_SMOOTHING)
        self.started_at = datetime.timedelta()
        self.inter_token = moving_average.MovingAverage(_SMOOTHING)
        self.leaving = False
        self.straggling = False
        self._classes: collections.Counter[str] = collections.Counter()
        self._tokens = 0.0

    @property
    def name(self) -> str:
        """Its name."""
        return self.endpoint.name

    @property
    def expected_tokens(self) -> float:
        """Tokens that its attempts are expected to generate."""
        return self._tokens

    @property
    def prefilling_tokens(self) -> int:
        """Prompt tokens of the attempts without a first token."""
        return sum(each.prompt_tokens
                   for each in self.running.values()
                   if not each.started)

    def add(self, request: running_request.RunningRequest,
            now: datetime.timedelta) -> None:
        """Counts an attempt."""
        self.running[request.key] = request
        self._classes[request.class_name] += 1
        self._tokens += request.output_tokens
        self.foreign.record_own(len(self.running), now)

    def remove(self, request: running_request.RunningRequest,
               now: datetime.timedelta) -> None:
        """Ends the count of an attempt."""
        del self.running[request.key]
        self._classes[request.class_name] -= 1
        self._tokens = max(0.0, self._tokens - request.output_tokens)
        self.foreign.record_own(len(self.running), now)

    def record_pace(self, sample: pace_sample.PaceSample,
                    usual_seconds: float | None) -> None:
        """Takes in the pace of a whole answer.

        Args:
            sample: The pace.
            usual_seconds: Usual time between tokens in this cell at the same
                load; None while unknown.
        """
        self.inter_token.record(sample.seconds, sample.trust)
        if usual_seconds:
            self.slowness.record(sample.seconds / usual_seconds, sample.trust)

    def count_classes(self, names: frozenset[str]) -> int:
        """Returns how many attempts belong to some classes."""
        return sum(self._classes[name] for name in names)

    def find_limit(self, now: datetime.timedelta) -> int:
        """Returns how many own attempts may run; 0 for no new work."""
        if self.leaving or not self.backoff.is_open(now):
            return 0
        if self.backoff.probing:
            return 1
        return max(1, self.limit.limit - self.foreign.count(now))

    def count_free(self, now: datetime.timedelta, *, learning: bool) -> int:
        """Returns how many more attempts may start."""
        limit = self.find_limit(now)
        if learning:
            limit = min(limit, 1)
        return max(0, limit - len(self.running))

    def describe_state(self, now: datetime.timedelta) -> str:
        """Returns one word for operators."""
        if self.leaving:
            return "leaving"
        if self.backoff.probing or not self.backoff.is_open(now):
            return "failing"
        return "straggling" if self.straggling else "active"
