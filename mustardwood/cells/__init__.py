"""Groups of endpoints, called cells, and the assignment of cells to VMs.

The endpoints of a model or service in a region are split into cells. One VM
owns each cell: the scheduler there queues and grants the cell's requests.
"""

from mustardwood.cells.cell import Cell
from mustardwood.cells.ownership import rank_owners
from mustardwood.cells.partition import build_cells
from mustardwood.cells.partition import MAX_ENDPOINTS_PER_CELL

__all__ = ["Cell", "MAX_ENDPOINTS_PER_CELL", "build_cells", "rank_owners"]
