"""Processing of one request."""

import datetime

from mustardwood import claims
from mustardwood import errors
from mustardwood import messages
from mustardwood.routing import attempt_end
from mustardwood.routing import attempt_result
from mustardwood.routing import attempt_runner
from mustardwood.routing import caller_request
from mustardwood.routing import cell_tracker
from mustardwood.routing import commands
from mustardwood.routing import request_machine
from mustardwood.routing import request_phase
from mustardwood.routing import request_statistics
from mustardwood.routing import response_delivery
from mustardwood.routing import routing_context
from mustardwood.routing import routing_errors
from mustardwood.routing import waste_cause

CLAIM_WRITE_TIMEOUT = datetime.timedelta(seconds=2)
"""Maximum wait for the response to be stored before it is sent anyway."""

_Phase = request_phase.RequestPhase
_Result = attempt_result.AttemptResult


class OpenRequest:
    """Processes a request from its arrival to its final response or error.

    Attributes:
        request: The request.
        delivery: Delivery of the response to the callers that wait for it.
        attempt_number: Number of the last `Ask`, from 1; 0 before the first. A
            granted attempt has the number of its `Ask`.
        tracker: Tracker of the cell that was asked last; None before that.
        runner: Runner of the attempts.
        excluded_endpoints: Names of endpoints that must not get the request
            again.
    """

    def __init__(self, request: caller_request.CallerRequest,
                 context: routing_context.RoutingContext) -> None:
        self.request = request
        self.delivery = response_delivery.ResponseDelivery(context)
        self.attempt_number = 0
        self.tracker: cell_tracker.CellTracker | None = None
        self._statistics = request_statistics.RequestStatistics(
            request, context)
        self.runner = attempt_runner.AttemptRunner(request, context,
                                                   self._statistics)
        self.excluded_endpoints: tuple[str, ...] = ()
        self._context = context
        self._phase_holder = request_machine.PhaseHolder()
        self._machine = request_machine.MACHINE_FACTORY(self._phase_holder)
        self._tried_cells: set[str] = set()
        self._claimed = False
        self._retry_count = 0
        self._due_at = datetime.timedelta()

    @property
    def phase(self) -> request_phase.RequestPhase:
        """The current phase of the request."""
        return self._phase_holder.phase

    @property
    def run_state(self) -> errors.RunState:
        """Whether the request may have run on an endpoint."""
        if self.runner.may_have_run or self.runner.attempt is not None:
            return errors.RunState.OUTCOME_UNKNOWN
        return errors.RunState.NOT_RUN

    @property
    def open_cell(self) -> str:
        """Name of the cell where the request waits or runs; empty for none."""
        if self.runner.attempt is not None:
            return self.runner.attempt.cell
        if self.phase is _Phase.ASKING and self.tracker is not None:
            return self.tracker.cell.name
        return ""

    def start(self, now: datetime.timedelta) -> None:
        """Claims the idempotency key if there is one, else asks for a grant."""
        request = self.request
        self._context.metrics.count_request(request.request_class.name)
        self._context.budget.add_request()
        self._explain(f"class {request.request_class.name}, tier "
                      f"{request.request_class.tier}, organisation "
                      f"{request.organisation}, {request.model_or_service}")
        if self.fail_if_blocked():
            return
        if not request.idempotency_key:
            self.ask(now)
            return
        self._machine.claim()
        self._context.emit(
            commands.AcquireClaim(request.request_id, request.organisation,
                                  request.idempotency_key, request.fingerprint,
                                  request.request_id, request.deadline - now))

    def handle_claim_result(self, result: claims.ClaimResult,
                            now: datetime.timedelta) -> None:
        """Handles the result of the claim.

        The request continues when the claim was acquired. Otherwise the stored
        response of the earlier request or an error is sent.
        """
        acquired = result.verdict is claims.ClaimVerdict.ACQUIRED
        if self.phase is not _Phase.CLAIMING:
            if acquired:
                self._context.emit(
                    commands.ReleaseClaim(self.request.request_id))
            return
        self._explain(f"claim: {result.verdict}")
        if acquired:
            self._claimed = True
            self.ask(now)
        elif result.answer is not None:
            self._mark_ended()
            self.delivery.replay(result.answer)
        else:
            self.fail(routing_errors.make_claim_error(result))

    def ask(self, now: datetime.timedelta) -> None:
        """Picks a cell and asks its owner for the grant of an endpoint."""
        if self.fail_if_blocked():
            return
        tracker = self._context.directory.pick_cell(
            self.request.model_or_service, self._tried_cells)
        if tracker is None:
            self.fail(routing_errors.make_no_endpoint(self.run_state))
            return
        self._machine.ask()
        self.attempt_number += 1
        self.tracker = tracker
        self.send_ask(now)

    def send_ask(self, now: datetime.timedelta) -> None:
        """Sends the current `Ask` to the owner of the cell."""
        tracker = self.tracker
        if tracker is None or tracker.owner is None:
            return
        self._explain(f"ask {self.attempt_number}: cell {tracker.cell.name}, "
                      f"owner {tracker.owner.vm}")
        tracker.record_sent(now)
        self._context.send_scheduler(tracker.owner.ip, self.make_ask(now))

    def make_ask(self, now: datetime.timedelta) -> messages.Ask:
        """Returns the current `Ask` message."""
        assert self.tracker is not None
        request = self.request
        return messages.Ask(request_id=request.request_id,
                            attempt=self.attempt_number,
                            cell=self.tracker.cell.name,
                            class_name=request.request_class.name,
                            organisation=request.organisation,
                            prompt_tokens=request.prompt_tokens,
                            max_tokens=request.max_tokens,
                            prefix=request.prefix_hash,
                            waited=now - request.arrived_at,
                            remaining=request.deadline - now,
                            excluded=self.excluded_endpoints,
                            fingerprint=request.fingerprint,
                            suspect=self.is_suspect(now))

    def is_suspect(self, now: datetime.timedelta) -> bool:
        """Returns whether the request was in flight at a recent crash."""
        return self._context.poison_detector.is_suspect(
            self.request.fingerprint, now)

    def handle_grant(self, grant: messages.Grant, granter_ip: str,
                     now: datetime.timedelta) -> None:
        """Sends the request to the granted endpoint.

        A grant that can't be used is withdrawn, so that its scheduler frees the
        endpoint.

        Args:
            grant: The grant.
            granter_ip: IP address of the VM whose scheduler granted the
                endpoint; empty for a local grant.
            now: Monotonic time.
        """
        if self.runner.matches_running_attempt(grant, granter_ip):
            return
        if (self.phase is not _Phase.ASKING or
                grant.attempt != self.attempt_number):
            self._return_grant(grant, granter_ip)
            return
        endpoint = self._context.directory.find_endpoint(grant.endpoint)
        if endpoint is None or endpoint.name in self.excluded_endpoints:
            self._explain(f"grant of {grant.endpoint} not used")
            self._return_grant(grant, granter_ip)
            self._exclude_endpoint(grant.endpoint)
            self.ask(now)
            return
        if self.fail_if_blocked() or self._fail_if_past_deadline(now):
            self._return_grant(grant, granter_ip)
            return
        self._explain(f"grant {grant.attempt}: endpoint {grant.endpoint}, "
                      f"{grant.reason}")
        self._withdraw_ask_from_other_owner(granter_ip)
        self._machine.send()
        self.runner.send(grant, granter_ip, endpoint, now)

    def handle_refusal(self, refusal: messages.Refusal,
                       now: datetime.timedelta) -> None:
        """Handles a refusal.

        Asks another cell if the refusing cell has no endpoint, else fails.
        """
        if (self.phase is not _Phase.ASKING or
                refusal.attempt != self.attempt_number):
            return
        self._explain(f"refused: {refusal.reason} {refusal.explanation}")
        if refusal.reason is messages.RefusalReason.NO_ENDPOINT:
            self._tried_cells.add(refusal.cell)
            if self._context.directory.pick_cell(self.request.model_or_service,
                                                 self._tried_cells):
                self.ask(now)
                return
        self.fail(routing_errors.make_refusal(refusal, self.run_state))

    def handle_head(self, status: int, headers: tuple[tuple[str, str], ...],
                    now: datetime.timedelta) -> None:
        """Handles the status and headers of the endpoint's response."""
        self._machine.receive()
        self.runner.handle_head(status, headers, now)

    def handle_events(self, parts: list[bytes],
                      now: datetime.timedelta) -> None:
        """Handles the data of engine events."""
        result = self.runner.handle_events(parts, now)
        outgoing = self.runner.take_outgoing_data()
        if outgoing:
            self.delivery.send_stream_data(outgoing)
        self._handle_result(result, now)

    def handle_body(self, data: bytes, now: datetime.timedelta) -> None:
        """Handles a part of a body that is not an event stream."""
        self._handle_result(self.runner.handle_body(data, now), now)

    def handle_end(self, end: attempt_end.AttemptEnd,
                   now: datetime.timedelta) -> None:
        """Handles the end of the HTTP exchange with the endpoint."""
        self._handle_result(self.runner.handle_end(end), now)

    def handle_claim_completed(self) -> None:
        """Sends the response after it was stored with the claim."""
        if self.phase is _Phase.COMPLETING:
            self._send_complete_response()

    def remove_caller(self, caller: str) -> None:
        """Removes a disconnected caller; cancels the request after the last.

        A request with a claim that may have run continues, so that its response
        can be stored.
        """
        self.delivery.remove_recipient(caller)
        if self.delivery.recipients or self.phase is _Phase.ENDED:
            return
        if self._claimed and self.run_state is errors.RunState.OUTCOME_UNKNOWN:
            self._explain("the caller went away; the claimed work goes on")
            return
        self._explain("cancelled by the caller")
        self._statistics.record_cancellation(self.runner.endpoint_name,
                                             self._context.clock.monotonic())
        self._count_waste(waste_cause.WasteCause.CANCELLED)
        self._abort()

    def tick(self, now: datetime.timedelta) -> None:
        """Checks the timeouts and the deadline, and starts a due retry."""
        if self.phase is _Phase.COMPLETING:
            if now >= self._due_at:
                self._send_complete_response()
        elif self._fail_if_past_deadline(now):
            return
        elif self.phase is _Phase.DELAYED and now >= self._due_at:
            self.ask(now)
        elif self.runner.is_timed_out(now):
            self._handle_result(_Result.SILENT, now)

    def fail(self, error: errors.RequestError) -> None:
        """Ends the request immediately with its final error."""
        self._explain(f"ended: {error.request_code}, {error.ran}")
        self._statistics.record_error(error, self.runner.endpoint_name)
        self._count_waste(waste_cause.WasteCause.CUT)
        self._abort()
        self.delivery.send_error(error)

    def _abort(self) -> None:
        run_state = self.run_state
        self._withdraw_ask_from_other_owner("")
        self.runner.cancel()
        if self._claimed and run_state is errors.RunState.NOT_RUN:
            self._context.emit(commands.ReleaseClaim(self.request.request_id))
        elif self._claimed:
            self._context.emit(
                commands.MarkClaimUnknown(self.request.request_id))
        self._mark_ended()

    def _mark_ended(self) -> None:
        self._machine.end()
        self._context.ended_request_ids.append(self.request.request_id)

    def _handle_result(self, result: attempt_result.AttemptResult | None,
                       now: datetime.timedelta) -> None:
        if result is None or self.runner.attempt is None:
            return
        endpoint = self.runner.endpoint_name
        self.runner.finish_attempt(result, now)
        if result is _Result.WHOLE:
            self._finish_successfully(now)
            return
        self._explain(f"attempt at {endpoint} ended: {result}, "
                      f"{self.runner.reason}")
        if result is not _Result.RESUME_REFUSED:
            self._exclude_endpoint(endpoint)
        if result is _Result.NOT_STARTED:
            self._schedule_retry(
                routing_errors.make_endpoint_refused(self.run_state), now)
        elif result is _Result.UNREACHABLE:
            self._schedule_retry(
                routing_errors.make_unreachable(self.run_state), now)
        else:
            self._retry_or_resume(result, now)

    def _retry_or_resume(self, result: attempt_result.AttemptResult,
                         now: datetime.timedelta) -> None:
        """Retries, resumes or fails after an attempt that may have run.

        Only an idempotent request may run again. It resumes from the received
        text if possible. It starts over only if no caller has received a part.
        """
        buffer = self.runner.buffer
        if not self.request.idempotent:
            self.fail(routing_errors.make_outcome_unknown())
            return
        refused = result is _Result.RESUME_REFUSED
        start_over = refused or not buffer.text or not buffer.resumable
        if start_over and self.delivery.has_streamed:
            self.fail(routing_errors.make_incomplete_response())
            return
        if start_over:
            self._count_waste(waste_cause.WasteCause.RETRIED)
            self._statistics.discard_first_token()
            buffer.reset()
        else:
            self._statistics.record_waste(waste_cause.WasteCause.RESUMED,
                                          buffer.held_back_tokens,
                                          self.runner.endpoint_name)
            buffer.prepare_resume()
        self._schedule_retry(routing_errors.make_incomplete_response(), now)

    def _schedule_retry(self, error: errors.RequestError,
                        now: datetime.timedelta) -> None:
        delay = self._context.budget.draw_delay(self._retry_count)
        self._retry_count += 1
        if self.fail_if_blocked():
            return
        late = now + delay >= self.request.deadline
        if late or not self._context.budget.take_retry():
            self.fail(error)
            return
        self._statistics.record_retry()
        self._machine.delay()
        self._due_at = now + delay

    def _finish_successfully(self, now: datetime.timedelta) -> None:
        self._explain(f"whole answer from {self.runner.endpoint_name}")
        if not self._claimed:
            self._send_complete_response()
            return
        self._machine.complete()
        self._due_at = now + CLAIM_WRITE_TIMEOUT
        request_id = self.request.request_id
        self._context.emit(
            commands.CompleteClaim(request_id, request_id,
                                   self.runner.make_stored_response()))

    def _send_complete_response(self) -> None:
        self._mark_ended()
        if self.runner.buffer.finished:
            self.delivery.send_completion(self.runner.buffer,
                                          self.request.model_or_service,
                                          self.runner.make_stored_response)
        else:
            self.delivery.send_response(self.runner.make_stored_response())

    def fail_if_blocked(self) -> bool:
        """Fails the request if it is blocked for crashing endpoints.

        Returns:
            Whether it was blocked.
        """
        if self.phase in (_Phase.COMPLETING, _Phase.ENDED):
            return False
        remaining = self._context.poison_detector.find_remaining_block(
            self.request.fingerprint)
        if remaining is None:
            return False
        self.fail(routing_errors.make_poison_request(remaining, self.run_state))
        return True

    def _fail_if_past_deadline(self, now: datetime.timedelta) -> bool:
        """Fails the request if its deadline has passed.

        No attempt is sent after the deadline. The claim of an idempotency key
        relies on this in case its holder was paused: once the deadline has
        passed, other entries assume that the holder sends nothing more.

        Returns:
            Whether the deadline has passed.
        """
        if now < self.request.deadline:
            return False
        self.fail(routing_errors.make_deadline_exceeded(self.run_state))
        return True

    def _exclude_endpoint(self, endpoint: str) -> None:
        if endpoint not in self.excluded_endpoints:
            self.excluded_endpoints += (endpoint,)

    def _return_grant(self, grant: messages.Grant, granter_ip: str) -> None:
        self._context.send_withdrawal(grant.request_id, grant.attempt,
                                      grant.cell, granter_ip)

    def _withdraw_ask_from_other_owner(self, granter_ip: str) -> None:
        """Withdraws the waiting `Ask` from an owner other than the granter."""
        if self.phase is not _Phase.ASKING or self.tracker is None:
            return
        owner = self.tracker.owner
        if owner is not None and owner.ip != granter_ip:
            self._context.send_withdrawal(self.request.request_id,
                                          self.attempt_number,
                                          self.tracker.cell.name, owner.ip)

    def _count_waste(self, cause: waste_cause.WasteCause) -> None:
        self._statistics.record_waste(cause, self.runner.buffer.total_tokens,
                                      self.runner.endpoint_name)

    def _explain(self, text: str) -> None:
        self._context.explain(self.request.request_id, text)
