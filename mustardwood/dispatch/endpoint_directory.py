"""Directory of the endpoints that may receive requests."""

import collections.abc
import dataclasses
import datetime

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_notices

REGISTRATION_GRACE = datetime.timedelta(seconds=2.2)
"""Time after a store outage in which endpoints register again.

The platform guarantees two seconds; the rest covers the delay of the watch.
"""
_MAX_LISTING_AGE = datetime.timedelta(seconds=8)
"""Maximum age of a current list of endpoints.

It is that of two waits of a watch, or one of a large deployment.
"""
_VERSION_MEMORY = datetime.timedelta(seconds=60)
"""Time for which a version is remembered after its last endpoint."""
_REMOVAL_RECORD_LIFETIME = datetime.timedelta(seconds=60)
"""Time for which a removal is remembered; a store's copy is seconds old."""
_CONFIRMATION_TIME = datetime.timedelta(seconds=10)
"""Time after which a registration that still stands is that of a live endpoint.

It is longer than the three missed heartbeats after which the registration of an
endpoint that has left expires.
"""


@dataclasses.dataclass(frozen=True)
class _Removal:
    started: int
    removed_at: datetime.timedelta


class EndpointDirectory:
    """Keeps the endpoints that are registered in the store.

    An endpoint leaves if its registration says so or if a VM has learnt it from
    a response, which may be seconds sooner.

    Failure: during a long outage of the store, registrations expire although
    the endpoints still serve requests. A removal that is received within
    `REGISTRATION_GRACE` after the outage takes effect at the end of that grace
    period, and not at all if the endpoint registers again before.

    Failure: a store that is restored from an older copy lacks endpoints that
    have registered since, and shows those that have left. The former have the
    grace period, too. The latter are not used until they have written their
    registration again, or it still stands after `_CONFIRMATION_TIME`.
    """

    def __init__(self, clock: timing.Clock,
                 notices: endpoint_notices.EndpointNotices) -> None:
        """Creates an empty directory.

        Args:
            clock: Source of the monotonic time.
            notices: What VMs have learnt of endpoints from responses.
        """
        self._clock = clock
        self._notices = notices
        self._notice_version = notices.version
        self._endpoints: dict[str, endpoint_module.Endpoint] = {}
        self._pending_removals: dict[str, datetime.timedelta] = {}
        self._removals: dict[str, _Removal] = {}
        self._unconfirmed: dict[str, datetime.timedelta] = {}
        self._missing_in_copy: set[str] = set()
        self._grace_period_end: datetime.timedelta | None = None
        self._restore_grace_end: datetime.timedelta | None = None
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
        # Registrations may not expire during an outage.
        self._restart_confirmations()

    def record_store_restore(self) -> None:
        """Starts the grace period after the store was restored from a copy.

        This must be called before the contents of the copy are applied.
        """
        self._restore_grace_end = self._clock.monotonic() + REGISTRATION_GRACE
        # The copy may lack endpoints, and with them a software version.
        self._listed_at = None
        self._restart_confirmations()

    def find_restore_conflict(self, endpoint: endpoint_module.Endpoint) -> str:
        """Returns why a registration may be out of date; empty if it isn't.

        Args:
            endpoint: A registration that may be from before a restore.
        """
        known = self._endpoints.get(endpoint.name)
        if known is not None:
            if endpoint.started < known.started:
                return "The endpoint is known to have restarted."
            if (known.started == endpoint.started and known.is_leaving and
                    not endpoint.is_leaving):
                return "The endpoint is known to be leaving."
            return ""
        removal = self._removals.get(endpoint.name)
        if removal is not None and endpoint.started <= removal.started:
            return "The endpoint is known to have left."
        return ""

    def set_endpoint(self,
                     endpoint: endpoint_module.Endpoint,
                     is_confirmed: bool = True) -> bool:
        """Adds or replaces an endpoint.

        Args:
            endpoint: The endpoint.
            is_confirmed: Whether its registration was certainly written after
                the store's last restore.

        Returns:
            Whether anything changed.
        """
        if is_confirmed:
            self._removals.pop(endpoint.name, None)
            if self._unconfirmed.pop(endpoint.name, None) is not None:
                self._by_service.clear()
        elif self.find_restore_conflict(endpoint):
            if endpoint.name in self._endpoints:
                return False
            self._unconfirmed[endpoint.name] = (self._clock.monotonic() +
                                                _CONFIRMATION_TIME)
        self._pending_removals.pop(endpoint.name, None)
        self._missing_in_copy.discard(endpoint.name)
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
        self._missing_in_copy.discard(name)
        now = self._clock.monotonic()
        if (self._restore_grace_end is not None and
                now < self._restore_grace_end):
            self._pending_removals[name] = self._restore_grace_end
            return False
        if self._grace_period_end is not None and now < self._grace_period_end:
            self._pending_removals[name] = self._grace_period_end
            return False
        return self._remove_now(name)

    def keep_only(
        self,
        names: collections.abc.Set[str],
        registered_since: collections.abc.Set[str] = frozenset()
    ) -> list[str]:
        """Removes all endpoints except those of a complete listing.

        Args:
            names: Names of the endpoints in the listing.
            registered_since: Names of endpoints that may have registered after
                the copy was made from which the store was restored, so that
                their absence does not mean that they have left.

        Returns:
            Names of the known endpoints that the listing lacks.
        """
        missing = [each for each in self._endpoints if each not in names]
        for name in missing:
            self.remove_endpoint(name)
        self._missing_in_copy.update(registered_since & set(missing))
        return missing

    def list_usable(self, service: str) -> tuple[endpoint_module.Endpoint, ...]:
        """Returns the endpoints of a service that accept new requests."""
        self._process_expirations()
        known = self._by_service.get(service)
        if known is None:
            known = tuple(
                each for _, each in sorted(self._endpoints.items())
                if each.service == service and not self._has_left(each) and
                each.name not in self._unconfirmed)
            self._by_service[service] = known
        return known

    def list_registered(self,
                        service: str) -> tuple[endpoint_module.Endpoint, ...]:
        """Returns the endpoints of a service, including those that leave."""
        self._process_expirations()
        return tuple(each for each in self._endpoints.values()
                     if each.service == service)

    def list_endpoints(self) -> tuple[endpoint_module.Endpoint, ...]:
        """Returns the known endpoints of all services, also draining ones."""
        self._process_expirations()
        return tuple(self._endpoints.values())

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
        self._listed_at = max(time, self._listed_at or time)

    @property
    def listed_at(self) -> datetime.timedelta | None:
        """Monotonic time of the last request that listed all registrations.

        It is None if endpoints may have come and left unseen since.
        """
        return self._listed_at

    def record_listing_gap(self) -> None:
        """Records that endpoints may have come and left unseen until now."""
        self._listed_at = None

    def is_listed_since(self, time: datetime.timedelta) -> bool:
        """Returns whether all registrations were listed at a time or later.

        Args:
            time: Monotonic time.
        """
        return self._listed_at is not None and self._listed_at >= time

    @property
    def is_complete(self) -> bool:
        """Whether all registrations were listed recently."""
        return (self._listed_at is not None and
                self._clock.monotonic() - self._listed_at <= _MAX_LISTING_AGE)

    def list_versions(self) -> dict[str, set[str]]:
        """Returns the versions of the registered endpoints by service."""
        self._process_expirations()
        versions: dict[str, set[str]] = {}
        for each in self._endpoints.values():
            versions.setdefault(each.service, set()).add(each.version)
        return versions

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
        self._unconfirmed.pop(name, None)
        removed = self._endpoints.pop(name, None)
        if removed is None:
            return False
        if not removed.started:
            # The next start under this name can't be told from this one.
            self._notices.forget(removed.incarnation)
        if removed.is_leaving or name not in self._missing_in_copy:
            self._record_removal(removed)
        self._missing_in_copy.discard(name)
        return True

    def _record_removal(self, endpoint: endpoint_module.Endpoint) -> None:
        now = self._clock.monotonic()
        self._removals.pop(endpoint.name, None)
        self._removals[endpoint.name] = _Removal(endpoint.started, now)
        oldest = now - _REMOVAL_RECORD_LIFETIME
        for name, removal in list(self._removals.items()):
            if removal.removed_at >= oldest:
                break
            del self._removals[name]

    def _restart_confirmations(self) -> None:
        due = self._clock.monotonic() + _CONFIRMATION_TIME
        self._unconfirmed = dict.fromkeys(self._unconfirmed, due)

    def _has_left(self, endpoint: endpoint_module.Endpoint) -> bool:
        """Returns whether an endpoint accepts no new requests."""
        return endpoint.is_leaving or any(
            self._notices.has(endpoint.incarnation, kind)
            for kind in (endpoint_notices.NoticeKind.LEAVING,
                         endpoint_notices.NoticeKind.REPLACED))

    def _process_expirations(self) -> None:
        now = self._clock.monotonic()
        self._notices.drop_expired()
        if self._notice_version != self._notices.version:
            self._notice_version = self._notices.version
            self._by_service.clear()
        for name, due in list(self._unconfirmed.items()):
            if now >= due:
                del self._unconfirmed[name]
                self._removals.pop(name, None)
                self._by_service.clear()
        if not self._pending_removals:
            return
        for name, due in list(self._pending_removals.items()):
            if now >= due:
                del self._pending_removals[name]
                self._remove_now(name)
