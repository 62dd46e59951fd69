"""Routes, API keys and services of one version of the configuration."""

import collections.abc

from mustardwood.dispatch import organisation as organisation_module
from mustardwood.dispatch import route as route_module
from mustardwood.dispatch import service_parameters


class RouteTable:
    """Lookup of routes by host and path, and of organisations by API key.

    Attributes:
        version: Version of the configuration.

    Examples:
        >>> table = RouteTable(7, (), ())
        >>> table.find_route("example.org", "/a/b") is None
        True
    """

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
        self._services = {each.name: each for each in services}
        self._by_key = {
            key: each for each in organisations for key in each.api_keys
        }

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
            route: The route.
            organisation: The caller's organisation; None if it is unknown.
        """
        if organisation is not None and organisation.tier is not None:
            return organisation.tier
        return route.tier

    def find_service(self, name: str) -> service_parameters.ServiceParameters:
        """Returns a service's parameters; defaults for an unknown service."""
        return self._services.get(name) or service_parameters.ServiceParameters(
            name)
