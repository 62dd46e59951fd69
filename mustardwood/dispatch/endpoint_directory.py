"""Directory of the endpoints that may receive requests."""

import collections.abc
import datetime

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module

REGISTRATION_GRACE = datetime.timedelta(seconds=2.2)
"""Time after a store outage in which endpoints register again.

The platform guarantees two seconds; the rest covers the delay of the watch.
"""
_REPLACED_MARK_LIFETIME = datetime.timedelta(seconds=10)
"""Time for which an endpoint stays marked as replaced.

It is longer than the three missed heartbeats after which the registration of a
crashed endpoint expires.
"""
_MAX_LISTING_AGE = datetime.timedelta(seconds=7)
"""Maximum age of a current list of endpoints: two waits of a watch."""
_VERSION_MEMORY = datetime.timedelta(seconds=60)
"""Time for which a version is remembered after its last endpoint."""


class EndpointDirectory:
    """Keeps the endpoints that are registered in the store.

    Failure: during a long outage of the store, registrations expire although
    the endpoints still serve requests. A removal that is received within
    `REGISTRATION_GRACE` after the outage takes effect at the end of that grace
    period, and not at all if the endpoint registers again before.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._endpoints: dict[str, endpoint_module.Endpoint] = {}
        self._pending_removals: dict[str, datetime.timedelta] = {}
        self._replaced: dict[str, tuple[endpoint_module.Endpoint,
                                        datetime.timedelta]] = {}
        self._grace_period_end: datetime.timedelta | None = None
        self._by_service: dict[str, tuple[endpoint_module.Endpoint, ...]] = {}
        self._past_versions: dict[tuple[str, str], datetime.timedelta] = {}
        self._listed_at: datetime.timedelta | None = None
        self._complete_since: datetime.timedelta | None = None

    def record_store_recovery(self) -> None:
        """Starts the grace period after a long store outage.

        This must be called before the changes that follow the outage are
        applied.
        """
        self._grace_period_end = self._clock.monotonic() + REGISTRATION_GRACE

    def set_endpoint(self, endpoint: endpoint_module.Endpoint) -> bool:
        """Adds or replaces an endpoint and returns whether anything changed."""
        self._pending_removals.pop(endpoint.name, None)
        if self._endpoints.get(endpoint.name) == endpoint:
            return False
        self._remember_version(endpoint.name)
        self._endpoints[endpoint.name] = endpoint
        self._by_service.clear()
        return True

    def remove_endpoint(self, name: str) -> bool:
        """Removes an endpoint, or schedules this for the grace period's end.

        Returns:
            Whether it was removed immediately.
        """
        if name not in self._endpoints:
            return False
        now = self._clock.monotonic()
        if self._grace_period_end is not None and now < self._grace_period_end:
            self._pending_removals[name] = self._grace_period_end
            return False
        return self._remove_now(name)

    def keep_only(self, names: collections.abc.Set[str]) -> list[str]:
        """Removes all endpoints except those of a complete listing.

        Args:
            names: Names of the endpoints in the listing.

        Returns:
            Names of the known endpoints that the listing lacks.
        """
        missing = [each for each in self._endpoints if each not in names]
        for name in missing:
            self.remove_endpoint(name)
        return missing

    def mark_replaced(self, endpoint: endpoint_module.Endpoint) -> None:
        """Marks an endpoint whose address is now used by another endpoint.

        Failure: many endpoints crash and restart immediately under new ids.
        Until the old registrations expire, each VM would send requests to them
        again and again. The mark has no effect once the endpoint registers
        with a new start time.
        """
        self._replaced[endpoint.name] = (endpoint, self._clock.monotonic() +
                                         _REPLACED_MARK_LIFETIME)
        self._by_service.clear()

    def list_usable(self, service: str) -> tuple[endpoint_module.Endpoint, ...]:
        """Returns the endpoints of a service that accept new requests."""
        self._process_expirations()
        known = self._by_service.get(service)
        if known is None:
            known = tuple(each for _, each in sorted(self._endpoints.items())
                          if each.service == service and not each.is_leaving and
                          not self._is_replaced(each))
            self._by_service[service] = known
        return known

    def find_endpoint(self, name: str) -> endpoint_module.Endpoint | None:
        """Returns the endpoint with a name, including one that is leaving."""
        self._process_expirations()
        return self._endpoints.get(name)

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint is known."""
        return not self._endpoints

    def record_listing(self, time: datetime.timedelta) -> None:
        """Records that all registrations up to a time are known.

        Args:
            time: Monotonic time at which the list was requested.
        """
        if (self._listed_at is None or
                time - self._listed_at > _MAX_LISTING_AGE):
            self._complete_since = time
        self._listed_at = time

    def find_only_version(self, service: str,
                          period: datetime.timedelta) -> str | None:
        """Returns the only software version that a service has recently had.

        Args:
            service: Name of the service.
            period: Time before now that counts; at most a minute.

        Returns:
            The version; None if there were several, if one is unknown, or if
            registrations may be missing.
        """
        now = self._clock.monotonic()
        period = min(period, _VERSION_MEMORY)
        if (self._listed_at is None or self._complete_since is None or
                now - self._listed_at > _MAX_LISTING_AGE or
                now - self._complete_since < period):
            return None
        self._process_expirations()
        versions = {
            each.version
            for each in self._endpoints.values()
            if each.service == service
        }
        for (name, version), time in list(self._past_versions.items()):
            if now - time > _VERSION_MEMORY:
                del self._past_versions[name, version]
            elif name == service and now - time <= period:
                versions.add(version)
        return versions.pop() or None if len(versions) == 1 else None

    def _remember_version(self, name: str) -> None:
        known = self._endpoints.get(name)
        if known is not None:
            self._past_versions[known.service,
                                known.version] = self._clock.monotonic()

    def _remove_now(self, name: str) -> bool:
        self._remember_version(name)
        self._by_service.clear()
        return self._endpoints.pop(name, None) is not None

    def _is_replaced(self, endpoint: endpoint_module.Endpoint) -> bool:
        marked = self._replaced.get(endpoint.name)
        return marked is not None and marked[0].started == endpoint.started

    def _process_expirations(self) -> None:
        now = self._clock.monotonic()
        for name, (_, due) in list(self._replaced.items()):
            if now >= due:
                del self._replaced[name]
                self._by_service.clear()
        if not self._pending_removals:
            return
        for name, due in list(self._pending_removals.items()):
            if now >= due:
                del self._pending_removals[name]
                self._remove_now(name)
