"""Partition of the configured endpoints into cells."""

import itertools

from mustardwood import configuration
from mustardwood.cells import cell

MAX_ENDPOINTS_PER_CELL = 16
"""Maximum number of endpoints in a cell."""


def build_cells(document: configuration.Document) -> tuple[cell.Cell, ...]:
    """Splits the endpoints of each model and region into cells.

    Args:
        document: The configuration.

    Returns:
        The cells, sorted by model or service, region and index. The result
        depends only on the configuration, so VMs with the same configuration
        compute the same cells.
    """
    ordered = sorted(document.endpoints,
                     key=lambda each: (each.serves, each.region, each.name))
    cells: list[cell.Cell] = []
    for (serves,
         region), group in itertools.groupby(ordered,
                                             key=lambda each:
                                             (each.serves, each.region)):
        cells.extend(_split_group(serves, region, list(group)))
    return tuple(cells)


def _split_group(serves: str, region: str,
                 endpoints: list[configuration.Endpoint]) -> list[cell.Cell]:
    count = -(-len(endpoints) // MAX_ENDPOINTS_PER_CELL)
    return [
        cell.Cell(f"{serves}/{region}/{index}", serves, region,
                  tuple(endpoints[index::count])) for index in range(count)
    ]
