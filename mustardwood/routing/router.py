"""The decisions of an entry about its requests."""

import datetime
import random

from mustardwood import claims
from mustardwood import messages
from mustardwood import timing
from mustardwood.routing import attempt_end
from mustardwood.routing import caller_request
from mustardwood.routing import cell_directory
from mustardwood.routing import commands
from mustardwood.routing import delivery
from mustardwood.routing import explanations
from mustardwood.routing import endpoint_selector
from mustardwood.routing import open_request
from mustardwood.routing import owner_watch
from mustardwood.routing import poison_register
from mustardwood.routing import request_metrics
from mustardwood.routing import request_phase
from mustardwood.dispatch import retry_budget
from mustardwood.routing import routing_context
from mustardwood.routing import run_error
from mustardwood.routing import service_level_recorder
from mustardwood.routing import view_keeper

AGENT_TIMEOUT = datetime.timedelta(seconds=3)
"""Time without a view after which the own VM is the last to own a cell."""

Commands = list[commands.Command]
_Phase = request_phase.RequestPhase
_DECLINED = (messages.RefusalReason.STOPPING,
             messages.RefusalReason.UNKNOWN_CELL)


class Router:
    """Holds the open requests; every event returns the commands it causes.

    Attributes:
        view: Configuration and fleet.
        explanations: Why requests went the way they did.
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
        grants: endpoint_selector.EndpointSelector,
        recorder: service_level_recorder.ServiceLevelRecorder | None = None
    ) -> None:
        self.view = view_keeper.ViewKeeper()
        self.explanations = explanations.Explanations()
        self.recorder = (recorder or
                         service_level_recorder.ServiceLevelRecorder())
        self._vm = vm
        self._viewed = datetime.timedelta()
        self._agent = messages.Peer(ip, messages.Role.AGENT)
        self._grants = grants
        self._context = routing_context.RoutingContext(
            clock, rng, cell_directory.CellDirectory(region, rng),
            poison_register.PoisonRegister(clock, vm),
            retry_budget.RetryBudget(rng), self.explanations, self.recorder,
            metrics)
        self._watch = owner_watch.OwnerWatch(self._context, self._agent)
        self._requests: dict[str, open_request.OpenRequest] = {}
        self._callers: dict[str, str] = {}
        self._claims: dict[tuple[str, str], str] = {}

    @property
    def open_requests(self) -> int:
        """Number of requests without their final answer."""
        return len(self._requests)

    def find_phase(self, request_id: str) -> request_phase.RequestPhase:
        """Returns the phase of a request; `ENDED` when it is not open."""
        found = self._requests.get(request_id)
        return _Phase.ENDED if found is None else found.phase

    def handle_request(self, request: caller_request.CallerRequest,
                       now: datetime.timedelta) -> Commands:
        """Takes a caller's request; its id is the caller's id as well."""
        recipient = delivery.Recipient(request.request_id, request.stream,
                                       request.include_usage)
        holder = self._find_holder(request)
        if holder is not None:
            self._join(holder, request, recipient)
            return self._context.drain()
        opened = open_request.OpenRequest(request, self._context)
        opened.delivery.add(recipient, [])
        self._requests[request.request_id] = opened
        self._callers[request.request_id] = request.request_id
        if request.idempotency_key:
            key = (request.organisation, request.idempotency_key)
            self._claims[key] = request.request_id
        opened.start(now)
        return self._settle()

    def handle_claim_answer(self, request_id: str, answer: claims.ClaimResult,
                            now: datetime.timedelta) -> Commands:
        """Takes the answer to `AcquireClaim`."""
        found = self._requests.get(request_id)
        if found is not None:
            found.handle_claim_answer(answer, now)
        elif answer.verdict is claims.ClaimVerdict.ACQUIRED:
            self._context.emit(commands.ReleaseClaim(request_id))
        return self._settle()

    def handle_claim_completed(self, request_id: str) -> Commands:
        """Takes the end of `CompleteClaim`, whether it worked or not."""
        found = self._requests.get(request_id)
        if found is not None:
            found.handle_claim_completed()
        return self._settle()

    def handle_message(self, envelope: messages.Envelope,
                       now: datetime.timedelta) -> Commands:
        """Takes a message from another process."""
        body = envelope.body
        ip = envelope.sender.ip
        if isinstance(body, messages.View):
            self._take_view(body, envelope.sender, now)
        elif isinstance(body, messages.Grant):
            self._take_grant(body, ip, now)
        elif isinstance(body, messages.Refusal):
            self._take_refusal(body, ip, now)
        elif isinstance(body, messages.OpenWorkReply):
            self._note_answer(body.cell, ip, body.queue_delay, now)
        return self._settle()

    def handle_head(self, request_id: str, attempt: int, status: int,
                    headers: tuple[tuple[str, str],
                                   ...], now: datetime.timedelta) -> Commands:
        """Takes the status and headers of an endpoint's answer."""
        found = self._find_running(request_id, attempt)
        if found is not None:
            found.handle_head(status, headers, now)
        return self._settle()

    def handle_events(self, request_id: str, attempt: int, parts: list[bytes],
                      now: datetime.timedelta) -> Commands:
        """Takes the data of engine events."""
        found = self._find_running(request_id, attempt)
        if found is not None:
            found.handle_events(parts, now)
        return self._settle()

    def handle_body(self, request_id: str, attempt: int, data: bytes,
                    now: datetime.timedelta) -> Commands:
        """Takes a part of a body that is no stream of events."""
        found = self._find_running(request_id, attempt)
        if found is not None:
            found.handle_body(data, now)
        return self._settle()

    def handle_end(self, request_id: str, attempt: int,
                   end: attempt_end.AttemptEnd,
                   now: datetime.timedelta) -> Commands:
        """Takes the end of the exchange with an endpoint."""
        found = self._find_running(request_id, attempt)
        if found is not None:
            found.handle_end(end, now)
        return self._settle()

    def handle_caller_disconnect(self, caller: str) -> Commands:
        """Takes the loss of a caller's connection."""
        found = self._requests.get(self._callers.pop(caller, ""))
        if found is not None:
            found.leave(caller)
        return self._settle()

    def tick(self, now: datetime.timedelta) -> Commands:
        """Does what is due; to be called many times a second."""
        for each in self._requests.values():
            each.tick(now)
        self._forget_ended()
        self._check_agent(now)
        self._watch.tick(list(self._requests.values()), now)
        self._grant_locally(now)
        return self._settle()

    def _check_agent(self, now: datetime.timedelta) -> None:
        """Agrees with the other VMs, to which a VM without agent is dead."""
        is_silent = now - self._viewed >= AGENT_TIMEOUT
        last_choice = self._vm if is_silent else ""
        for contact in self._context.directory.contacts.values():
            contact.rank_last(last_choice)

    def _take_view(self, view: messages.View, sender: messages.Peer,
                   now: datetime.timedelta) -> None:
        self._viewed = now
        if self.view.take_view(view):
            assert self.view.classifier is not None
            self._context.directory.load_document(self.view.classifier.document)
        self._context.directory.load_view(view)
        self._context.poison.learn_view(view)
        self._context.agents = self.view.list_agents()
        for each in self._requests.values():
            each.refuse_poison()
        ack = messages.ViewAck(view.sequence, self.view.version)
        self._context.emit(commands.SendMessage(sender, ack))

    def _take_grant(self, grant: messages.Grant, ip: str,
                    now: datetime.timedelta) -> None:
        self._note_answer(grant.cell, ip, grant.queue_delay, now)
        found = self._requests.get(grant.request_id)
        if found is None:
            self._context.withdraw(grant.request_id, grant.attempt, grant.cell,
                                   ip)
            return
        found.take_grant(grant, ip, now)

    def _take_refusal(self, refusal: messages.Refusal, ip: str,
                      now: datetime.timedelta) -> None:
        contact = self._context.directory.contacts.get(refusal.cell)
        if refusal.reason not in _DECLINED:
            self._note_answer(refusal.cell, ip, None, now)
            found = self._requests.get(refusal.request_id)
            if found is not None:
                found.take_refusal(refusal, now)
        elif contact is not None and contact.is_owned_by(ip):
            contact.decline(now)
            self._watch.send_work(contact, self._list_work(refusal.cell), now)

    def _note_answer(self, cell: str, ip: str,
                     queue_delay: datetime.timedelta | None,
                     now: datetime.timedelta) -> None:
        contact = self._context.directory.contacts.get(cell)
        if contact is not None and contact.note_answer(ip, queue_delay, now):
            self._watch.send_work(contact, self._list_work(cell), now)

    def _list_work(self, cell: str) -> list[open_request.OpenRequest]:
        return [
            each for each in self._requests.values() if each.open_cell == cell
        ]

    def _grant_locally(self, now: datetime.timedelta) -> None:
        waiting = [
            each for each in self._requests.values()
            if each.phase is _Phase.ASKING and each.contact is not None and
            each.contact.is_ownerless(now)
        ]
        waiting.sort(key=lambda each:
                     (each.request.request_class.tier, each.request.arrived_at))
        for each in waiting:
            self._grant_one(each, now)

    def _grant_one(self, waiting: open_request.OpenRequest,
                   now: datetime.timedelta) -> None:
        assert waiting.contact is not None
        directory = self._context.directory
        closed = [
            each.name
            for each in waiting.contact.cell.endpoints
            if directory.find_endpoint(each.name) is None
        ]
        if waiting.is_suspect(now):
            closed += self._context.poison.list_suspected(now)
        endpoint = self._grants.select_endpoint(waiting.contact.cell,
                                                [*waiting.excluded, *closed],
                                                self._context.running)
        if endpoint is None:
            return
        grant = messages.Grant(waiting.request.request_id,
                               waiting.number,
                               waiting.contact.cell.name,
                               endpoint,
                               waiting.request.request_class.tier,
                               reason="no owner answers")
        waiting.take_grant(grant, "", now)

    def _find_holder(
        self, request: caller_request.CallerRequest
    ) -> open_request.OpenRequest | None:
        if not request.idempotency_key:
            return None
        key = (request.organisation, request.idempotency_key)
        return self._requests.get(self._claims.get(key, ""))

    def _join(self, holder: open_request.OpenRequest,
              request: caller_request.CallerRequest,
              recipient: delivery.Recipient) -> None:
        if holder.request.fingerprint != request.fingerprint:
            self._context.emit(
                commands.SendError(recipient.caller,
                                   run_error.make_key_reused()))
            return
        self._callers[recipient.caller] = holder.request.request_id
        joined = delivery.Recipient(recipient.caller,
                                    recipient.stream,
                                    recipient.include_usage,
                                    joined=True)
        holder.delivery.add(joined, holder.runner.answer.lines)

    def _find_running(self, request_id: str,
                      attempt: int) -> open_request.OpenRequest | None:
        found = self._requests.get(request_id)
        if found is None or found.runner.attempt is None:
            return None
        return found if found.runner.attempt.number == attempt else None

    def _settle(self) -> Commands:
        self._forget_ended()
        return self._context.drain()

    def _forget_ended(self) -> None:
        for request_id in self._context.ended:
            each = self._requests.pop(request_id)
            request = each.request
            key = (request.organisation, request.idempotency_key)
            self._claims.pop(key, None)
            for caller in each.delivery.recipients:
                self._callers.pop(caller, None)
        self._context.ended.clear()
