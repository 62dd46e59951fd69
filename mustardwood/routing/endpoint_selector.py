"""Selection of an endpoint by the entry itself while no owner replies."""

import collections.abc
import typing

from mustardwood import cells

MAX_LOCAL_ATTEMPTS_PER_ENDPOINT = 2
"""Maximum number of concurrent attempts of one entry on one endpoint.

It holds only while no scheduler coordinates the entries.
"""


class EndpointSelector(typing.Protocol):
    """Selects endpoints without a scheduler, within a small limit."""

    def select(self, cell: cells.Cell,
               excluded: collections.abc.Collection[str],
               running: collections.abc.Mapping[str, int]) -> str | None:
        """Returns the name of an endpoint with free capacity, or None."""


class LeastLoadedSelector:
    """Selects the endpoint with the fewest running attempts of this entry."""

    def select(self, cell: cells.Cell,
               excluded: collections.abc.Collection[str],
               running: collections.abc.Mapping[str, int]) -> str | None:
        """Returns the name of an endpoint with free capacity, or None.

        Args:
            cell: The cell to select an endpoint of.
            excluded: Names of endpoints that must not be selected.
            running: Number of the entry's running attempts by endpoint.
        """
        usable = [
            each.name
            for each in cell.endpoints
            if each.name not in excluded and running.get(each.name, 0) < min(
                MAX_LOCAL_ATTEMPTS_PER_ENDPOINT, each.concurrency)
        ]
        return min(usable, key=lambda name: running.get(name, 0), default=None)
