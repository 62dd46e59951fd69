"""All that a scheduler knows of one cell."""

import datetime

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood.scheduling import drain_rate
from mustardwood.scheduling import endpoint_pool
from mustardwood.scheduling import explanation_log
from mustardwood.scheduling import finished_attempts
from mustardwood.scheduling import observer as observer_module
from mustardwood.scheduling import output_length_estimator
from mustardwood.scheduling import request_queue
from mustardwood.scheduling import slot_reservation
from mustardwood.scheduling import starvation_prevention
from mustardwood.scheduling import suspects
from mustardwood.scheduling import waiting_request

_PROMPT_TOKEN_COST = 0.1
"""Cost of a prompt token, relative to a generated one."""


class CellState:
    """The parts that the decisions of a cell share.

    Attributes:
        cell: The cell.
        document: Configuration in force.
        classes: Request classes by name.
        queue: Waiting requests.
        pool: Endpoints and running attempts.
        lengths: Estimates of answers' lengths.
        floor: What classes are owed.
        drain: Measured rate of grants.
        reserve: Slots kept free for more urgent classes.
        suspects: Requests that may crash endpoints.
        memory: Attempts that are over.
        log: Decisions about recent requests.
        observer: Counts decisions.
    """

    def __init__(self, cell: cells.Cell, document: configuration.Document,
                 observer: observer_module.Observer) -> None:
        self.cell = cell
        self.document = document
        self.classes = {each.name: each for each in document.classes}
        self.queue = request_queue.RequestQueue()
        self.pool = endpoint_pool.EndpointPool(cell)
        self.output_lengths = output_length_estimator.OutputLengthEstimator()
        self.starvation_prevention = starvation_prevention.StarvationPrevention(
            document.classes)
        self.drain_rate = drain_rate.DrainRate()
        self.slot_reservation = slot_reservation.SlotReservation()
        self.suspects = suspects.SuspectRequests()
        self.finished_attempts = finished_attempts.FinishedAttempts()
        self.log = explanation_log.ExplanationLog()
        self.observer = observer
        self._weights: dict[str, float] = {}
        self._load_weights()

    def update(self, cell: cells.Cell,
               document: configuration.Document) -> None:
        """Puts a changed configuration in force; keeps all work."""
        self.cell = cell
        self.document = document
        self.classes = {each.name: each for each in document.classes}
        self._load_weights()
        self.pool.update(cell)
        self.starvation_prevention.update(document.classes)
        waiting = list(self.queue)
        self.queue = request_queue.RequestQueue()
        for each in waiting:
            self.queue.add(self._rebuild_waiting_request(each))

    def find_class(self, name: str) -> configuration.RequestClass:
        """Returns a class; the default one for an unknown name."""
        found = self.classes.get(name)
        return found or self.classes[self.document.default_class]

    def find_weight(self, organisation: str) -> float:
        """Returns an organisation's weight; 1 for an unknown one."""
        return self._weights.get(organisation, 1.0)

    def make_waiting_request(
            self, sender: messages.Peer, ask: messages.Ask,
            now: datetime.timedelta) -> waiting_request.WaitingRequest:
        """Computes the times and costs of an ask."""
        request_class = self.find_class(ask.class_name)
        tokens = self.output_lengths.estimate(request_class, ask.organisation,
                                              ask.max_tokens)
        return waiting_request.WaitingRequest(
            ask=ask,
            sender=sender,
            request_class=request_class,
            weight=self.find_weight(ask.organisation),
            cost=max(1.0, tokens + _PROMPT_TOKEN_COST * ask.prompt_tokens),
            output_tokens=tokens,
            enqueued_at=now,
            arrived_at=now - ask.waited,
            deadline_at=now + ask.remaining)

    def estimate_wait(self, tier: int,
                      now: datetime.timedelta) -> datetime.timedelta:
        """Returns the expected wait of a new request of a tier."""
        if not self.queue:
            return datetime.timedelta()
        ahead = self.queue.count_ahead(tier)
        return self.drain_rate.estimate_wait(ahead, now)

    def estimate_queue_delay(self,
                             now: datetime.timedelta) -> datetime.timedelta:
        """Returns the expected wait of a new request of the lowest tier."""
        return self.drain_rate.estimate_wait(len(self.queue), now)

    def _rebuild_waiting_request(
        self, waiting: waiting_request.WaitingRequest
    ) -> waiting_request.WaitingRequest:
        name = waiting.request_class.name
        return waiting_request.WaitingRequest(
            ask=waiting.ask,
            sender=waiting.sender,
            request_class=self.classes.get(name, waiting.request_class),
            weight=self.find_weight(waiting.ask.organisation),
            cost=waiting.cost,
            output_tokens=waiting.output_tokens,
            enqueued_at=waiting.enqueued_at,
            arrived_at=waiting.arrived_at,
            deadline_at=waiting.deadline_at)

    def _load_weights(self) -> None:
        self._weights = {
            each.name: each.weight
            for each in self.document.organisations
            if each.weight > 0
        }
