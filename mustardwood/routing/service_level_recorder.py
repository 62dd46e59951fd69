"""Counters of service levels by minute."""

import collections
import dataclasses
import datetime

from mustardwood.routing import waste_cause

_BUCKET = datetime.timedelta(minutes=1)
"""Time that one bucket covers."""

_BUCKETS_KEPT = 120
"""Number of buckets kept for each key."""


@dataclasses.dataclass(frozen=True, order=True)
class ServiceLevelKey:
    """What one bucket counts.

    Attributes:
        minute: Start of the bucket, in minutes since 1970.
        class_name: Request class.
        organisation: Caller's organisation.
        endpoint: Endpoint of the last attempt; empty when none was used.
    """

    minute: int
    class_name: str
    organisation: str
    endpoint: str


@dataclasses.dataclass
class ServiceLevelBucket:
    """Counts of one minute.

    Attributes:
        asked: Requests that ended.
        whole: Whole answers.
        met: Whole answers that met their targets.
        refused: Errors by code.
        tokens_useful: Tokens of whole answers.
        tokens_wasted: Tokens by cause of waste.
    """

    asked: int = 0
    whole: int = 0
    met: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter)
    tokens_useful: int = 0
    tokens_wasted: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter)


class ServiceLevelRecorder:
    """Counts ended requests by minute, class, organisation and endpoint."""

    def __init__(self) -> None:
        self._buckets: dict[ServiceLevelKey, ServiceLevelBucket] = {}
        self._newest = 0

    def record_whole(self, key: ServiceLevelKey, *, met: bool,
                     tokens: int) -> None:
        """Counts a whole answer."""
        bucket = self._find(key)
        bucket.asked += 1
        bucket.whole += 1
        bucket.met += met
        bucket.tokens_useful += tokens

    def record_refused(self, key: ServiceLevelKey, code: str) -> None:
        """Counts a request that ended in an error."""
        bucket = self._find(key)
        bucket.asked += 1
        bucket.refused[code] += 1

    def record_waste(self, key: ServiceLevelKey, cause: waste_cause.WasteCause,
                     tokens: int) -> None:
        """Counts tokens that were generated in vain."""
        if tokens > 0:
            self._find(key).tokens_wasted[cause.value] += tokens

    def list_buckets(self) -> list[tuple[ServiceLevelKey, ServiceLevelBucket]]:
        """Returns all buckets, oldest first."""
        return sorted(self._buckets.items(), key=lambda each: each[0])

    def _find(self, key: ServiceLevelKey) -> ServiceLevelBucket:
        if key.minute > self._newest:
            self._newest = key.minute
            oldest = key.minute - _BUCKETS_KEPT
            for old in [k for k in self._buckets if k.minute <= oldest]:
                del self._buckets[old]
        return self._buckets.setdefault(key, ServiceLevelBucket())


def compute_minute(time: datetime.datetime) -> int:
    """Returns the number of a time's bucket."""
    return int(time.timestamp() // _BUCKET.total_seconds())
