"""Scheduling of the requests of one cell, without I/O.

It queues requests by tier, class and organisation, sheds load when the queue is
full, limits the concurrency of each endpoint, and grants endpoints to requests.
"""

from mustardwood.scheduling.cell_scheduler import CellScheduler
from mustardwood.scheduling.entry_tracker import ENTRY_TIMEOUT
from mustardwood.scheduling.explanation_log import ExplanationEvent
from mustardwood.scheduling.learning_period import LEARNING_TIME
from mustardwood.scheduling.load_report import LoadReport
from mustardwood.scheduling.observer import NullObserver
from mustardwood.scheduling.observer import Observer
from mustardwood.scheduling.status import CellStatus
from mustardwood.scheduling.status import EndpointStatus

__all__ = [
    "CellScheduler",
    "CellStatus",
    "ENTRY_TIMEOUT",
    "EndpointStatus",
    "ExplanationEvent",
    "LEARNING_TIME",
    "LoadReport",
    "NullObserver",
    "Observer",
]
