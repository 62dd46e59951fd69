"""Grants of an entry to itself while no owner answers."""

import collections.abc
import typing

from mustardwood import cells

MAX_LOCAL_ATTEMPTS_PER_ENDPOINT = 2
"""Requests that an entry runs at once on an endpoint without an owner."""


class EndpointSelector(typing.Protocol):
    """Chooses endpoints without a scheduler, within a small limit."""

    def select_endpoint(
            self, cell: cells.Cell, excluded: collections.abc.Collection[str],
            running: collections.abc.Mapping[str, int]) -> str | None:
        """Returns an endpoint with room, or None."""


class LeastLoadedSelector:
    """Chooses the endpoint that runs least of this entry's work."""

    def select_endpoint(
            self, cell: cells.Cell, excluded: collections.abc.Collection[str],
            running: collections.abc.Mapping[str, int]) -> str | None:
        """Returns an endpoint with room, or None.

        Args:
            cell: The cell.
            excluded: Endpoints to leave out.
            running: Attempts of this entry by endpoint.
        """
        usable = [
            each.name
            for each in cell.endpoints
            if each.name not in excluded and running.get(each.name, 0) < min(
                MAX_LOCAL_ATTEMPTS_PER_ENDPOINT, each.concurrency)
        ]
        return min(usable, key=lambda name: running.get(name, 0), default=None)
