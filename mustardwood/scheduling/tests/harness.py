"""Drives a cell's scheduler in virtual time."""

import datetime
import heapq

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood import scheduling
from mustardwood import timing

SERVICE_TIME = datetime.timedelta(seconds=1)
FIRST_TOKEN_TIME = datetime.timedelta(seconds=0.1)
INTER_TOKEN_TIME = datetime.timedelta(seconds=0.02)
TICK_INTERVAL = datetime.timedelta(seconds=0.05)


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


class SchedulerHarness:
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
        self.inter_token_times = {}
        self.check_refusal = lambda refusal: None
        self._completions = []
        self._ask_count = 0

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
        self._ask_count += 1
        values = {
            "request_id": f"r{self._ask_count:06d}",
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
        self.deliver(self.scheduler.handle_ask(make_peer(sender), ask,
                                               self.now))

    def withdraw(self, ask, sender=1) -> None:
        """Withdraws an ask."""
        self.waiting.pop(ask.request_id, None)
        withdrawal = messages.Withdrawal(ask.request_id, ask.attempt, ask.cell)
        self.deliver(
            self.scheduler.handle_withdrawal(make_peer(sender), withdrawal,
                                             self.now))

    def report(self,
               request_id,
               outcome=messages.Outcome.WHOLE,
               first_token=FIRST_TOKEN_TIME) -> None:
        """Reports the end of a granted attempt."""
        grant = self.grants[request_id]
        ask = self.asks[request_id]
        inter_token = self.inter_token_times.get(grant.endpoint,
                                                 INTER_TOKEN_TIME)
        report = messages.AttemptReport(request_id, grant.attempt, grant.cell,
                                        grant.endpoint, outcome, first_token,
                                        inter_token, 50, ask.fingerprint)
        self.deliver(
            self.scheduler.handle_attempt_report(make_peer(), report, self.now))

    def send_heartbeat(self, sequence, waiting=(), running=(), sender=1):
        """Sends a heartbeat and returns its answers."""
        body = messages.OpenWork(self.cell.name, sequence, tuple(waiting),
                                 tuple(running))
        outgoing = self.scheduler.handle_open_work(make_peer(sender), body,
                                                   self.now)
        self.deliver(outgoing)
        return outgoing

    def deliver(self, outgoing) -> None:
        """Takes the scheduler's answers in."""
        refused = []
        for item in outgoing:
            message = item.message
            if isinstance(message, messages.Grant):
                self._record_grant(message)
            elif isinstance(message, messages.Refusal):
                self.waiting.pop(message.request_id, None)
                self.refusals[message.request_id] = message
                refused.append(message)
        for message in refused:
            self.check_refusal(message)

    def advance(self, step=TICK_INTERVAL) -> None:
        """Moves the time, with a tick; granted work neither ends."""
        self.clock.advance(step)
        self.deliver(self.scheduler.tick(self.now))

    def run(self,
            seconds,
            send_arrivals=lambda now: None,
            senders=(1,)) -> None:
        """Runs in ticks, and ends granted work after its service time."""
        end_time = self.now + datetime.timedelta(seconds=seconds)
        sequence = int(self.now.total_seconds() * 100) + 1
        while self.now < end_time:
            send_arrivals(self.now)
            self._report_finished()
            sequence += 1
            if sequence % 10 == 0:
                self._send_heartbeats(sequence, senders)
            self.advance()

    def count_grants(self, class_name) -> int:
        """Returns how many grants a class got."""
        return sum(
            self.asks[each].class_name == class_name for each in self.grants)

    def _record_grant(self, grant) -> None:
        if grant.request_id in self.grants:
            assert grant == self.grants[grant.request_id]
            return
        self.waiting.pop(grant.request_id, None)
        self.grants[grant.request_id] = grant
        self.granted_at[grant.request_id] = self.now
        time = self.service_times.get(grant.endpoint, SERVICE_TIME)
        heapq.heappush(self._completions, (self.now + time, grant.request_id))

    def _report_finished(self) -> None:
        while self._completions and self._completions[0][0] <= self.now:
            self.report(heapq.heappop(self._completions)[1])

    def _send_heartbeats(self, sequence, senders) -> None:
        running = [
            self.make_running(self.grants[key]) for _, key in self._completions
        ]
        for sender in senders:
            waiting = [
                ask for ask, owner in self.waiting.values() if owner == sender
            ]
            self.send_heartbeat(sequence, waiting,
                                running if sender == senders[0] else (), sender)

    def make_running(self, grant) -> messages.RunningAttempt:
        """Returns a granted attempt as heartbeats list it."""
        ask = self.asks[grant.request_id]
        return messages.RunningAttempt(grant.request_id, grant.attempt,
                                       grant.endpoint, ask.class_name,
                                       ask.organisation, 10, 1, ask.fingerprint,
                                       ask.suspect)
