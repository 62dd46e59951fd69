"""Which software versions have served a service, and until when."""

import collections.abc
import datetime

import msgspec

_CLOCK_MARGIN = datetime.timedelta(seconds=10)
"""Maximum difference of the VMs' wall clocks, which may jump by seconds."""
_MEMORY = datetime.timedelta(minutes=10)
"""Time for which a version is remembered after its last endpoint."""
_MILLISECOND = datetime.timedelta(milliseconds=1)
_IN_SERVICE = 0
"""Stands for the end of a version that still has endpoints."""


class ServiceVersions(msgspec.Struct, frozen=True, array_like=True):
    """The versions of one service.

    Attributes:
        since: Unix time in milliseconds from which on all versions are known.
        ended: Unix time in milliseconds of the removal of each version's last
            endpoint; 0 if there are still endpoints.
    """

    since: int
    ended: dict[str, int]


class VersionHistory(msgspec.Struct, frozen=True, array_like=True):
    """Software versions by service; it outlasts all VMs in the store.

    A VM that has restarted can't know from memory which versions served before.
    With this history it can tell which one began a stream, if only one can
    have.

    Attributes:
        services: The versions of each service.
    """

    services: dict[str, ServiceVersions] = {}

    def update(self, present: collections.abc.Mapping[str,
                                                      collections.abc.Set[str]],
               now: datetime.datetime,
               since: datetime.datetime) -> "VersionHistory":
        """Returns the history after a complete listing of endpoints.

        Args:
            present: The versions of the registered endpoints by service.
            now: Wall-clock time.
            since: Time from which on all versions are known, for services that
                the history lacks.

        Returns:
            The new history, equal to this one if nothing has changed.
        """
        now_ms = _to_ms(now)
        services = dict(self.services)
        for name in {*present, *services}:
            known = services.get(name, ServiceVersions(_to_ms(since), {}))
            found = present.get(name, frozenset())
            ended = {
                version: end or now_ms
                for version, end in known.ended.items()
                if not end or now_ms - end <= _MEMORY // _MILLISECOND
            }
            ended.update(dict.fromkeys(found, _IN_SERVICE))
            services[name] = ServiceVersions(known.since, ended)
        return VersionHistory(services)

    def has(self, service: str, version: str) -> bool:
        """Returns whether a version of a service has been recorded."""
        known = self.services.get(service)
        return known is not None and version in known.ended

    def find_only_version(self, service: str, period: datetime.timedelta,
                          now: datetime.datetime) -> str | None:
        """Returns the only version that a service has recently had.

        Args:
            service: Name of the service.
            period: Time before now that counts.
            now: Wall-clock time.

        Returns:
            The version; None if there were several, or if one is unknown.
        """
        known = self.services.get(service)
        start = _to_ms(now - period - _CLOCK_MARGIN)
        if known is None or known.since > start:
            return None
        versions = {
            version for version, end in known.ended.items()
            if not end or end >= start
        }
        return versions.pop() or None if len(versions) == 1 else None


def _to_ms(time: datetime.datetime) -> int:
    return int(time.timestamp() * 1000)
