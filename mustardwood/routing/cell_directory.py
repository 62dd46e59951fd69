"""Directory of the configured cells and endpoints."""

import collections.abc
import random

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood.routing import cell_tracker


class CellDirectory:
    """Holds the cells and endpoints, with one tracker for each cell.

    Args:
        region: Region of the entry, whose cells are preferred.
        rng: Random number generator.

    Attributes:
        trackers: Trackers by cell name.
    """

    def __init__(self, region: str, rng: random.Random) -> None:
        self.trackers: dict[str, cell_tracker.CellTracker] = {}
        self._region = region
        self._rng = rng
        self._endpoints: dict[str, configuration.Endpoint] = {}
        self._leaving_endpoints: frozenset[str] = frozenset()

    def apply_document(self, document: configuration.Document) -> None:
        """Applies a configuration; cells that stay keep their trackers."""
        trackers = {}
        for cell in cells.build_cells(document):
            tracker = self.trackers.get(cell.name)
            if tracker is None:
                tracker = cell_tracker.CellTracker(cell)
            tracker.cell = cell
            trackers[cell.name] = tracker
        self.trackers = trackers
        self._endpoints = {each.name: each for each in document.endpoints}

    def apply_view(self, view: messages.View) -> None:
        """Applies the VMs and the leaving endpoints of a view of the fleet."""
        self._leaving_endpoints = frozenset(view.leaving_endpoints)
        for tracker in self.trackers.values():
            tracker.update_members(view.members)

    def find_endpoint(self, name: str) -> configuration.Endpoint | None:
        """Returns an endpoint by name; None if it takes no new requests."""
        endpoint = self._endpoints.get(name)
        if endpoint is None or name in self._leaving_endpoints:
            return None
        if endpoint.state is not configuration.EndpointState.ACTIVE:
            return None
        return endpoint

    def find_owner_ip(self, cell: str) -> str:
        """Returns the IP address of a cell's owner; empty if there is none."""
        tracker = self.trackers.get(cell)
        if tracker is None or tracker.owner is None:
            return ""
        return tracker.owner.ip

    def pick_cell(
        self, model_or_service: str, excluded: collections.abc.Collection[str]
    ) -> cell_tracker.CellTracker | None:
        """Picks a cell by power of two choices [1]_.

        Of two random cells, the one with the shorter queue delay is picked.

        Args:
            model_or_service: Name of the model or service to find a cell for.
            excluded: Names of cells that must not be picked.

        Returns:
            The tracker of a cell, preferably of the entry's region; None if no
            cell is left.

        References:
            .. [1] M. Mitzenmacher, "The power of two choices in randomized
               load balancing", IEEE TPDS 12(10), 2001.
        """
        usable = [
            each for each in self.trackers.values()
            if each.cell.serves == model_or_service and
            each.cell.name not in excluded
        ]
        local = [each for each in usable if each.cell.region == self._region]
        candidates = local or usable
        if not candidates:
            return None
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda each: each.queue_delay)
