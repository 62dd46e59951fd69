"""Test harness that drives the scheduler of a cell in virtual time."""

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
    """Returns a configuration with one model."""
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
    """Returns one class for each tier, named `t0`, `t1` and so on."""
    return [
        configuration.RequestClass(f"t{tier}", tier, 1.0, **options)
        for tier in range(count)
    ]


def make_peer(number=1) -> messages.Peer:
    """Returns the address of an entry."""
    return messages.Peer(f"127.0.1.{number}", messages.Role.ENTRY)


class SchedulerHarness:
    """Simulates the entries and endpoints of one cell.

    Attributes:
        clock: Virtual clock.
        document: Configuration of the scheduler.
        cell: The cell.
        scheduler: The scheduler under test.
        waiting: Asks without a grant or refusal, with the number of the entry
            that sent them, by request id.
        asks: All asks, by request id.
        grants: All grants, by request id, in the order in which they arrived.
        granted_at: Time of each grant, by request id.
        refusals: The last refusal of each request, by request id.
        service_times: Service time by endpoint; the default is `SERVICE_TIME`.
        inter_token_times: Inter-token time by endpoint; the default is
            `INTER_TOKEN_TIME`.
        check_refusal: Is called with each refusal.
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
        """Current virtual time."""
        return self.clock.monotonic()

    def make_ask(self,
                 class_name,
                 organisation="o",
                 remaining=300.0,
                 **options) -> messages.Ask:
        """Creates an ask with a new request id, without sending it."""
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
        """Creates and sends an ask."""
        ask = self.make_ask(class_name, **options)
        self.send(ask, sender)
        return ask

    def send(self, ask, sender=1) -> None:
        """Sends an ask from an entry."""
        self.asks[ask.request_id] = ask
        self.waiting[ask.request_id] = (ask, sender)
        self.deliver(self.scheduler.handle_ask(make_peer(sender), ask,
                                               self.now))

    def withdraw(self, ask, sender=1) -> None:
        """Sends the withdrawal of an ask."""
        self.waiting.pop(ask.request_id, None)
        withdrawal = messages.Withdrawal(ask.request_id, ask.attempt, ask.cell)
        self.deliver(
            self.scheduler.handle_withdrawal(make_peer(sender), withdrawal,
                                             self.now))

    def report(self,
               request_id,
               outcome=messages.Outcome.WHOLE,
               first_token=FIRST_TOKEN_TIME) -> None:
        """Sends the report of the end of a granted attempt."""
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
        """Sends a heartbeat and returns the messages that it causes."""
        body = messages.OpenWork(self.cell.name, sequence, tuple(waiting),
                                 tuple(running))
        outgoing = self.scheduler.handle_open_work(make_peer(sender), body,
                                                   self.now)
        self.deliver(outgoing)
        return outgoing

    def deliver(self, outgoing) -> None:
        """Delivers messages of the scheduler to the simulated entries."""
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
        """Advances the time and ticks once; no granted attempt ends."""
        self.clock.advance(step)
        self.deliver(self.scheduler.tick(self.now))

    def run(self,
            seconds,
            send_arrivals=lambda now: None,
            senders=(1,)) -> None:
        """Advances the time in ticks; attempts end after their service time.

        Args:
            seconds: Duration, in seconds.
            send_arrivals: Is called with the time before each tick.
            senders: Numbers of the entries that send heartbeats.
        """
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
        """Returns the number of grants that a class got."""
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
        """Returns a granted attempt as a heartbeat lists it."""
        ask = self.asks[grant.request_id]
        return messages.RunningAttempt(grant.request_id, grant.attempt,
                                       grant.endpoint, ask.class_name,
                                       ask.organisation, 10, 1, ask.fingerprint,
                                       ask.suspect)
