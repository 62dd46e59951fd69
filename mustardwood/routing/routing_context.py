"""State shared by the open requests of an entry."""

import collections
import dataclasses
import datetime
import random

from mustardwood import messages
from mustardwood import timing
from mustardwood.dispatch import retry_budget
from mustardwood.routing import cell_directory
from mustardwood.routing import commands
from mustardwood.routing import explanations
from mustardwood.routing import poison_detector
from mustardwood.routing import request_metrics
from mustardwood.routing import service_level_recorder


@dataclasses.dataclass
class RoutingContext:
    """State shared by the open requests of an entry.

    Attributes:
        clock: Source of the wall-clock and the monotonic time.
        rng: Random number generator.
        directory: Directory of cells and endpoints.
        poison_detector: Detector of requests that crash endpoints.
        budget: Budget that limits the number of retries.
        explanations: History of recent requests.
        recorder: Service level counters.
        metrics: Receiver of figures for the metrics.
        agents: Agents of all VMs that are not dead.
        attempts_by_endpoint: Number of running attempts by endpoint.
        pending_commands: Commands that the router has not returned yet.
        ended_request_ids: Ids of ended requests that the router still holds.
    """

    clock: timing.Clock
    rng: random.Random
    directory: cell_directory.CellDirectory
    poison_detector: poison_detector.PoisonDetector
    budget: retry_budget.RetryBudget
    explanations: explanations.Explanations
    recorder: service_level_recorder.ServiceLevelRecorder
    metrics: request_metrics.RequestMetrics
    agents: tuple[messages.Peer, ...] = ()
    attempts_by_endpoint: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter)
    pending_commands: list[commands.Command] = dataclasses.field(
        default_factory=list)
    ended_request_ids: list[str] = dataclasses.field(default_factory=list)

    def emit(self, command: commands.Command) -> None:
        """Adds a command to be returned by the router."""
        self.pending_commands.append(command)

    def drain_commands(self) -> list[commands.Command]:
        """Removes and returns the pending commands."""
        drained, self.pending_commands = self.pending_commands, []
        return drained

    def send_scheduler(self, ip: str, message: messages.Message) -> None:
        """Sends a message to the scheduler of a VM."""
        peer = messages.Peer(ip, messages.Role.SCHEDULER)
        self.emit(commands.SendMessage(peer, message))

    def send_agents(self, message: messages.Message) -> None:
        """Sends a message to the agents of all VMs that are not dead."""
        for peer in self.agents:
            self.emit(commands.SendMessage(peer, message))

    def explain(self, request_id: str, text: str) -> None:
        """Adds an event of a request to the history."""
        time = self.clock.now().isoformat(timespec="milliseconds")
        self.explanations.add_event(request_id, time, text)

    def record_crash(self, endpoint: str, now: datetime.timedelta) -> None:
        """Records the crash of an endpoint, and notifies the agents."""
        for message in self.poison_detector.record_crash(endpoint, now):
            self.send_agents(message)

    def send_withdrawal(self, request_id: str, attempt: int, cell: str,
                        ip: str) -> None:
        """Withdraws an `Ask` or returns an unused grant to a scheduler.

        Args:
            request_id: Id of the request.
            attempt: Number of the `Ask` within the request.
            cell: Name of the cell.
            ip: IP address of the scheduler's VM; empty for a local grant, which
                needs no message.
        """
        if ip:
            self.send_scheduler(ip,
                                messages.Withdrawal(request_id, attempt, cell))

    def report_silent_scheduler(self, agent: messages.Peer, vm: str,
                                cell: str) -> None:
        """Reports to the agent that the scheduler of a VM did not reply."""
        self.emit(
            commands.SendMessage(agent, messages.SchedulerTimeout(vm, cell)))
