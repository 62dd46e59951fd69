"""Cells: groups of endpoints, and the VM that decides for each."""

from mustardwood.cells.cell import Cell
from mustardwood.cells.ownership import rank_owners
from mustardwood.cells.partition import build_cells
from mustardwood.cells.partition import MAX_ENDPOINTS_PER_CELL

__all__ = ["Cell", "MAX_ENDPOINTS_PER_CELL", "build_cells", "rank_owners"]
