"""State of one cell that the parts of its scheduler share."""

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
"""Cost of a prompt token relative to a generated token."""


class CellState:
    """Queue, endpoints, estimates and records of one cell.

    Attributes:
        cell: The cell.
        document: Current configuration.
        classes: Request classes by name.
        queue: Waiting requests.
        pool: Endpoints and running attempts.
        output_lengths: Estimates of output lengths, in tokens.
        starvation_prevention: Guaranteed share and bounded wait of each class.
        drain_rate: Measured rate of grants.
        slot_reservation: Slots kept free for more urgent classes.
        suspects: Requests suspected of crashing endpoints.
        finished_attempts: Attempts that ended recently.
        log: Decisions about recent requests, to explain them to operators.
        observer: Receives each decision, for metrics.
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
        """Applies a changed configuration and keeps all requests."""
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
        """Returns the class with a name; the default class if there is none."""
        found = self.classes.get(name)
        return found or self.classes[self.document.default_class]

    def find_weight(self, organisation: str) -> float:
        """Returns an organisation's weight; 1 for an unknown one."""
        return self._weights.get(organisation, 1.0)

    def make_waiting_request(
            self, sender: messages.Peer, ask: messages.Ask,
            now: datetime.timedelta) -> waiting_request.WaitingRequest:
        """Returns the queue item of an ask, with its times and its cost."""
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
        """Returns the expected time in the queue of a new request of a tier."""
        if not self.queue:
            return datetime.timedelta()
        ahead = self.queue.count_ahead(tier)
        return self.drain_rate.estimate_wait(ahead, now)

    def estimate_queue_delay(self,
                             now: datetime.timedelta) -> datetime.timedelta:
        """Returns the expected time in the queue for the lowest tier."""
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
