"""Router of an entry process."""

import datetime
import random

from mustardwood import claims
from mustardwood import messages
from mustardwood import timing
from mustardwood.dispatch import retry_budget
from mustardwood.routing import attempt_end
from mustardwood.routing import caller_request
from mustardwood.routing import cell_directory
from mustardwood.routing import commands
from mustardwood.routing import endpoint_selector
from mustardwood.routing import explanations
from mustardwood.routing import fleet_view
from mustardwood.routing import open_request
from mustardwood.routing import owner_monitor
from mustardwood.routing import poison_detector
from mustardwood.routing import request_metrics
from mustardwood.routing import request_phase
from mustardwood.routing import response_delivery
from mustardwood.routing import routing_context
from mustardwood.routing import routing_errors
from mustardwood.routing import service_level_recorder

AGENT_TIMEOUT = datetime.timedelta(seconds=3)
"""Time without a view after which the own agent counts as unavailable."""

Commands = list[commands.Command]
_Phase = request_phase.RequestPhase
_DECLINE_REASONS = (messages.RefusalReason.STOPPING,
                    messages.RefusalReason.UNKNOWN_CELL)


class Router:
    """Routes requests to endpoints.

    Each method that handles an event returns the commands to carry out.

    Args:
        vm: Name of the entry's VM.
        ip: IP address of the entry's VM.
        region: Region of the entry's VM.
        clock: Source of the wall-clock and the monotonic time.
        rng: Random number generator.
        metrics: Receiver of figures for the metrics.
        selector: Selects endpoints while no owner of a cell replies.
        recorder: Service level counters; new ones by default.

    Attributes:
        view: Current configuration and members of the fleet.
        explanations: History of recent requests.
        recorder: Service level counters.
    """

    def __init__(
        self,
        vm: str,
        ip: str,
        region: str,
        clock: timing.Clock,
        rng: random.Random,
        metrics: request_metrics.RequestMetrics,
        selector: endpoint_selector.EndpointSelector,
        recorder: service_level_recorder.ServiceLevelRecorder | None = None
    ) -> None:
        self.view = fleet_view.FleetView()
        self.explanations = explanations.Explanations()
        self.recorder = (recorder or
                         service_level_recorder.ServiceLevelRecorder())
        self._vm = vm
        self._last_view_at = datetime.timedelta()
        self._agent = messages.Peer(ip, messages.Role.AGENT)
        self._selector = selector
        self._context = routing_context.RoutingContext(
            clock, rng, cell_directory.CellDirectory(region, rng),
            poison_detector.PoisonDetector(clock, vm),
            retry_budget.RetryBudget(rng), self.explanations, self.recorder,
            metrics)
        self._owner_monitor = owner_monitor.OwnerMonitor(
            self._context, self._agent)
        self._requests: dict[str, open_request.OpenRequest] = {}
        self._request_ids_by_caller: dict[str, str] = {}
        self._request_ids_by_claim_key: dict[tuple[str, str], str] = {}

    @property
    def open_requests(self) -> int:
        """The number of requests without their final response."""
        return len(self._requests)

    def find_phase(self, request_id: str) -> request_phase.RequestPhase:
        """Returns the phase of a request; `ENDED` if it is not open."""
        found = self._requests.get(request_id)
        return _Phase.ENDED if found is None else found.phase

    def handle_request(self, request: caller_request.CallerRequest,
                       now: datetime.timedelta) -> Commands:
        """Handles a caller's request; its id identifies the caller as well.

        A request joins an open one that has the same idempotency key.
        """
        recipient = response_delivery.Recipient(request.request_id,
                                                request.stream,
                                                request.include_usage)
        holder = self._find_claim_holder(request)
        if holder is not None:
            self._join_running_request(holder, request, recipient)
            return self._context.drain_commands()
        new_request = open_request.OpenRequest(request, self._context)
        new_request.delivery.add_recipient(recipient, [])
        self._requests[request.request_id] = new_request
        self._request_ids_by_caller[request.request_id] = request.request_id
        if request.idempotency_key:
            key = (request.organisation, request.idempotency_key)
            self._request_ids_by_claim_key[key] = request.request_id
        new_request.start(now)
        return self._collect_commands()

    def handle_claim_result(self, request_id: str, result: claims.ClaimResult,
                            now: datetime.timedelta) -> Commands:
        """Handles the result of `AcquireClaim`."""
        found = self._requests.get(request_id)
        if found is not None:
            found.handle_claim_result(result, now)
        elif result.verdict is claims.ClaimVerdict.ACQUIRED:
            self._context.emit(commands.ReleaseClaim(request_id))
        return self._collect_commands()

    def handle_claim_completed(self, request_id: str) -> Commands:
        """Handles the end of `CompleteClaim`, whether it succeeded or not."""
        found = self._requests.get(request_id)
        if found is not None:
            found.handle_claim_completed()
        return self._collect_commands()

    def handle_message(self, envelope: messages.Envelope,
                       now: datetime.timedelta) -> Commands:
        """Handles a message from another process."""
        body = envelope.body
        ip = envelope.sender.ip
        if isinstance(body, messages.View):
            self._handle_view(body, envelope.sender, now)
        elif isinstance(body, messages.Grant):
            self._handle_grant(body, ip, now)
        elif isinstance(body, messages.Refusal):
            self._handle_refusal(body, ip, now)
        elif isinstance(body, messages.OpenWorkReply):
            self._record_reply(body.cell, ip, body.queue_delay, now)
        return self._collect_commands()

    def handle_head(self, request_id: str, attempt: int, status: int,
                    headers: tuple[tuple[str, str],
                                   ...], now: datetime.timedelta) -> Commands:
        """Handles the status and headers of an endpoint's response."""
        found = self._find_running(request_id, attempt)
        if found is not None:
            found.handle_head(status, headers, now)
        return self._collect_commands()

    def handle_events(self, request_id: str, attempt: int, parts: list[bytes],
                      now: datetime.timedelta) -> Commands:
        """Handles the data of engine events."""
        found = self._find_running(request_id, attempt)
        if found is not None:
            found.handle_events(parts, now)
        return self._collect_commands()

    def handle_body(self, request_id: str, attempt: int, data: bytes,
                    now: datetime.timedelta) -> Commands:
        """Handles a part of a body that is not an event stream."""
        found = self._find_running(request_id, attempt)
        if found is not None:
            found.handle_body(data, now)
        return self._collect_commands()

    def handle_end(self, request_id: str, attempt: int,
                   end: attempt_end.AttemptEnd,
                   now: datetime.timedelta) -> Commands:
        """Handles the end of the HTTP exchange with an endpoint."""
        found = self._find_running(request_id, attempt)
        if found is not None:
            found.handle_end(end, now)
        return self._collect_commands()

    def handle_caller_disconnect(self, caller: str) -> Commands:
        """Handles the loss of a caller's connection."""
        found = self._requests.get(self._request_ids_by_caller.pop(caller, ""))
        if found is not None:
            found.remove_caller(caller)
        return self._collect_commands()

    def tick(self, now: datetime.timedelta) -> Commands:
        """Performs the actions that are due; call it many times a second."""
        for each in self._requests.values():
            each.tick(now)
        self._remove_ended()
        self._check_agent_timeout(now)
        self._owner_monitor.tick(list(self._requests.values()), now)
        self._grant_locally(now)
        return self._collect_commands()

    def _check_agent_timeout(self, now: datetime.timedelta) -> None:
        """Ranks the own VM last for all cells while its agent is unavailable.

        The other VMs regard a VM without an agent as dead. Ranking it last
        keeps this entry's choice of owners in line with theirs.
        """
        is_agent_timed_out = now - self._last_view_at >= AGENT_TIMEOUT
        demoted_vm = self._vm if is_agent_timed_out else ""
        for tracker in self._context.directory.trackers.values():
            tracker.demote_vm(demoted_vm)

    def _handle_view(self, view: messages.View, sender: messages.Peer,
                     now: datetime.timedelta) -> None:
        self._last_view_at = now
        if self.view.apply_view(view):
            assert self.view.classifier is not None
            self._context.directory.apply_document(
                self.view.classifier.document)
        self._context.directory.apply_view(view)
        self._context.poison_detector.apply_view(view)
        self._context.agents = self.view.list_agents()
        for each in self._requests.values():
            each.fail_if_blocked()
        ack = messages.ViewAck(view.sequence, self.view.version)
        self._context.emit(commands.SendMessage(sender, ack))

    def _handle_grant(self, grant: messages.Grant, ip: str,
                      now: datetime.timedelta) -> None:
        self._record_reply(grant.cell, ip, grant.queue_delay, now)
        found = self._requests.get(grant.request_id)
        if found is None:
            self._context.send_withdrawal(grant.request_id, grant.attempt,
                                          grant.cell, ip)
            return
        found.handle_grant(grant, ip, now)

    def _handle_refusal(self, refusal: messages.Refusal, ip: str,
                        now: datetime.timedelta) -> None:
        tracker = self._context.directory.trackers.get(refusal.cell)
        if refusal.reason not in _DECLINE_REASONS:
            self._record_reply(refusal.cell, ip, None, now)
            found = self._requests.get(refusal.request_id)
            if found is not None:
                found.handle_refusal(refusal, now)
        elif tracker is not None and tracker.is_owned_by(ip):
            tracker.skip_declining_owner(now)
            self._owner_monitor.send_heartbeat(
                tracker, self._list_open_work(refusal.cell), now)

    def _record_reply(self, cell: str, ip: str,
                      queue_delay: datetime.timedelta | None,
                      now: datetime.timedelta) -> None:
        tracker = self._context.directory.trackers.get(cell)
        if tracker is not None and tracker.record_reply(ip, queue_delay, now):
            self._owner_monitor.send_heartbeat(tracker,
                                               self._list_open_work(cell), now)

    def _list_open_work(self, cell: str) -> list[open_request.OpenRequest]:
        return [
            each for each in self._requests.values() if each.open_cell == cell
        ]

    def _grant_locally(self, now: datetime.timedelta) -> None:
        waiting = [
            each for each in self._requests.values()
            if each.phase is _Phase.ASKING and each.tracker is not None and
            each.tracker.has_no_responsive_owner(now)
        ]
        waiting.sort(key=lambda each:
                     (each.request.request_class.tier, each.request.arrived_at))
        for each in waiting:
            self._grant_request_locally(each, now)

    def _grant_request_locally(self, waiting: open_request.OpenRequest,
                               now: datetime.timedelta) -> None:
        assert waiting.tracker is not None
        directory = self._context.directory
        excluded = [
            each.name
            for each in waiting.tracker.cell.endpoints
            if directory.find_endpoint(each.name) is None
        ]
        if waiting.is_suspect(now):
            excluded += self._context.poison_detector.list_suspect_endpoints(
                now)
        endpoint = self._selector.select(
            waiting.tracker.cell, [*waiting.excluded_endpoints, *excluded],
            self._context.attempts_by_endpoint)
        if endpoint is None:
            return
        grant = messages.Grant(waiting.request.request_id,
                               waiting.attempt_number,
                               waiting.tracker.cell.name,
                               endpoint,
                               waiting.request.request_class.tier,
                               reason="no owner answers")
        waiting.handle_grant(grant, "", now)

    def _find_claim_holder(
        self, request: caller_request.CallerRequest
    ) -> open_request.OpenRequest | None:
        if not request.idempotency_key:
            return None
        key = (request.organisation, request.idempotency_key)
        return self._requests.get(self._request_ids_by_claim_key.get(key, ""))

    def _join_running_request(self, holder: open_request.OpenRequest,
                              request: caller_request.CallerRequest,
                              recipient: response_delivery.Recipient) -> None:
        if holder.request.fingerprint != request.fingerprint:
            self._context.emit(
                commands.SendError(recipient.caller,
                                   routing_errors.make_key_reused()))
            return
        self._request_ids_by_caller[
            recipient.caller] = holder.request.request_id
        joined = response_delivery.Recipient(recipient.caller,
                                             recipient.stream,
                                             recipient.include_usage,
                                             joined=True)
        holder.delivery.add_recipient(joined, holder.runner.buffer.sent_events)

    def _find_running(self, request_id: str,
                      attempt: int) -> open_request.OpenRequest | None:
        found = self._requests.get(request_id)
        if found is None or found.runner.attempt is None:
            return None
        return found if found.runner.attempt.number == attempt else None

    def _collect_commands(self) -> Commands:
        self._remove_ended()
        return self._context.drain_commands()

    def _remove_ended(self) -> None:
        for request_id in self._context.ended_request_ids:
            each = self._requests.pop(request_id)
            request = each.request
            key = (request.organisation, request.idempotency_key)
            self._request_ids_by_claim_key.pop(key, None)
            for caller in each.delivery.recipients:
                self._request_ids_by_caller.pop(caller, None)
        self._context.ended_request_ids.clear()
