"""A modelled platform with endpoints, reclaims and a queue of demand."""

import collections
import dataclasses
import datetime
import itertools
import math

from mustardwood import scaling

STEP = 0.1
"""Step of the model, in seconds."""
BOOT_TIME = 4.0
_DRAIN_TIME = 2.0
"""Time from the notice until an endpoint leaves, in seconds."""
_RECLAIM_TIME = 12.0
"""Time after the notice in which a zone has no preemptible endpoints."""
_MAX_WAIT = 0.5
"""Time in seconds after which waiting demand is unmet: a first-byte target."""
_TIME_CONSTANT = 4.0
"""Time constant of the demand that `TierAdmission` estimates, in seconds."""
PREEMPTIBLE_PRICE = 0.22
PRICES = {"a": 0.85, "b": 1.0, "c": 1.2}
PARAMETERS = scaling.ScalingParameters(1, 38,
                                       datetime.timedelta(seconds=BOOT_TIME),
                                       PREEMPTIBLE_PRICE, PRICES)


@dataclasses.dataclass
class ModelEndpoint:
    """An endpoint; its states are those of its times, in seconds."""

    zone: str
    is_preemptible: bool
    ready_at: float
    version: str = "v1"
    draining_since: float = math.inf

    def is_ready(self, now):
        """Returns whether it accepts requests."""
        return self.ready_at <= now < self.draining_since


class FleetModel:
    """Executes orders and serves demand.

    Attributes:
        now: Time in seconds.
        priced_seconds: Endpoint-seconds so far, weighted by price.
        unmet: Demand by tier that waited too long, in engine-seconds.
        orders: Time and contents of each executed order.
        above_limit: Those that would have exceeded the limit of the zone, and
            were refused.
        arrived: All demand by tier, in engine-seconds.
    """

    def __init__(self, demand, start_counts=(19, 19, 18), max_count=38):
        self.demand = demand
        self.max_count = max_count
        self.now = 0.0
        self.endpoints = [
            ModelEndpoint(zone, False, 0.0)
            for zone, count in zip(PRICES, start_counts)
            for _ in range(count)
        ]
        self.priced_seconds = 0.0
        self.unmet = collections.Counter()
        self.arrived = collections.Counter()
        self.busy = 0.0
        self.orders = []
        self.above_limit = []
        self._queues = collections.defaultdict(collections.deque)
        self._smoothed = collections.Counter()
        self._weight = 0.0
        self._reclaimed_at = {}

    def order(self, zone, count, is_preemptible):
        """Executes an order; returns whether endpoints were available."""
        group = [
            each for each in self.endpoints
            if each.zone == zone and each.is_preemptible == is_preemptible and
            each.draining_since == math.inf
        ]
        self.orders.append((self.now, zone, count, is_preemptible))
        missing = count - len(group)
        if missing > 0:
            if is_preemptible and (self.now -
                                   self._reclaimed_at.get(zone, -math.inf)
                                   < _RECLAIM_TIME):
                return False
            alive = sum(each.zone == zone and each.draining_since == math.inf
                        for each in self.endpoints)
            if alive + missing > self.max_count:
                self.above_limit.append((self.now, zone, count, is_preemptible))
                return False
            self.endpoints += [
                ModelEndpoint(zone, is_preemptible, self.now + BOOT_TIME)
                for _ in range(missing)
            ]
            return True
        # The newest go first, those that are not ready yet before all others.
        for each in sorted(group,
                           key=lambda each: -each.ready_at)[:-missing or None]:
            if missing == 0:
                break
            if each.ready_at > self.now:
                self.endpoints.remove(each)
            else:
                each.draining_since = self.now
            missing += 1
        return True

    def reclaim(self, zone):
        """Takes all preemptible endpoints of a zone, with a notice."""
        self._reclaimed_at[zone] = self.now
        for each in list(self.endpoints):
            if each.zone == zone and each.is_preemptible:
                if each.ready_at > self.now:
                    self.endpoints.remove(each)
                else:
                    each.draining_since = min(each.draining_since, self.now)

    def count(self, zone=None, is_preemptible=None):
        """Returns the number of endpoints that accept requests."""
        return sum(
            each.is_ready(self.now) and zone in (None, each.zone) and
            is_preemptible in (None, each.is_preemptible)
            for each in self.endpoints)

    def advance(self):
        """Advances by one step."""
        self.now += STEP
        self.endpoints = [
            each for each in self.endpoints
            if self.now < each.draining_since + _DRAIN_TIME
        ]
        self.priced_seconds += STEP * sum(
            PRICES[each.zone] *
            (PREEMPTIBLE_PRICE if each.is_preemptible else 1.0)
            for each in self.endpoints)
        self._serve()

    def make_state(self, error=1.0, pinned_count=None, is_complete=True):
        """Returns the state as a VM knows it.

        Args:
            error (float): Factor by which the demand is estimated wrongly.
            pinned_count (int | None): Number that the operator has set.
            is_complete (bool): Whether all is known.
        """
        return scaling.ServiceState(
            "engine", dataclasses.replace(PARAMETERS, max_count=self.max_count),
            {
                tier: each / max(self._weight, 0.5) * error
                for tier, each in self._smoothed.items()
            }, self.busy,
            tuple(
                scaling.PresentEndpoint(each.zone, each.is_preemptible,
                                        each.draining_since <= self.now,
                                        each.version)
                for each in self.endpoints
                if each.ready_at <= self.now), is_complete, pinned_count)

    def _serve(self):
        capacity = left = self.count() * STEP
        share = STEP / _TIME_CONSTANT
        self._weight += (1.0 - self._weight) * share
        for tier, demand in enumerate(self.demand.find(self.now)):
            self._smoothed[tier] += (demand - self._smoothed[tier]) * share
            self.arrived[tier] += demand * STEP
            queue = self._queues[tier]
            queue.append([self.now, demand * STEP])
            while queue and left > 0.0:
                served = min(left, queue[0][1])
                left -= served
                queue[0][1] -= served
                if queue[0][1] > 1e-9:
                    break
                queue.popleft()
            while queue and self.now - queue[0][0] >= _MAX_WAIT:
                self.unmet[tier] += queue.popleft()[1]
        used = (capacity - left) / STEP
        waiting = sum(
            each[1] for each in itertools.chain(*self._queues.values()))
        # Streams are up to three times as fast while load is low.
        utilization = used * STEP / capacity if capacity else 1.0
        self.busy = used * (1.0 + 2.0 * utilization) / 3.0 + waiting
