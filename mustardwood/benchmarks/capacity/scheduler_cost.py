"""Processor time of a cell's scheduler."""

import datetime

from mustardwood import cells
from mustardwood import messages
from mustardwood import scheduling
from mustardwood.benchmarks.capacity import sized_document
from mustardwood.benchmarks.capacity import slope
from mustardwood.benchmarks.capacity import stopwatch

_WAITING = (0, 100, 1000, 4000)
_ENDPOINTS = (4, 8, 16)
_ASKS = 200
_REPEATS = 5
_BACKLOG = 1000
_MODEL = 1
_STEP = datetime.timedelta(milliseconds=1)


class _Cell:
    """One cell whose answers come back at once.

    Args:
        endpoints: Endpoints of the cell.
        waiting: Requests that wait all the time.
    """

    def __init__(self, endpoints: int, waiting: int) -> None:
        document = sized_document.make_document(endpoints, models=_MODEL)
        regions = {each.region: each for each in cells.build_cells(document)}
        self._cell = regions["region-0"]
        self._scheduler = scheduling.CellScheduler.from_config(
            self._cell, document)
        self._now = datetime.timedelta(seconds=100)
        self._sender = messages.Peer("10.9.0.1", messages.Role.ENTRY)
        self._count = 0
        self._running: list[messages.Grant] = []
        self._scheduler.tick(self._now)
        self._now += datetime.timedelta(seconds=5)
        slots = sum(each.concurrency for each in self._cell.endpoints)
        # An idle cell has free slots all the time, any other none.
        self._fill(slots + waiting if waiting else 0)

    def _fill(self, count: int) -> None:
        for _ in range(count):
            self._ask()

    def _ask(self) -> None:
        self._count += 1
        number = self._count
        ask = messages.Ask(request_id=f"request-{number:08d}",
                           attempt=1,
                           cell=self._cell.name,
                           class_name=f"class-{number % 6}",
                           organisation=f"organisation-{number % 220}",
                           prompt_tokens=500,
                           max_tokens=330,
                           prefix=number % 50,
                           waited=datetime.timedelta(),
                           remaining=datetime.timedelta(seconds=300),
                           fingerprint=f"{number:016x}")
        self._take(self._scheduler.handle_ask(self._sender, ask, self._now))

    def run_requests(self) -> None:
        """Ends a running request and asks for another, many times."""
        for _ in range(_ASKS):
            self._now += _STEP
            self._ask()
            self._end_oldest()

    def _end_oldest(self) -> None:
        grant = self._running.pop(0)
        for outcome in (None, messages.Outcome.WHOLE):
            report = messages.AttemptReport(
                request_id=grant.request_id,
                attempt=1,
                cell=grant.cell,
                endpoint=grant.endpoint,
                outcome=outcome,
                first_token=datetime.timedelta(seconds=0.3),
                inter_token=datetime.timedelta(seconds=0.03),
                output_tokens=330,
                fingerprint="")
            self._take(
                self._scheduler.handle_attempt_report(self._sender, report,
                                                      self._now))

    def _take(self, answers: tuple[messages.AddressedMessage, ...]) -> None:
        self._running += [
            each.message
            for each in answers
            if isinstance(each.message, messages.Grant)
        ]


def measure() -> list[slope.Slope]:
    """Returns the time of a whole request: an ask, a grant, two reports."""
    scale = 1e6 / _ASKS
    by_waiting = {
        float(waiting):
            stopwatch.repeat(
                _Cell(16 * 4, waiting).run_requests, _REPEATS, scale)
        for waiting in _WAITING
    }
    by_endpoints = {
        float(count):
            stopwatch.repeat(
                _Cell(count * 4, _BACKLOG).run_requests, _REPEATS, scale)
        for count in _ENDPOINTS
    }
    return [
        slope.fit_slope(
            "scheduler core, a request, by waiting length (16 endpoints)", "us",
            "waiting requests", by_waiting),
        slope.fit_slope(
            "scheduler core, a request, by endpoints of a cell (1000 waiting)",
            "us", "endpoints", by_endpoints),
    ]
