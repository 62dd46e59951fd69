"""The cells of the configuration and the choice between them."""

import collections.abc
import random

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood.routing import cell_contact


class CellDirectory:
    """Keeps one contact for each cell.

    Attributes:
        contacts: Contacts by cell name.
    """

    def __init__(self, region: str, rng: random.Random) -> None:
        self.contacts: dict[str, cell_contact.CellContact] = {}
        self._region = region
        self._rng = rng
        self._endpoints: dict[str, configuration.Endpoint] = {}
        self._leaving: frozenset[str] = frozenset()

    def load_document(self, document: configuration.Document) -> None:
        """Takes over a configuration; known cells keep their contacts."""
        contacts = {}
        for cell in cells.build_cells(document):
            contact = self.contacts.get(cell.name)
            if contact is None:
                contact = cell_contact.CellContact(cell)
            contact.cell = cell
            contacts[cell.name] = contact
        self.contacts = contacts
        self._endpoints = {each.name: each for each in document.endpoints}

    def load_view(self, view: messages.View) -> None:
        """Takes over the VMs and the endpoints that leave."""
        self._leaving = frozenset(view.leaving_endpoints)
        for contact in self.contacts.values():
            contact.rank(view.members)

    def find_endpoint(self, name: str) -> configuration.Endpoint | None:
        """Returns an endpoint that takes new work, or None."""
        endpoint = self._endpoints.get(name)
        if endpoint is None or name in self._leaving:
            return None
        if endpoint.state is not configuration.EndpointState.ACTIVE:
            return None
        return endpoint

    def find_owner_ip(self, cell: str) -> str:
        """Returns the address of a cell's owner; empty when none is known."""
        contact = self.contacts.get(cell)
        if contact is None or contact.owner is None:
            return ""
        return contact.owner.ip

    def pick_cell(
        self, model_or_service: str, tried: collections.abc.Collection[str]
    ) -> cell_contact.CellContact | None:
        """Picks a cell by power of two choices on the queue delay [1]_.

        Args:
            model_or_service: Name of the model or service.
            tried: Cells to leave out.

        Returns:
            A cell, of this region where there is one; None when none is left.

        References:
            .. [1] M. Mitzenmacher, "The power of two choices in randomized
               load balancing", IEEE TPDS 12(10), 2001.
        """
        usable = [
            each for each in self.contacts.values() if
            each.cell.serves == model_or_service and each.cell.name not in tried
        ]
        near = [each for each in usable if each.cell.region == self._region]
        candidates = near or usable
        if not candidates:
            return None
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda each: each.queue_delay)
