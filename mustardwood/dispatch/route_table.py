"""Routes, API keys and services of one version of the configuration."""

import collections.abc
import dataclasses
import datetime

from mustardwood.dispatch import organisation as organisation_module
from mustardwood.dispatch import route as route_module
from mustardwood.dispatch import service_parameters


class RouteTable:
    """Lookup of routes by host and path, and of organisations by API key.

    Requests are ordered by the priority of their organisation and, among equal
    ones, by that of their route. The tier of a request is its rank in this
    order, so that wherever tiers are compared, both priorities count.

    Attributes:
        version: Version of the configuration.
        tier_count: Number of tiers; the last one is the least urgent.

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
        organisations = tuple(organisations)
        self._by_key = {
            key: each for each in organisations for key in each.api_keys
        }
        self._tiers = _rank_priorities(self._routes.values(), organisations)
        self.tier_count = max(1, len(self._tiers))

    def find_route(self, host: str, path: str) -> route_module.Route | None:
        """Returns the host's route with the longest prefix of a path."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = self._routes.get((host, path[:end + 1]))
            if found is not None:
                return found
        return None

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
