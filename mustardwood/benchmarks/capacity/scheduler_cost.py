"""Processor time of a cell's scheduler for each request."""

import datetime

from mustardwood import cells
from mustardwood import messages
from mustardwood import scheduling
from mustardwood.benchmarks.capacity import sized_document
from mustardwood.benchmarks.capacity import slope
from mustardwood.benchmarks.capacity import stopwatch

_QUEUE_LENGTHS = (0, 100, 1000, 4000)
_ENDPOINT_COUNTS = (4, 8, 16)
_REQUESTS_PER_RUN = 200
_REPETITIONS = 5
_FIXED_QUEUE_LENGTH = 1000
_MODELS = 1
_TIME_STEP = datetime.timedelta(milliseconds=1)


class _Cell:
    """A cell scheduler whose granted attempts are completed by the benchmark.

    Args:
        endpoints: Number of endpoints in the configuration.
        waiting: Number of requests that wait in the queue at all times.
    """

    def __init__(self, endpoints: int, waiting: int) -> None:
        document = sized_document.make_document(endpoints, models=_MODELS)
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
        # Without waiting requests the cell keeps free slots; otherwise all
        # slots are filled first.
        self._send_asks(slots + waiting if waiting else 0)

    def _send_asks(self, count: int) -> None:
        for _ in range(count):
            self._send_ask()

    def _send_ask(self) -> None:
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
        self._collect_grants(
            self._scheduler.handle_ask(self._sender, ask, self._now))

    def run_requests(self) -> None:
        """Sends an ask and completes the oldest request, repeatedly."""
        for _ in range(_REQUESTS_PER_RUN):
            self._now += _TIME_STEP
            self._send_ask()
            self._complete_oldest()

    def _complete_oldest(self) -> None:
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
            self._collect_grants(
                self._scheduler.handle_attempt_report(self._sender, report,
                                                      self._now))

    def _collect_grants(self, answers: tuple[messages.AddressedMessage,
                                             ...]) -> None:
        self._running += [
            each.message
            for each in answers
            if isinstance(each.message, messages.Grant)
        ]


def measure() -> list[slope.Slope]:
    """Returns the cost of a request: one ask, one grant and two reports."""
    scale = 1e6 / _REQUESTS_PER_RUN
    by_waiting = {
        float(waiting):
            stopwatch.measure_repeatedly(
                _Cell(16 * 4, waiting).run_requests, _REPETITIONS, scale)
        for waiting in _QUEUE_LENGTHS
    }
    by_endpoints = {
        float(count):
            stopwatch.measure_repeatedly(
                _Cell(count * 4, _FIXED_QUEUE_LENGTH).run_requests,
                _REPETITIONS, scale) for count in _ENDPOINT_COUNTS
    }
    return [
        slope.fit_slope(
            "scheduler core, a request, by waiting length (16 endpoints)", "us",
            "waiting requests", by_waiting),
        slope.fit_slope(
            "scheduler core, a request, by endpoints of a cell (1000 waiting)",
            "us", "endpoints", by_endpoints),
    ]
