"""Drives a cell's scheduler in virtual time."""

import datetime
import heapq

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood import scheduling
from mustardwood import timing

SERVICE_TIME = datetime.timedelta(seconds=1)
FIRST_TOKEN = datetime.timedelta(seconds=0.1)
INTER_TOKEN = datetime.timedelta(seconds=0.02)
TICK = datetime.timedelta(seconds=0.05)


def make_document(classes,
                  endpoints=1,
                  concurrency=4,
                  organisations=()) -> configuration.Document:
    """Returns a document with one model."""
    return configuration.Document(
        classes=tuple(classes),
        default_class=classes[0].name,
        organisations=tuple(organisations),
        models=(configuration.Model("m"),),
        endpoints=tuple(
            configuration.Endpoint(f"e{number}",
                                   "m",
                                   "http://127.0.0.2:1",
                                   "z",
                                   "r",
                                   concurrency=concurrency)
            for number in range(endpoints)))


def make_tiers(count=6, **options) -> list[configuration.RequestClass]:
    """Returns one class for each tier."""
    return [
        configuration.RequestClass(f"t{tier}", tier, 1.0, **options)
        for tier in range(count)
    ]


def make_peer(number=1) -> messages.Peer:
    """Returns an entry."""
    return messages.Peer(f"127.0.1.{number}", messages.Role.ENTRY)


class Bench:
    """Plays the entries and endpoints of one cell.

    Attributes:
        clock: Virtual time.
        scheduler: What is tested.
        waiting: Asks without an answer, as the entries see it.
        grants: All grants, by key, in order.
        granted_at: Time of each grant.
        refusals: All refusals, by key.
        service_times: Run time by endpoint, where it is not the usual one.
        paces: Time between tokens by endpoint, likewise.
    """

    def __init__(self, document: configuration.Document) -> None:
        self.clock = timing.ManualClock()
        self.document = document
        self.cell = cells.build_cells(document)[0]
        self.scheduler = scheduling.CellScheduler.from_config(
            self.cell, document)
        self.waiting = {}
        self.asks = {}
        self.grants = {}
        self.granted_at = {}
        self.refusals = {}
        self.service_times = {}
        self.paces = {}
        self.check_refusal = lambda refusal: None
        self._ends = []
        self._count = 0

    @property
    def now(self) -> datetime.timedelta:
        """The virtual time."""
        return self.clock.monotonic()

    def make_ask(self,
                 class_name,
                 organisation="o",
                 remaining=300.0,
                 **options) -> messages.Ask:
        """Returns a new ask."""
        self._count += 1
        values = {
            "request_id": f"r{self._count:06d}",
            "attempt": 1,
            "cell": self.cell.name,
            "class_name": class_name,
            "organisation": organisation,
            "prompt_tokens": 10,
            "max_tokens": 100,
            "prefix": 0,
            "waited": datetime.timedelta(),
            "remaining": datetime.timedelta(seconds=remaining),
        }
        return messages.Ask(**values | options)

    def ask(self, class_name, sender=1, **options) -> messages.Ask:
        """Sends a new ask."""
        ask = self.make_ask(class_name, **options)
        self.send(ask, sender)
        return ask

    def send(self, ask, sender=1) -> None:
        """Sends an ask."""
        self.asks[ask.request_id] = ask
        self.waiting[ask.request_id] = (ask, sender)
        self.take(self.scheduler.accept_ask(make_peer(sender), ask, self.now))

    def withdraw(self, ask, sender=1) -> None:
        """Withdraws an ask."""
        self.waiting.pop(ask.request_id, None)
        withdrawal = messages.Withdrawal(ask.request_id, ask.attempt, ask.cell)
        self.take(
            self.scheduler.accept_withdrawal(make_peer(sender), withdrawal,
                                             self.now))

    def report(self,
               request_id,
               outcome=messages.Outcome.WHOLE,
               first_token=FIRST_TOKEN) -> None:
        """Reports the end of a granted attempt."""
        grant = self.grants[request_id]
        ask = self.asks[request_id]
        pace = self.paces.get(grant.endpoint, INTER_TOKEN)
        report = messages.AttemptReport(request_id, grant.attempt, grant.cell,
                                        grant.endpoint, outcome, first_token,
                                        pace, 50, ask.fingerprint)
        self.take(self.scheduler.accept_report(make_peer(), report, self.now))

    def heartbeat(self, sequence, waiting=(), running=(), sender=1):
        """Sends a heartbeat and returns its answers."""
        body = messages.OpenWork(self.cell.name, sequence, tuple(waiting),
                                 tuple(running))
        answers = self.scheduler.accept_open_work(make_peer(sender), body,
                                                  self.now)
        self.take(answers)
        return answers

    def take(self, answers) -> None:
        """Takes the scheduler's answers in."""
        refused = []
        for answer in answers:
            message = answer.message
            if isinstance(message, messages.Grant):
                self._take_grant(message)
            elif isinstance(message, messages.Refusal):
                self.waiting.pop(message.request_id, None)
                self.refusals[message.request_id] = message
                refused.append(message)
        for message in refused:
            self.check_refusal(message)

    def advance(self, step=TICK) -> None:
        """Moves the time, with a tick; granted work neither ends."""
        self.clock.advance(step)
        self.take(self.scheduler.tick(self.now))

    def run(self, seconds, arrive=lambda now: None, senders=(1,)) -> None:
        """Runs in ticks, and ends granted work after its service time."""
        until = self.now + datetime.timedelta(seconds=seconds)
        sequence = int(self.now.total_seconds() * 100) + 1
        while self.now < until:
            arrive(self.now)
            self._end_due()
            sequence += 1
            if sequence % 10 == 0:
                self._beat(sequence, senders)
            self.advance()

    def count_grants(self, class_name) -> int:
        """Returns how many grants a class got."""
        return sum(
            self.asks[each].class_name == class_name for each in self.grants)

    def _take_grant(self, grant) -> None:
        if grant.request_id in self.grants:
            assert grant == self.grants[grant.request_id]
            return
        self.waiting.pop(grant.request_id, None)
        self.grants[grant.request_id] = grant
        self.granted_at[grant.request_id] = self.now
        time = self.service_times.get(grant.endpoint, SERVICE_TIME)
        heapq.heappush(self._ends, (self.now + time, grant.request_id))

    def _end_due(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            self.report(heapq.heappop(self._ends)[1])

    def _beat(self, sequence, senders) -> None:
        running = [self.make_running(self.grants[key]) for _, key in self._ends]
        for sender in senders:
            waiting = [
                ask for ask, owner in self.waiting.values() if owner == sender
            ]
            self.heartbeat(sequence, waiting,
                           running if sender == senders[0] else (), sender)

    def make_running(self, grant) -> messages.RunningAttempt:
        """Returns a granted attempt as heartbeats list it."""
        ask = self.asks[grant.request_id]
        return messages.RunningAttempt(grant.request_id, grant.attempt,
                                       grant.endpoint, ask.class_name,
                                       ask.organisation, 10, 1, ask.fingerprint,
                                       ask.suspect)
