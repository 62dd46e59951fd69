"""Changes of a large configuration, each of which adds a route."""

import copy
import time

_ROUTES = 1400
"""Number of routes that nobody calls; they make the configuration large."""


class RouteChanges:
    """Adds routes to the configuration in a store.

    Attributes:
        path: Path of the newest route; empty before the first change.
        acknowledged_at: Monotonic time in seconds at which the store has
            acknowledged that change.
    """

    def __init__(self, stores, document, is_large):
        """Writes the first configuration.

        Args:
            stores: The stores that hold it.
            document: The configuration.
            is_large: Whether it has many routes.
        """
        self._stores = stores
        self._document = copy.deepcopy(document)
        self.path = ""
        self.acknowledged_at = 0.0
        self._count = 0
        for number in range(_ROUTES if is_large else 0):
            self._append(f"/large-{number}/")
        self._write()

    def add(self):
        """Adds a route."""
        self._count += 1
        path = f"/post/new-{self._count}/"
        self._append(path)
        self._document["version"] += 1
        self._write()
        self.path, self.acknowledged_at = path, time.monotonic()

    def write_again(self):
        """Writes the newest configuration after the store has lost writes."""
        self._write()

    def _append(self, path):
        self._document["routes"].append({
            **self._document["routes"][1], "name": path,
            "path_prefix": path
        })

    def _write(self):
        for each in self._stores:
            each.put("op/config", self._document)
