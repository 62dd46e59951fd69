"""Routes, API keys and services of one version of the configuration."""

import collections.abc
import dataclasses
import datetime

from mustardwood.dispatch import organisation as organisation_module
from mustardwood.dispatch import retry_policy
from mustardwood.dispatch import route as route_module
from mustardwood.dispatch import service_parameters

_PAST_SERVICE_MEMORY = datetime.timedelta(seconds=60)
"""Time for which the former services of a route are remembered.

It is that for which the streams of callers who may resume them are kept.
"""

_RouteKey = tuple[str, str]


class RouteTable:
    """Lookup of routes by host and path, and of organisations by API key.

    Requests are ordered by the priority of their organisation and, among equal
    ones, by that of their route. The tier of a request is its rank in this
    order, so that wherever tiers are compared, both priorities count.

    Attributes:
        version: Version of the configuration.
        tier_count: Number of tiers; the last one is the least urgent.
        past_services: For each host and path prefix whose requests recent
            versions led to other services: these, with the monotonic time until
            which they did.

    Examples:
        >>> table = RouteTable(7, (), ())
        >>> table.find_route("example.org", "/a/b") is None
        True
    """

    tier_count: int

    def __init__(
        self,
        version: int,
        routes: collections.abc.Iterable[route_module.Route],
        organisations: collections.abc.Iterable[
            organisation_module.Organisation],
        services: collections.abc.Iterable[
            service_parameters.ServiceParameters] = ()
    ) -> None:
        self.version = version
        self._routes = {(each.host, each.path_prefix): each for each in routes}
        self._services = _add_stream_targets(services, self._routes.values())
        self.past_services: dict[_RouteKey, dict[str, datetime.timedelta]] = {}
        organisations = tuple(organisations)
        self._by_key = {
            key: each for each in organisations for key in each.api_keys
        }
        self._tiers = _rank_priorities(self._routes.values(), organisations)
        self.tier_count = max(1, len(self._tiers))

    def find_route(self, host: str, path: str) -> route_module.Route | None:
        """Returns the host's route with the longest prefix of a path."""
        for key in _list_keys(host, path):
            found = self._routes.get(key)
            if found is not None:
                return found
        return None

    def list_route_keys(self) -> collections.abc.Set[_RouteKey]:
        """Returns the host and path prefix of each route."""
        return self._routes.keys()

    def record_previous(self, previous: "RouteTable",
                        now: datetime.timedelta) -> bool:
        """Records to which services the previous version led.

        Args:
            previous: The table that was in force until now.
            now: Monotonic time.

        Returns:
            Whether streams that callers may resume lead to other services now.
        """
        has_moved_streams = False
        oldest = now - _PAST_SERVICE_MEMORY
        for key, services in previous.past_services.items():
            recent = {
                name: until
                for name, until in services.items()
                if until >= oldest
            }
            if recent:
                self.past_services[key] = recent
        for key in self.list_route_keys() | previous.list_route_keys():
            host, path_prefix = key
            present = self.find_route(host, path_prefix)
            past = previous.find_route(host, path_prefix)
            if past is not None and (present is None or
                                     present.targets != past.targets):
                known = self.past_services.setdefault(key, {})
                known.update((each.service, now) for each in past.targets)
                has_moved_streams = (has_moved_streams or past.retry_policy
                                     is retry_policy.RetryPolicy.RESUMABLE)
        return has_moved_streams

    def find_past_services(self, host: str, path: str,
                           since: datetime.timedelta) -> frozenset[str]:
        """Returns the services to which other versions led a request.

        Args:
            host: Host of the request.
            path: Its path.
            since: Monotonic time from which on other versions count.
        """
        return frozenset(
            name for key in _list_keys(host, path)
            for name, until in self.past_services.get(key, {}).items()
            if until >= since)

    def find_organisation(self,
                          key: str) -> organisation_module.Organisation | None:
        """Returns the organisation that an API key belongs to."""
        return self._by_key.get(key)

    def find_tier(self, route: route_module.Route,
                  organisation: organisation_module.Organisation | None) -> int:
        """Returns the tier of an organisation's requests on a route.

        Args:
            route: The route, one of the table's.
            organisation: The caller's organisation, one of the table's; None
                on a route that needs no API key.

        Returns:
            The tier; 0 is the most urgent.
        """
        organisation_tier = None if organisation is None else organisation.tier
        return self._tiers[_combine_priorities(route.tier, organisation_tier)]

    def find_service(self, name: str) -> service_parameters.ServiceParameters:
        """Returns a service's parameters; defaults for an unknown service."""
        return self._services.get(name) or service_parameters.ServiceParameters(
            name)

    def list_services(self) -> tuple[service_parameters.ServiceParameters, ...]:
        """Returns the parameters of all services that the table lists."""
        return tuple(self._services.values())


def _list_keys(host: str, path: str) -> collections.abc.Iterator[_RouteKey]:
    """Yields the keys of a host's routes for a path, the longest first."""
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield host, path[:end + 1]


def _add_stream_targets(
    services: collections.abc.Iterable[service_parameters.ServiceParameters],
    routes: collections.abc.Iterable[route_module.Route]
) -> dict[str, service_parameters.ServiceParameters]:
    """Returns the services by name, with the targets of their streams."""
    shortest: dict[str, datetime.timedelta] = {}
    for route in routes:
        for target in route.targets if route.is_stream else ():
            shortest[target.service] = min(
                route.inter_event_target,
                shortest.get(target.service, datetime.timedelta.max))
    return {
        each.name:
            dataclasses.replace(each,
                                shortest_inter_event_target=shortest.get(
                                    each.name)) for each in services
    }


def _rank_priorities(
    routes: collections.abc.Iterable[route_module.Route],
    organisations: collections.abc.Iterable[organisation_module.Organisation]
) -> dict[tuple[int, int], int]:
    """Returns the ranks of all combined priorities; 0 is the most urgent."""
    organisation_tiers = {each.tier for each in organisations}
    combined = set()
    for needs_key, route_tier in {(each.needs_key, each.tier) for each in routes
                                 }:
        for organisation_tier in organisation_tiers if needs_key else (None,):
            combined.add(_combine_priorities(route_tier, organisation_tier))
    return {each: rank for rank, each in enumerate(sorted(combined))}


def _combine_priorities(route_tier: int,
                        organisation_tier: int | None) -> tuple[int, int]:
    """Returns the priorities by which a request is ordered.

    Without a priority of its own, an organisation has that of the route.
    """
    if organisation_tier is None:
        return route_tier, route_tier
    return organisation_tier, route_tier
