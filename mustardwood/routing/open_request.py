"""The course of one request."""

import datetime

from mustardwood import claims
from mustardwood import errors
from mustardwood import messages
from mustardwood.routing import attempt_end
from mustardwood.routing import attempt_runner
from mustardwood.routing import caller_request
from mustardwood.routing import cell_contact
from mustardwood.routing import commands
from mustardwood.routing import delivery as delivery_module
from mustardwood.routing import request_machine
from mustardwood.routing import request_phase
from mustardwood.routing import request_tally
from mustardwood.routing import routing_context
from mustardwood.routing import run_error
from mustardwood.routing import verdict as verdict_module
from mustardwood.routing import waste_cause

COMPLETION_TIMEOUT = datetime.timedelta(seconds=2)
"""Bound on the write of a claim's answer before the answer is passed on."""

_Phase = request_phase.RequestPhase
_Verdict = verdict_module.Verdict


class OpenRequest:
    """Carries a request from its arrival to its final answer.

    Attributes:
        request: The request.
        delivery: The callers that wait for the answer.
        number: Number of the last ask, from 1; 0 before the first.
        contact: Cell asked last.
        runner: Runner of its attempts.
        excluded: Endpoints that must not get the request again.
    """

    def __init__(self, request: caller_request.CallerRequest,
                 context: routing_context.RoutingContext) -> None:
        self.request = request
        self.delivery = delivery_module.Delivery(context)
        self.number = 0
        self.contact: cell_contact.CellContact | None = None
        self._tally = request_tally.RequestTally(request, context)
        self.runner = attempt_runner.AttemptRunner(request, context,
                                                   self._tally)
        self.excluded: tuple[str, ...] = ()
        self._context = context
        self._holder = request_machine.PhaseHolder()
        self._machine = request_machine.MACHINE(self._holder)
        self._tried_cells: set[str] = set()
        self._claimed = False
        self._retries = 0
        self._due = datetime.timedelta()

    @property
    def phase(self) -> request_phase.RequestPhase:
        """Where the request stands."""
        return self._holder.phase

    @property
    def ran(self) -> errors.RunState:
        """Whether the request may have run."""
        if self.runner.may_have_run or self.runner.attempt is not None:
            return errors.RunState.OUTCOME_UNKNOWN
        return errors.RunState.NOT_RUN

    @property
    def open_cell(self) -> str:
        """Name of the cell with open work of the request; empty for none."""
        if self.runner.attempt is not None:
            return self.runner.attempt.cell
        if self.phase is _Phase.ASKING and self.contact is not None:
            return self.contact.cell.name
        return ""

    def start(self, now: datetime.timedelta) -> None:
        """Claims the idempotency key where there is one, else asks."""
        request = self.request
        self._context.metrics.count_request(request.request_class.name)
        self._context.budget.add_request()
        self._explain(f"class {request.request_class.name}, tier "
                      f"{request.request_class.tier}, organisation "
                      f"{request.organisation}, {request.model_or_service}")
        if self.refuse_poison():
            return
        if not request.idempotency_key:
            self.ask(now)
            return
        self._machine.claim()
        self._context.emit(
            commands.AcquireClaim(request.request_id, request.organisation,
                                  request.idempotency_key, request.fingerprint,
                                  request.request_id, request.deadline - now))

    def handle_claim_answer(self, answer: claims.ClaimResult,
                            now: datetime.timedelta) -> None:
        """Goes on after the claim store's answer."""
        acquired = answer.verdict is claims.ClaimVerdict.ACQUIRED
        if self.phase is not _Phase.CLAIMING:
            if acquired:
                self._context.emit(
                    commands.ReleaseClaim(self.request.request_id))
            return
        self._explain(f"claim: {answer.verdict}")
        if acquired:
            self._claimed = True
            self.ask(now)
        elif answer.answer is not None:
            self._end()
            self.delivery.replay(answer.answer)
        else:
            self.fail(run_error.make_claim_error(answer))

    def ask(self, now: datetime.timedelta) -> None:
        """Asks a cell's owner for an endpoint."""
        if self.refuse_poison():
            return
        contact = self._context.directory.pick_cell(
            self.request.model_or_service, self._tried_cells)
        if contact is None:
            self.fail(run_error.make_no_endpoint(self.ran))
            return
        self._machine.ask()
        self.number += 1
        self.contact = contact
        self.send_ask(now)

    def send_ask(self, now: datetime.timedelta) -> None:
        """Sends the present ask to the cell's owner."""
        contact = self.contact
        if contact is None or contact.owner is None:
            return
        self._explain(f"ask {self.number}: cell {contact.cell.name}, "
                      f"owner {contact.owner.vm}")
        contact.note_sent(now)
        self._context.send_scheduler(contact.owner.ip, self.make_ask(now))

    def make_ask(self, now: datetime.timedelta) -> messages.Ask:
        """Returns the present ask."""
        assert self.contact is not None
        request = self.request
        return messages.Ask(request_id=request.request_id,
                            attempt=self.number,
                            cell=self.contact.cell.name,
                            class_name=request.request_class.name,
                            organisation=request.organisation,
                            prompt_tokens=request.prompt_tokens,
                            max_tokens=request.max_tokens,
                            prefix=request.prefix_hash,
                            waited=now - request.arrived_at,
                            remaining=request.deadline - now,
                            excluded=self.excluded,
                            fingerprint=request.fingerprint,
                            suspect=self.is_suspect(now))

    def is_suspect(self, now: datetime.timedelta) -> bool:
        """Returns whether the request was in flight at a crash."""
        return self._context.poison.is_suspect(self.request.fingerprint, now)

    def take_grant(self, grant: messages.Grant, granter: str,
                   now: datetime.timedelta) -> None:
        """Sends the request to the granted endpoint.

        Args:
            grant: The grant.
            granter: IP address of the scheduler's VM; empty for a local
                grant.
            now: Monotonic time.
        """
        if self.runner.is_running(grant, granter):
            return
        if self.phase is not _Phase.ASKING or grant.attempt != self.number:
            self._give_back(grant, granter)
            return
        endpoint = self._context.directory.find_endpoint(grant.endpoint)
        if endpoint is None or endpoint.name in self.excluded:
            self._explain(f"grant of {grant.endpoint} not used")
            self._give_back(grant, granter)
            self._exclude(grant.endpoint)
            self.ask(now)
            return
        if self.refuse_poison() or self._refuse_late(now):
            self._give_back(grant, granter)
            return
        self._explain(f"grant {grant.attempt}: endpoint {grant.endpoint}, "
                      f"{grant.reason}")
        self._withdraw_elsewhere(granter)
        self._machine.send()
        self.runner.send(grant, granter, endpoint, now)

    def take_refusal(self, refusal: messages.Refusal,
                     now: datetime.timedelta) -> None:
        """Tries another cell where that helps, else gives up."""
        if self.phase is not _Phase.ASKING or refusal.attempt != self.number:
            return
        self._explain(f"refused: {refusal.reason} {refusal.explanation}")
        if refusal.reason is messages.RefusalReason.NO_ENDPOINT:
            self._tried_cells.add(refusal.cell)
            if self._context.directory.pick_cell(self.request.model_or_service,
                                                 self._tried_cells):
                self.ask(now)
                return
        self.fail(run_error.make_refused(refusal, self.ran))

    def handle_head(self, status: int, headers: tuple[tuple[str, str], ...],
                    now: datetime.timedelta) -> None:
        """Takes the status and headers of the endpoint's answer."""
        self._machine.receive()
        self.runner.handle_head(status, headers, now)

    def handle_events(self, parts: list[bytes],
                      now: datetime.timedelta) -> None:
        """Takes the data of engine events."""
        verdict = self.runner.handle_events(parts, now)
        passed = self.runner.take_passed()
        if passed:
            self.delivery.pass_data(passed)
        self._conclude(verdict, now)

    def handle_body(self, data: bytes, now: datetime.timedelta) -> None:
        """Takes a part of a body that is no stream of events."""
        self._conclude(self.runner.handle_body(data, now), now)

    def handle_end(self, end: attempt_end.AttemptEnd,
                   now: datetime.timedelta) -> None:
        """Takes the end of the exchange with the endpoint."""
        self._conclude(self.runner.handle_end(end), now)

    def handle_claim_completed(self) -> None:
        """Passes the end of the answer on after the claim was completed."""
        if self.phase is _Phase.COMPLETING:
            self._pass_whole()

    def leave(self, caller: str) -> None:
        """Forgets a caller that went away; cancels the work for the last."""
        self.delivery.remove(caller)
        if self.delivery.recipients or self.phase is _Phase.ENDED:
            return
        if self._claimed and self.ran is errors.RunState.OUTCOME_UNKNOWN:
            self._explain("the caller went away; the claimed work goes on")
            return
        self._explain("cancelled by the caller")
        self._tally.note_cancelled(self.runner.endpoint,
                                   self._context.clock.monotonic())
        self._waste(waste_cause.WasteCause.CANCELLED)
        self._stop()

    def tick(self, now: datetime.timedelta) -> None:
        """Does what is due."""
        if self.phase is _Phase.COMPLETING:
            if now >= self._due:
                self._pass_whole()
        elif self._refuse_late(now):
            return
        elif self.phase is _Phase.DELAYED and now >= self._due:
            self.ask(now)
        elif self.runner.is_silent(now):
            self._conclude(_Verdict.SILENT, now)

    def fail(self, error: errors.RequestError) -> None:
        """Ends the request with its final error, at once."""
        self._explain(f"ended: {error.request_code}, {error.ran}")
        self._tally.note_refused(error, self.runner.endpoint)
        self._waste(waste_cause.WasteCause.CUT)
        self._stop()
        self.delivery.pass_error(error)

    def _stop(self) -> None:
        ran = self.ran
        self._withdraw_elsewhere("")
        self.runner.cancel()
        if self._claimed and ran is errors.RunState.NOT_RUN:
            self._context.emit(commands.ReleaseClaim(self.request.request_id))
        elif self._claimed:
            self._context.emit(
                commands.MarkClaimUnknown(self.request.request_id))
        self._end()

    def _end(self) -> None:
        self._machine.end()
        self._context.ended.append(self.request.request_id)

    def _conclude(self, verdict: verdict_module.Verdict | None,
                  now: datetime.timedelta) -> None:
        if verdict is None or self.runner.attempt is None:
            return
        endpoint = self.runner.endpoint
        self.runner.conclude(verdict, now)
        if verdict is _Verdict.WHOLE:
            self._complete(now)
            return
        self._explain(f"attempt at {endpoint} ended: {verdict}, "
                      f"{self.runner.reason}")
        if verdict is not _Verdict.RESUME_REFUSED:
            self._exclude(endpoint)
        if verdict is _Verdict.NOT_STARTED:
            self._retry(run_error.make_endpoint_refused(self.ran), now)
        elif verdict is _Verdict.UNREACHABLE:
            self._retry(run_error.make_unreachable(self.ran), now)
        else:
            self._repair(verdict, now)

    def _repair(self, verdict: verdict_module.Verdict,
                now: datetime.timedelta) -> None:
        """Retries, resumes or gives up after an attempt that may have run."""
        answer = self.runner.answer
        if not self.request.idempotent:
            self.fail(run_error.make_unknown())
            return
        refused = verdict is _Verdict.RESUME_REFUSED
        fresh = refused or not answer.text or not answer.resumable
        if fresh and self.delivery.streamed:
            self.fail(run_error.make_incomplete())
            return
        if fresh:
            self._waste(waste_cause.WasteCause.RETRIED)
            self._tally.note_fresh_start()
            answer.clear()
        else:
            self._tally.note_waste(waste_cause.WasteCause.RESUMED,
                                   answer.held_back_tokens,
                                   self.runner.endpoint)
            answer.begin_resume()
        self._retry(run_error.make_incomplete(), now)

    def _retry(self, error: errors.RequestError,
               now: datetime.timedelta) -> None:
        delay = self._context.budget.draw_delay(self._retries)
        self._retries += 1
        if self.refuse_poison():
            return
        late = now + delay >= self.request.deadline
        if late or not self._context.budget.take_retry():
            self.fail(error)
            return
        self._tally.note_retry()
        self._machine.delay()
        self._due = now + delay

    def _complete(self, now: datetime.timedelta) -> None:
        self._explain(f"whole answer from {self.runner.endpoint}")
        if not self._claimed:
            self._pass_whole()
            return
        self._machine.complete()
        self._due = now + COMPLETION_TIMEOUT
        request_id = self.request.request_id
        self._context.emit(
            commands.CompleteClaim(request_id, request_id,
                                   self.runner.make_whole()))

    def _pass_whole(self) -> None:
        self._end()
        if self.runner.answer.finished:
            self.delivery.pass_completion(self.runner.answer,
                                          self.request.model_or_service,
                                          self.runner.make_whole)
        else:
            self.delivery.pass_answer(self.runner.make_whole())

    def refuse_poison(self) -> bool:
        """Ends the request if it is convicted; returns whether it was."""
        if self.phase in (_Phase.COMPLETING, _Phase.ENDED):
            return False
        rest = self._context.poison.find_conviction(self.request.fingerprint)
        if rest is None:
            return False
        self.fail(run_error.make_poison(rest, self.ran))
        return True

    def _refuse_late(self, now: datetime.timedelta) -> bool:
        """Ends the request if its deadline has passed; returns whether so.

        No attempt is sent after the deadline. The claim of an idempotency key
        relies on that when its holder was paused.
        """
        if now < self.request.deadline:
            return False
        self.fail(run_error.make_deadline(self.ran))
        return True

    def _exclude(self, endpoint: str) -> None:
        if endpoint not in self.excluded:
            self.excluded += (endpoint,)

    def _give_back(self, grant: messages.Grant, granter: str) -> None:
        self._context.withdraw(grant.request_id, grant.attempt, grant.cell,
                               granter)

    def _withdraw_elsewhere(self, granter: str) -> None:
        """Takes the waiting ask back from an owner that did not grant it."""
        if self.phase is not _Phase.ASKING or self.contact is None:
            return
        owner = self.contact.owner
        if owner is not None and owner.ip != granter:
            self._context.withdraw(self.request.request_id, self.number,
                                   self.contact.cell.name, owner.ip)

    def _waste(self, cause: waste_cause.WasteCause) -> None:
        self._tally.note_waste(cause, self.runner.answer.total_tokens,
                               self.runner.endpoint)

    def _explain(self, text: str) -> None:
        self._context.explain(self.request.request_id, text)
