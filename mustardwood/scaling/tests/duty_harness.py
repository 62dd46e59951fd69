"""Runs `ScalingDuty` against a modelled platform."""

import datetime

from mustardwood import leadership
from mustardwood import scaling
from mustardwood import timing
from mustardwood.dispatch.tests import harness
from mustardwood.scaling import scaling_duty
from mustardwood.scaling.tests import fleet_model

_CALL_TIME = datetime.timedelta(milliseconds=50)
_TIMEOUT = datetime.timedelta(seconds=2)
Outcome = leadership.CallOutcome


class FakeLeadership:
    """Gives a term to whom the test says."""

    def __init__(self):
        self.term = None
        self.ended = []

    @property
    def holder(self):
        """See `leadership.Leadership`."""
        return self.term.holder if self.term else ""

    def find_term(self):
        """See `leadership.Leadership`."""
        return self.term

    def end_term(self, reason):
        """See `leadership.Leadership`."""
        self.ended.append(reason)
        self.term = None


class FakeJournal:
    """Keeps log lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        """See `dispatch.Journal`."""
        self.lines.append((event, fields))

    def list_events(self, event):
        """Returns the fields of an event's lines."""
        return [fields for name, fields in self.lines if name == event]


class ModelCalls:
    """Sends orders to the model, with faults.

    Attributes:
        find_fault: Returns the fault of a call, from its number: an outcome,
            "late" for an execution after the timeout, or None.
    """

    def __init__(self, model, scheduler):
        self._model = model
        self._scheduler = scheduler
        self.find_fault = lambda number: None
        self.sent = []

    def order_endpoints(self, term, order, done):
        """See `leadership.DutyCalls`."""
        fault = self.find_fault(len(self.sent))
        self.sent.append((self._model.now, term, order))

        def execute():
            return self._model.order(order.zone, order.count,
                                     order.is_preemptible)

        def finish():
            outcome = fault
            if fault is None:
                outcome = (Outcome.ACCEPTED
                           if execute() else Outcome.NOT_AVAILABLE)
            done(leadership.CallResult(outcome))

        if fault == "late":
            self._scheduler.call_later(_TIMEOUT * 2.5, execute)
            fault = Outcome.NO_RESPONSE
        delay = _TIMEOUT if fault is Outcome.NO_RESPONSE else _CALL_TIME
        self._scheduler.call_later(delay, finish)


class Vm:
    """A VM with a duty of its own."""

    def __init__(self, world, name):
        self.name = name
        self.leadership = FakeLeadership()
        self.journal = FakeJournal()
        self.planner = scaling.EndpointPlanner(
            lambda service, version: world.has_open_streams)
        self.duty = scaling_duty.ScalingDuty(world.clock, world.scheduler,
                                             self.leadership, world.calls,
                                             lambda: [world.make_state()],
                                             self.planner, self.journal,
                                             world.is_enabled)
        self.duty.start()

    def start_term(self, token, clock):
        """Gives this VM the term."""
        self.leadership.term = leadership.Term(
            self.name, token,
            clock.monotonic() + datetime.timedelta(seconds=3))


class World:
    """VMs and a modelled platform in simulated time."""

    def __init__(self, demand, vm_count=1, is_enabled=True, **model_changes):
        self.is_enabled = is_enabled
        self.clock = timing.ManualClock()
        self.scheduler = harness.FakeScheduler(self.clock)
        self.model = fleet_model.FleetModel(demand, **model_changes)
        self.calls = ModelCalls(self.model, self.scheduler)
        self.error = 1.0
        self.pinned_count = None
        self.is_complete = True
        self.has_open_streams = True
        self.at = {}
        self.vms = [Vm(self, f"vm-{each}") for each in range(vm_count)]
        self._token = 0
        self.hold(0)

    def make_state(self):
        """Returns the state that all VMs see."""
        return self.model.make_state(self.error, self.pinned_count,
                                     self.is_complete)

    def hold(self, index):
        """Gives the term to a VM, and takes it from the others."""
        self._token += 1
        for each in self.vms:
            each.leadership.term = None
        self.vms[index].start_term(self._token, self.clock)

    def run(self, until, watch=lambda world: None):
        """Runs until a time in seconds.

        Args:
            until (float): The time.
            watch (Callable): Is called with this object after each step.
        """
        step = datetime.timedelta(seconds=fleet_model.STEP)
        while self.model.now < until - 1e-6:
            self.scheduler.advance(step)
            self.model.advance()
            for time in [each for each in self.at if each <= self.model.now]:
                self.at.pop(time)()
            watch(self)

    @property
    def unmet_share(self):
        """Unmet demand as a share of all demand."""
        return (sum(self.model.unmet.values()) /
                sum(self.model.arrived.values()))
