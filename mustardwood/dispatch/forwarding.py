"""The life of one request, from its arrival to the end of its answer."""

import datetime
import http

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import crash_record
from mustardwood.dispatch import endpoint_load
from mustardwood.dispatch import event_splitter
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import placement as placement_module
from mustardwood.dispatch import refusal
from mustardwood.dispatch import request_record
from mustardwood.dispatch import router_refusals
from mustardwood.dispatch import service_request
from mustardwood.dispatch import stall_timeout

_MOST_SENDS = 4
"""Bound on sends of one request, those that were not run included."""
_MOST_BUFFERED = 256 * 1024
"""Bytes of an answer that are kept so that a broken one can be replaced."""
_LONGEST_WAIT_AIMS = 1.6
"""Aims to the first byte for which a request waits for room at most.

It is late by then, but an answer is still worth having; beyond a third of its
time it is refused, so that its caller can come back.
"""


class Forwarding:
    """Sends a request to endpoints until one has answered it in full.

    Endpoints that fail, vanish or fall silent are replaced as far as the
    request may run again and the budget of retries allows; a stream that may
    be resumed continues after the last complete event that the caller got.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 caller: forwarding_context.Caller,
                 context: forwarding_context.ForwardingContext) -> None:
        self._request = request
        self._caller = caller
        self._context = context
        self._attempt: attempt_record.AttemptRecord | None = None
        self._failed: attempt_record.AttemptRecord | None = None
        self._tried: set[str] = set()
        self._sends = 0
        self._runs = 0
        self._fingerprint = crash_record.find_fingerprint(request)
        self._splitter = event_splitter.EventSplitter(request.last_event_id)
        self._is_begun = False
        self._is_through = False
        self._is_done = False
        self._expiry: forwarding_context.Timer | None = None
        self._patience: forwarding_context.Timer | None = None
        self._room_timer: forwarding_context.Timer | None = None
        self._record = request_record.RequestRecord(request, context)

    @property
    def is_done(self) -> bool:
        """Whether the request has its final answer or none can reach it."""
        return self._is_done

    def start(self) -> None:
        """Starts with the first attempt."""
        context = self._context
        context.retry_budgets.add_request(self._request.service)
        left = self._request.expires_at - context.clock.monotonic()
        self._expiry = context.scheduler.call_later(
            max(left, datetime.timedelta()), self._expire)
        self._send_next()

    def handle_caller_disconnect(self) -> None:
        """Ends the work, since the caller has gone."""
        if self._is_done:
            return
        self._drop_attempt(request_record.CALLER_GONE)
        self._finish(request_record.CALLER_GONE, 0)

    def receive_head(self, status: int, headers: forwarding_context.Headers,
                     is_verified: bool, was_not_run: bool) -> None:
        """See `forwarding_context.AttemptListener`."""
        attempt = self._attempt
        if attempt is None:
            return
        attempt.status = status
        attempt.headers = headers
        attempt.is_verified = is_verified
        attempt.was_not_run = was_not_run

    def receive_data(self, data: bytes) -> None:
        """See `forwarding_context.AttemptListener`."""
        attempt = self._attempt
        if attempt is None:
            return
        if not attempt.is_success:
            attempt.is_cut = (attempt.is_cut or
                              len(attempt.body) + len(data) > _MOST_BUFFERED)
            if not attempt.is_cut:
                attempt.body += data
            return
        self._release_prefill(attempt)
        self._record.note_first_byte()
        if self._request.is_stream:
            self._arm_patience()
            self._pass_events(attempt, data)
        elif self._is_through:
            self._caller.write(data)
        else:
            attempt.body += data
            if len(attempt.body) > _MOST_BUFFERED:
                self._begin(attempt, None)
                self._is_through = True
                self._caller.write(bytes(attempt.body))
                attempt.body.clear()

    def receive_end(self) -> None:
        """See `forwarding_context.AttemptListener`."""
        attempt = self._attempt
        if attempt is None:
            return
        if not attempt.is_success:
            self._handle_bad_answer(attempt)
            return
        self._end_attempt(request_record.COMPLETE)
        self._context.health.record_success(attempt.endpoint)
        self._context.crashes.record_success(self._fingerprint)
        if self._request.is_stream:
            if not self._is_begun:
                self._begin(attempt, None)
            if self._splitter.rest:
                self._caller.write(self._splitter.rest)
        elif not self._is_through:
            self._begin(attempt, len(attempt.body))
            self._caller.write(bytes(attempt.body))
        self._caller.finish()
        self._finish(request_record.ANSWERED, attempt.status)

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """See `forwarding_context.AttemptListener`."""
        attempt = self._attempt
        if attempt is None:
            return
        self._end_attempt(reason)
        if not was_sent:
            self._context.health.record_unreachable(attempt.endpoint)
            self._repeat_unsent(reason)
            return
        self._context.health.record_failure(attempt.endpoint)
        self._runs += 1
        if not attempt.status:
            self._context.crashes.record_crash(self._fingerprint,
                                               attempt.endpoint)
        self._repeat_run(reason)

    def _send_next(self) -> None:
        context, request = self._context, self._request
        denial = context.authorizer.find_denial(request)
        if denial is not None:
            self._give_up("no longer allowed", denial)
            return
        if context.crashes.is_blocked(self._fingerprint):
            self._give_up("crashes endpoints",
                          router_refusals.build_crash_refusal())
            return
        now = context.clock.monotonic()
        left = request.expires_at - now
        if left <= datetime.timedelta():
            self._expire()
            return
        choice = context.placement.choose(
            request, context.directory.list_usable(request.service),
            self._tried)
        if choice is None:
            self._wait_for_room()
            return
        self._send(choice, now, left)

    def _send(self, choice: placement_module.Choice, now: datetime.timedelta,
              left: datetime.timedelta) -> None:
        context, request = self._context, self._request
        attempt = attempt_record.AttemptRecord(choice, now)
        self._attempt = attempt
        self._sends += 1
        self._tried.add(attempt.endpoint)
        context.loads.add(attempt.endpoint, attempt.load)
        context.prefix_caches.record_request(attempt.endpoint, request,
                                             choice.is_preferred)
        self._arm_patience()
        attempt.handle = context.client.send(
            request, choice.endpoint, left,
            self._splitter.last_id if self._is_begun else None, self)

    def _wait_for_room(self) -> None:
        """Waits for an endpoint with room, if one is left."""
        context, request = self._context, self._request
        usable = context.directory.list_usable(request.service)
        if all(each.name in self._tried for each in usable):
            self._give_up("no endpoint left", None)
            return
        if self._room_timer is None:
            limit = min(request.first_byte_target * _LONGEST_WAIT_AIMS,
                        (request.expires_at - request.arrived_at) / 3)
            waited = context.clock.monotonic() - request.arrived_at
            self._room_timer = context.scheduler.call_later(
                max(limit - waited, datetime.timedelta()), self._refuse_waiting)
            context.queue.add(request, self._retry_waiting)

    def _retry_waiting(self) -> bool:
        self._send_next()
        if self._attempt is None and not self._is_done:
            return False
        self._leave_room()
        return True

    def _refuse_waiting(self) -> None:
        self._leave_room()
        self._give_up("no room", None)

    def _leave_room(self) -> None:
        if self._room_timer is not None:
            self._room_timer.cancel()
            self._room_timer = None
            self._context.queue.remove(self._request)

    def _pass_events(self, attempt: attempt_record.AttemptRecord,
                     data: bytes) -> None:
        events = self._splitter.add(data)
        if not events:
            return
        if not self._is_begun:
            self._begin(attempt, None)
        self._record.note_piece()
        self._caller.write(events)

    def _begin(self, attempt: attempt_record.AttemptRecord,
               length: int | None) -> None:
        self._is_begun = True
        self._caller.begin(attempt.status, attempt.headers, length)

    def _release_prefill(self, attempt: attempt_record.AttemptRecord) -> None:
        if attempt.load.prefill_tokens:
            done = endpoint_load.EndpointLoad(
                prefill_tokens=attempt.load.prefill_tokens)
            self._context.loads.subtract(attempt.endpoint, done)
            attempt.load = attempt.load - done

    def _handle_bad_answer(self, attempt: attempt_record.AttemptRecord) -> None:
        """Decides after a complete answer that is no success."""
        self._end_attempt(f"status {attempt.status}")
        if attempt.was_not_run:
            if attempt.status == http.HTTPStatus.MISDIRECTED_REQUEST:
                self._context.directory.mark_replaced(attempt.choice.endpoint)
            self._repeat_unrun(attempt)
            return
        self._runs += 1
        is_promise = attempt.status in request_record.PROMISES
        is_failure = attempt.status >= 400 and not is_promise
        if is_failure and not attempt.is_cut:
            self._failed = attempt
        if is_failure and attempt.status < 500:
            self._give_up("refused by the endpoint", None)
            return
        self._context.health.record_failure(attempt.endpoint)
        self._repeat_run(f"status {attempt.status}")

    def _repeat_unsent(self, reason: str) -> None:
        if self._sends < _MOST_SENDS:
            self._send_next()
        else:
            self._give_up(reason, None)

    def _repeat_unrun(self, attempt: attempt_record.AttemptRecord) -> None:
        reason = f"status {attempt.status}, not run"
        if (self._sends < _MOST_SENDS and
                self._context.retry_budgets.take_retry(self._request.service)):
            self._send_next()
        else:
            self._give_up(reason, None)

    def _repeat_run(self, reason: str) -> None:
        if self._may_run_again() and self._context.retry_budgets.take_retry(
                self._request.service):
            self._splitter.drop_rest()
            self._send_next()
        else:
            self._give_up(reason, None)

    def _may_run_again(self) -> bool:
        if not self._request.retry_policy.allows_second_run or self._is_through:
            return False
        if self._is_begun and self._splitter.last_id is None:
            return False
        return (self._runs < self._request.max_runs and
                self._sends < _MOST_SENDS)

    def _give_up(self, reason: str, denial: refusal.Refusal | None) -> None:
        """Gives the final answer to a request that no endpoint answered."""
        if self._is_begun:
            self._caller.abort()
            self._finish(reason, 0)
            return
        if self._runs == 0:
            answer = denial or router_refusals.build_not_run_refusal(
                self._context.retry_after.draw_delay(self._request))
            self._caller.refuse(answer)
            self._finish(reason, answer.status)
        elif self._failed is not None:
            failed = self._failed
            self._caller.begin(failed.status, failed.headers, len(failed.body))
            self._caller.write(bytes(failed.body))
            self._caller.finish()
            self._finish(reason, failed.status)
        else:
            lost = router_refusals.build_lost_response_refusal()
            self._caller.refuse(lost)
            self._finish(reason, lost.status)

    def _expire(self) -> None:
        if self._is_done:
            return
        self._expiry = None
        if self._attempt is not None:
            self._runs += 1
            self._drop_attempt("time is up")
        if self._is_begun:
            self._caller.abort()
            self._finish("time is up", 0)
            return
        answer = router_refusals.build_timeout_refusal(
            may_have_run=self._runs > 0)
        self._caller.refuse(answer)
        self._finish("time is up", answer.status)

    def _arm_patience(self) -> None:
        self._cancel_patience()
        self._patience = self._context.scheduler.call_later(
            stall_timeout.find_stall_timeout(self._request),
            self._lose_patience)

    def _lose_patience(self) -> None:
        self._patience = None
        attempt = self._attempt
        if attempt is None:
            return
        self._doubt(attempt)
        if not self._request.retry_policy.allows_second_run:
            return
        self._runs += 1
        others = [
            each for each in self._context.directory.list_usable(
                self._request.service) if each.name not in self._tried
        ]
        if (not others or not self._may_run_again() or
                not self._context.retry_budgets.take_retry(
                    self._request.service)):
            self._runs -= 1
            self._arm_patience()
            return
        self._context.health.record_unreachable(attempt.endpoint)
        self._drop_attempt("silent")
        self._splitter.drop_rest()
        self._send_next()

    def _doubt(self, attempt: attempt_record.AttemptRecord) -> None:
        """Counts a silent endpoint as failing, and its prompt as read.

        Load pattern: an endpoint that never answers part of its requests.
        Their prompts would count as waiting there until the callers leave,
        and keep other requests from an engine that has room.
        """
        if not attempt.is_doubted:
            attempt.is_doubted = True
            self._context.health.record_failure(attempt.endpoint)
            self._release_prefill(attempt)

    def _drop_attempt(self, reason: str) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        handle = attempt.handle
        self._end_attempt(reason)
        if handle is not None:
            handle.abort()

    def _end_attempt(self, reason: str) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        self._attempt = None
        self._cancel_patience()
        self._context.loads.subtract(attempt.endpoint, attempt.load)
        self._record.add_attempt(attempt, reason)

    def _cancel_patience(self) -> None:
        if self._patience is not None:
            self._patience.cancel()
            self._patience = None

    def _finish(self, outcome: str, status: int) -> None:
        self._is_done = True
        self._leave_room()
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        self._record.finish(outcome, status)
