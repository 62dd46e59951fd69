"""Cells: groups of endpoints, and the VM that decides for each."""

from mustardwood.cells.cell import Cell
from mustardwood.cells.ownership import rank_owners
from mustardwood.cells.partition import build_cells
from mustardwood.cells.partition import CELL_SIZE

__all__ = ["CELL_SIZE", "Cell", "build_cells", "rank_owners"]
