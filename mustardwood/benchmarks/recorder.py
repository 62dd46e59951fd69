"""Recorder of request events during a simulation."""

import collections

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import request_record
from mustardwood.benchmarks import timeline as timeline_module


class Recorder:
    """Records the events of requests and counts tier inversions.

    A tier inversion is the refusal of a request while a request of a less
    urgent tier waits for its first attempt.

    Attributes:
        records: Records by request id.
        inversions: Number of tier inversions.
    """

    def __init__(self, timeline: timeline_module.Timeline) -> None:
        self.records: dict[str, request_record.RequestRecord] = {}
        self.inversions = 0
        self._timeline = timeline
        self._waiting: collections.Counter[int] = collections.Counter()

    def record_arrival(self, request: bench_request.BenchRequest) -> None:
        """Records the arrival of a request at its entry."""
        self.records[request.request_id] = request_record.RequestRecord(request)
        self._waiting[request.request_class.tier] += 1

    def record_start(self, request: bench_request.BenchRequest) -> None:
        """Records the first attempt of a request; ignores further ones."""
        record = self.records[request.request_id]
        if record.started_at is None and record.ended_at is None:
            record.started_at = self._timeline.seconds
            self._waiting[request.request_class.tier] -= 1

    def record_first_token(self, request: bench_request.BenchRequest) -> None:
        """Records the first token at the caller; ignores further ones."""
        record = self.records[request.request_id]
        if record.first_token_at is None and record.ended_at is None:
            record.first_token_at = self._timeline.seconds

    def record_completion(self, request: bench_request.BenchRequest) -> None:
        """Records that the caller received the complete response."""
        record = self.records[request.request_id]
        if record.ended_at is None:
            record.ended_at = self._timeline.seconds
            record.is_complete = True

    def record_refusal(self, request: bench_request.BenchRequest) -> None:
        """Records that a request ended without a complete response.

        It counts as refused only if no attempt was sent.
        """
        record = self.records[request.request_id]
        if record.ended_at is not None:
            return
        record.ended_at = self._timeline.seconds
        if record.started_at is not None:
            return
        record.is_refused = True
        tier = request.request_class.tier
        self._waiting[tier] -= 1
        lower = sum(
            count for other, count in self._waiting.items() if other > tier)
        if lower:
            self.inversions += 1
