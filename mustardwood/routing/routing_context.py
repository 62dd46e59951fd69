"""What the open requests of an entry share."""

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
    """Shared state of an entry's requests.

    Attributes:
        clock: Source of the wall-clock time.
        rng: Source of chance.
        directory: Cells and endpoints.
        poison_detector: Requests that crash endpoints.
        budget: Bound on retries.
        explanations: Record of events by request.
        recorder: Service level counters.
        metrics: Receiver of what the metrics count.
        agents: Agents of all VMs.
        attempts_by_endpoint: Attempts in flight by endpoint.
        pending_commands: Commands not handed out yet.
        ended_request_ids: Ids of requests that ended_request_ids and are still held.
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
        """Adds a command."""
        self.pending_commands.append(command)

    def drain_commands(self) -> list[commands.Command]:
        """Returns the commands and forgets them."""
        drained, self.pending_commands = self.pending_commands, []
        return drained

    def send_scheduler(self, ip: str, message: messages.Message) -> None:
        """Sends a message to the scheduler of a VM."""
        peer = messages.Peer(ip, messages.Role.SCHEDULER)
        self.emit(commands.SendMessage(peer, message))

    def send_agents(self, message: messages.Message) -> None:
        """Sends a message to the agents of all VMs."""
        for peer in self.agents:
            self.emit(commands.SendMessage(peer, message))

    def explain(self, request_id: str, text: str) -> None:
        """Records an event of a request."""
        time = self.clock.now().isoformat(timespec="milliseconds")
        self.explanations.add_event(request_id, time, text)

    def record_crash(self, endpoint: str, now: datetime.timedelta) -> None:
        """Records a crash of an endpoint and tells the agents."""
        for message in self.poison_detector.record_crash(endpoint, now):
            self.send_agents(message)

    def send_withdrawal(self, request_id: str, attempt: int, cell: str,
                        ip: str) -> None:
        """Tells a scheduler that an ask is not wanted or a grant not used.

        Args:
            request_id: Id of the request.
            attempt: Number of the attempt.
            cell: Name of the cell.
            ip: IP address of the scheduler's VM; empty for a local grant.
        """
        if ip:
            self.send_scheduler(ip,
                                messages.Withdrawal(request_id, attempt, cell))

    def report_silent_scheduler(self, agent: messages.Peer, vm: str,
                                cell: str) -> None:
        """Tells the agent that a VM's scheduler did not answer."""
        self.emit(commands.SendMessage(agent, messages.Silence(vm, cell)))
