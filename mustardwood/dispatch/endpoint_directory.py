"""The endpoints that may get work."""

import collections.abc
import datetime

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module

REGISTRATION_GRACE = datetime.timedelta(seconds=2.2)
"""Time after the store's return in which endpoints register again.

Source: the platform promises two seconds; the rest covers the watch's delay.
"""
_REPLACED_TIME = datetime.timedelta(seconds=10)
"""Time for which an endpoint counts as replaced.

The registration of one that crashed lapses after three heartbeats, which is
less.
"""


class EndpointDirectory:
    """Holds the list from the store through the store's own outages.

    Load pattern: registrations lapse while the store is away although the
    endpoints serve on. A removal that was learned within `REGISTRATION_GRACE`
    of the store's return takes effect only after it, unless the endpoint
    registers again.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._endpoints: dict[str, endpoint_module.Endpoint] = {}
        self._removals: dict[str, datetime.timedelta] = {}
        self._replaced: dict[str, tuple[endpoint_module.Endpoint,
                                        datetime.timedelta]] = {}
        self._grace_ends: datetime.timedelta | None = None
        self._by_service: dict[str, tuple[endpoint_module.Endpoint, ...]] = {}

    def record_store_recovery(self) -> None:
        """Starts the grace period; call it before the news that follow."""
        self._grace_ends = self._clock.monotonic() + REGISTRATION_GRACE

    def set_endpoint(self, endpoint: endpoint_module.Endpoint) -> bool:
        """Adds or replaces an endpoint; returns whether anything changed."""
        self._removals.pop(endpoint.name, None)
        if self._endpoints.get(endpoint.name) == endpoint:
            return False
        self._endpoints[endpoint.name] = endpoint
        self._by_service.clear()
        return True

    def remove_endpoint(self, name: str) -> bool:
        """Removes an endpoint, now or when the grace period ends.

        Returns:
            Whether it was removed at once.
        """
        if name not in self._endpoints:
            return False
        now = self._clock.monotonic()
        if self._grace_ends is not None and now < self._grace_ends:
            self._removals[name] = self._grace_ends
            return False
        return self._drop(name)

    def keep_only(self, names: collections.abc.Set[str]) -> list[str]:
        """Removes the endpoints that a whole listing does not hold."""
        missing = [each for each in self._endpoints if each not in names]
        for name in missing:
            self.remove_endpoint(name)
        return missing

    def mark_replaced(self, endpoint: endpoint_module.Endpoint) -> None:
        """Learns that another endpoint answers at an endpoint's address.

        Load pattern: many endpoints crash and are back at once under new ids;
        until the old registrations lapse, each VM would send to them again and
        again. The mark ends when the endpoint registers a new start.
        """
        self._replaced[endpoint.name] = (endpoint, self._clock.monotonic() +
                                         _REPLACED_TIME)
        self._by_service.clear()

    def list_usable(self, service: str) -> tuple[endpoint_module.Endpoint, ...]:
        """Returns the endpoints of a service that take new work."""
        self._drop_expired()
        known = self._by_service.get(service)
        if known is None:
            known = tuple(each for _, each in sorted(self._endpoints.items())
                          if each.service == service and not each.is_leaving and
                          not self._is_replaced(each))
            self._by_service[service] = known
        return known

    def find_endpoint(self, name: str) -> endpoint_module.Endpoint | None:
        """Returns the endpoint of a name, also a leaving one."""
        self._drop_expired()
        return self._endpoints.get(name)

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint is known."""
        return not self._endpoints

    def _drop(self, name: str) -> bool:
        self._by_service.clear()
        return self._endpoints.pop(name, None) is not None

    def _is_replaced(self, endpoint: endpoint_module.Endpoint) -> bool:
        marked = self._replaced.get(endpoint.name)
        return marked is not None and marked[0].started == endpoint.started

    def _drop_expired(self) -> None:
        now = self._clock.monotonic()
        for name, (_, due) in list(self._replaced.items()):
            if now >= due:
                del self._replaced[name]
                self._by_service.clear()
        if not self._removals:
            return
        for name, due in list(self._removals.items()):
            if now >= due:
                del self._removals[name]
                self._drop(name)
