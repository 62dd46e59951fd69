"""Forwarding of one request, from its arrival to the end of the response."""

import dataclasses
import datetime
import http

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import crash_attribution
from mustardwood.dispatch import endpoint_notices
from mustardwood.dispatch import endpoint_statements
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import placement_limit
from mustardwood.dispatch import refusal
from mustardwood.dispatch import request_record
from mustardwood.dispatch import router_refusals
from mustardwood.dispatch import service_request
from mustardwood.dispatch import stream_end
from mustardwood.forwarding import attempts as attempts_module
from mustardwood.forwarding import forwarded_response
from mustardwood.forwarding import guarded_scheduler
from mustardwood.forwarding import hedge_watch
from mustardwood.forwarding import room_wait
from mustardwood.forwarding import router_refusal
from mustardwood.forwarding import stream_version

_MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes of a response that are buffered, so that it can be replaced."""
_MAX_EVENT_BYTES = 256 * 1024
"""Maximum size of an event in bytes; ordinary ones have some thousand.

An event is buffered until it is complete, and a VM has hundreds of streams.
"""
_MAX_ERROR_BODY_BYTES = 1024 * 1024
"""Bytes of an error response after which its endpoint counts as faulty.

What exceeds the buffer is only read to learn that the response is complete.
"""
_EVENT_END = b"\n\n"
"""End of most events, by which they are counted for the log."""
_MAX_FRAMES = 20
"""Maximum number of functions in the log line of an error."""


class Forwarding:
    """Sends a request to endpoints until one has returned a full response.

    If an endpoint fails, disconnects or stops sending, the request is sent to
    another one as far as its retry policy and the retry budget allow. A
    resumable stream continues after the last complete event that the caller
    received.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 caller: forwarding_context.Caller,
                 context: forwarding_context.ForwardingContext) -> None:
        self._request = request
        self._caller = caller
        self._scheduler = guarded_scheduler.GuardedScheduler(
            context.scheduler, self.handle_error)
        context = dataclasses.replace(context, scheduler=self._scheduler)
        self._context = context
        self._failed_attempt: attempt_record.AttemptRecord | None = None
        self._attribution = crash_attribution.CrashAttribution(request, context)
        self._is_done = False
        self._deadline_timer: forwarding_context.Timer | None = None
        self._record = request_record.RequestRecord(
            request, context, self._attribution.fingerprint)
        self._response = forwarded_response.ForwardedResponse(request, caller)
        self._version = stream_version.StreamVersion(request, context)
        self._wait = room_wait.RoomWait(
            request, context, self._record, self._retry_queued,
            lambda: self._give_up(request_record.NO_ROOM, None))
        self._attempts = attempts_module.Attempts(request, context,
                                                  self._record, self._response,
                                                  self._version, self._wait,
                                                  self, self._is_allowed)
        self._hedge_watch = hedge_watch.HedgeWatch(request, context,
                                                   self._attempts,
                                                   self._attribution,
                                                   self._record,
                                                   self._is_allowed)

    @property
    def is_done(self) -> bool:
        """Whether the response has ended or the caller has disconnected."""
        return self._is_done

    def start(self) -> None:
        """Starts the first attempt and the deadline."""
        context = self._context
        context.retry_budgets.add_request(self._request.service)
        self._hedge_watch.record_arrival()
        context.admission.record_arrival(
            self._request, context.directory.list_usable(self._request.service))
        time_left = self._request.expires_at - context.clock.monotonic()
        self._deadline_timer = context.scheduler.call_later(
            max(time_left, datetime.timedelta()), self._handle_deadline)
        if self._request.is_resumption:
            self._version.look_up(self._handle_version)
        else:
            self._send_next()

    def handle_caller_disconnect(self) -> None:
        """Aborts the request because its caller has disconnected."""
        if self._is_done:
            return
        self._attempts.abort_all(request_record.CALLER_GONE)
        self._finish(request_record.CALLER_GONE, 0)

    def handle_error(self, error: Exception) -> None:
        """See `response_handler.ResponseHandler`."""
        self._context.journal.write("error",
                                    part="forwarding",
                                    error=str(error),
                                    traceback=_describe_traceback(error))
        if self._is_done:
            return
        if self._attempts.has_sent and not self._response.is_head_sent:
            # The error may have kept a run from being noticed.
            self._attempts.abort_all("error")
            self._refuse("error", router_refusals.build_lost_response_refusal())
        else:
            self._give_up("error", None)

    def handle_exit(self) -> None:
        """Ends the request because the process is about to exit."""
        if not self._is_done:
            self._scheduler.run(self._end_before_exit)

    def release_memory(self) -> None:
        """See `response_memory.Holder`; the request may be sent elsewhere."""
        self._scheduler.run(self._break_off_all)

    def pause(self) -> None:
        """Stops reading the response, because its caller reads too slowly.

        The endpoint does not count as silent in the meantime.
        """
        self._attempts.pause()

    def resume(self) -> None:
        """Reads the response again."""
        self._attempts.resume()

    def record_statements(
            self, attempt: attempt_record.AttemptRecord,
            statements: endpoint_statements.EndpointStatements) -> None:
        """Records what a response states of its endpoint.

        This also holds for a response that is no longer expected. A misdirected
        request was answered by another endpoint.
        """
        context, endpoint = self._context, attempt.choice.endpoint
        if attempt.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return
        if statements.is_leaving:
            context.notices.record(endpoint.incarnation,
                                   endpoint_notices.NoticeKind.LEAVING)
        context.pauses.record_response(endpoint, statements.pause)
        context.rate_limits.record_response(endpoint, statements.rate,
                                            attempt.is_verified)
        context.brittleness.record_response(endpoint, statements.max_refusals,
                                            attempt.was_not_run)

    def receive_data(self, attempt: attempt_record.AttemptRecord,
                     data: bytes) -> None:
        """Handles a part of the response's body of an open attempt."""
        if not attempt.is_success:
            attempt.is_truncated = (attempt.is_truncated or
                                    len(attempt.body) + len(data)
                                    > _MAX_BUFFERED_BYTES)
            if not attempt.is_truncated:
                attempt.body += data
            attempt.error_bytes += len(data)
            if attempt.error_bytes > _MAX_ERROR_BODY_BYTES:
                self._break_off(attempt, "the error body is too long")
            else:
                self._hold_memory()
            return
        self._hedge_watch.record_data(attempt)
        self._attempts.keep_only(attempt)
        self._attribution.record_data(attempt)
        self._attempts.release_prefill(attempt)
        self._record.record_first_byte()
        if self._request.is_stream:
            self._attempts.start_stall_timer()
            self._forward_events(attempt, data)
        elif self._response.is_unbuffered:
            self._caller.write(data)
        else:
            attempt.body += data
            if len(attempt.body) > _MAX_BUFFERED_BYTES:
                self._response.send_head(attempt, None)
                self._response.is_unbuffered = True
                self._caller.write(bytes(attempt.body))
                attempt.body.clear()
            self._hold_memory()

    def receive_end(self, attempt: attempt_record.AttemptRecord) -> None:
        """Handles the end of the complete response of an open attempt."""
        if not attempt.is_success:
            self._handle_error_response(attempt)
            return
        if self._request.is_stream:
            reason = stream_end.find_break(attempt, self._response.splitter)
            if reason:
                self.receive_failure(attempt, True, reason)
                return
        self._hedge_watch.record_data(attempt)
        self._attempts.keep_only(attempt)
        self._attempts.end(attempt, request_record.COMPLETE)
        self._context.health.record_success(attempt.endpoint)
        self._attribution.record_success(attempt)
        if self._request.is_stream:
            if not self._response.is_head_sent:
                self._response.send_head(attempt, None)
            if self._response.splitter.rest:
                self._caller.write(self._response.splitter.rest)
        elif not self._response.is_unbuffered:
            self._response.send_head(attempt, len(attempt.body))
            self._caller.write(bytes(attempt.body))
        self._caller.finish()
        self._finish(request_record.ANSWERED, attempt.status)

    def receive_failure(self, attempt: attempt_record.AttemptRecord,
                        was_sent: bool, reason: str) -> None:
        """Handles the failure of an open attempt without a whole response."""
        has_successor = self._attempts.has_successor(attempt)
        if was_sent:
            self._attribution.record_loss(attempt)
            attempt.run = attempt_record.RunState.WRITTEN
        else:
            attempt.run = attempt_record.RunState.UNSENT
        self._attempts.end(attempt, reason)
        self._attempts.close(attempt)
        if not was_sent:
            self._context.health.record_unreachable(attempt.endpoint)
            if not (has_successor or self._attempts.return_to_silent()):
                self._retry_unsent(reason)
            return
        if attempt.ended_sending_at is None:
            self._context.health.record_failure(attempt.endpoint)
        if not (has_successor or self._attempts.return_to_silent()):
            self._retry_after_run(reason)

    def receive_denial(self, attempt: attempt_record.AttemptRecord) -> None:
        """See `response_handler.ResponseHandler`."""
        if not self.is_open(attempt):
            return
        has_successor = self._attempts.has_successor(attempt)
        self._attempts.end(attempt, "no longer allowed")
        if not (has_successor or self._attempts.return_to_silent()):
            self._send_next()

    def is_open(self, attempt: attempt_record.AttemptRecord) -> bool:
        """Returns whether the response of an attempt is still expected."""
        return self._attempts.is_open(attempt)

    def _end_before_exit(self) -> None:
        self._give_up(request_record.PROCESS_EXITS,
                      router_refusals.build_exit_refusal())

    def _break_off_all(self) -> None:
        self._failed_attempt = None
        for attempt in self._attempts.list_open():
            if self.is_open(attempt):
                self._break_off(attempt, "no memory left for the response")

    def _handle_version(self, version: str | None) -> None:
        """Sends or refuses a resumption, whose version has been looked up."""
        if version is None:
            self._give_up("unknown stream", None)
        else:
            self._send_next()

    def _send_next(self) -> None:
        context, request = self._context, self._request
        obstacle = self._find_obstacle()
        if obstacle is not None:
            self._give_up(obstacle.reason, obstacle.response)
            return
        now = context.clock.monotonic()
        time_left = request.expires_at - now
        if time_left <= datetime.timedelta():
            self._handle_deadline()
            return
        has_run = self._attempts.may_have_run
        is_head_sent = self._response.is_head_sent
        usable = context.directory.list_usable(request.service)
        is_new = not self._attempts.has_sent and not request.is_resumption
        if is_new and not context.admission.is_admitted(request, usable):
            self._give_up(
                request_record.NO_CAPACITY,
                router_refusals.build_not_run_refusal(
                    context.retry_after.draw_long_delay(request)))
            return
        excluded = self._attempts.find_excluded(usable)
        choice = context.placement.choose(request, usable, excluded)
        if not isinstance(choice, placement_limit.PlacementLimit):
            self._attempts.send(choice, now, time_left)
            self._hedge_watch.start()
            return
        if len(excluded) == len(usable) and self._attempts.request_proof(
                usable):
            choice = placement_limit.PlacementLimit.REGISTRATIONS
        self._record.record_wait(choice)
        refused = self._wait.find_refusal(choice, usable, excluded, has_run,
                                          is_head_sent)
        if refused is not None:
            self._give_up(refused.reason, refused.response)
        else:
            self._wait.start(self._version.software or "", has_run,
                             is_head_sent)

    def _retry_queued(self) -> bool:
        self._scheduler.run(self._send_queued)
        return not self._wait.is_queued

    def _send_queued(self) -> None:
        if self._attempts.current is not None:
            self._attempts.send_successor()
            return
        self._send_next()
        if self._attempts.current is not None:
            self._wait.leave_queue()

    def _is_allowed(self) -> bool:
        return self._find_obstacle() is None

    def _find_obstacle(self) -> router_refusal.RouterRefusal | None:
        """Returns why the request may not be sent now; None if it may."""
        denial = self._find_denial()
        if denial is not None:
            return router_refusal.RouterRefusal("no longer allowed", denial)
        crash_refusal = self._attribution.find_refusal()
        if crash_refusal is not None:
            return router_refusal.RouterRefusal("crashes endpoints",
                                                crash_refusal)
        if not (self._attempts.may_have_run or self._response.is_head_sent or
                self._context.process_exit.allows(self._request)):
            return router_refusal.RouterRefusal(
                request_record.PROCESS_EXITS,
                router_refusals.build_exit_refusal())
        return None

    def _find_denial(self) -> refusal.Refusal | None:
        """Returns why the request may not be sent; None if it may.

        A response that has begun was allowed when its request was accepted, and
        its caller can't be told of a denial any more.
        """
        if self._response.is_head_sent:
            return None
        return self._context.authorizer.find_denial(self._request)

    def _forward_events(self, attempt: attempt_record.AttemptRecord,
                        data: bytes) -> None:
        events = self._response.splitter.add(data)
        if events:
            if not self._response.is_head_sent:
                self._version.record_software(attempt)
                self._response.send_head(attempt, None)
            attempt.has_sent_events = True
            attempt.event_count += events.count(_EVENT_END)
            self._record.record_events(attempt, events)
            if attempt.first_data_at is not None:
                self._context.placement.record_progress(self._request,
                                                        attempt.first_data_at,
                                                        attempt.event_count)
            self._caller.write(events)
        if self._response.splitter.rest_size > _MAX_EVENT_BYTES:
            self._break_off(attempt, "an event is too long")
        else:
            self._hold_memory()

    def _hold_memory(self) -> None:
        """Counts what is buffered of the responses to this request.

        It may end the open attempts.
        """
        if self._is_done:
            return
        failed = [] if self._failed_attempt is None else [self._failed_attempt]
        held = self._response.splitter.rest_size + sum(
            len(each.body) for each in self._attempts.list_open() + failed)
        self._context.response_memory.hold(self, held)

    def _handle_error_response(self,
                               attempt: attempt_record.AttemptRecord) -> None:
        """Retries or gives up after a complete response that is no success.

        A status that guarantees that the request has not run is not forwarded
        unless the endpoint confirmed it, because callers rely on it.
        """
        has_successor = self._attempts.has_successor(attempt)
        if attempt.was_not_run:
            attempt.run = attempt_record.RunState.NOT_RUN
        self._attempts.end(attempt, f"status {attempt.status}")
        if attempt.was_not_run:
            self._context.health.record_refusal(attempt.endpoint)
            if attempt.status == http.HTTPStatus.MISDIRECTED_REQUEST:
                self._context.notices.record(
                    attempt.incarnation, endpoint_notices.NoticeKind.REPLACED)
            if not (has_successor or self._attempts.return_to_silent()):
                self._retry_not_run(attempt)
            return
        guarantees_not_run = attempt.status in request_record.NOT_RUN_STATUSES
        is_failure = attempt.status >= 400 and not guarantees_not_run
        if is_failure and not attempt.is_truncated:
            self._failed_attempt = attempt
        if is_failure and attempt.status < 500:
            if self._response.is_head_sent and (
                    has_successor or self._attempts.return_to_silent()):
                return
            self._attempts.abort_all("answered elsewhere")
            self._give_up("refused by the endpoint", None)
            return
        self._context.health.record_failure(attempt.endpoint)
        if not has_successor and not self._attempts.return_to_silent():
            self._retry_after_run(f"status {attempt.status}")

    def _retry_unsent(self, reason: str) -> None:
        if self._attempts.may_send:
            self._send_next()
        else:
            self._give_up(reason, None)

    def _retry_not_run(self, attempt: attempt_record.AttemptRecord) -> None:
        reason = f"status {attempt.status}, not run"
        if self._attempts.may_send and self._attempts.take_retry():
            self._send_next()
        else:
            self._give_up(reason, None)

    def _retry_after_run(self, reason: str) -> None:
        if self._attempts.may_run_again() and self._attempts.take_retry():
            self._response.splitter.drop_rest()
            self._version.record_break()
            self._send_next()
        else:
            self._give_up(reason, None)

    def _give_up(self, reason: str, denial: refusal.Refusal | None) -> None:
        """Ends a request that no endpoint answered successfully.

        The caller is told that it has not run only if that holds for each of
        its attempts, also those that are still open.
        """
        self._attempts.abort_all(reason)
        if self._response.is_head_sent:
            self._caller.abort()
            self._finish(reason, 0)
            return
        if not self._attempts.may_have_run:
            self._refuse(
                reason, denial or router_refusals.build_not_run_refusal(
                    self._context.retry_after.draw_delay(self._request)))
        elif self._failed_attempt is not None:
            failed = self._failed_attempt
            self._caller.begin(failed.status, failed.headers, len(failed.body))
            self._caller.write(bytes(failed.body))
            self._caller.finish()
            self._finish(reason, failed.status)
        else:
            self._refuse(reason, router_refusals.build_lost_response_refusal())

    def _refuse(self, reason: str, response: refusal.Refusal) -> None:
        self._caller.refuse(response)
        self._finish(reason, response.status)

    def _handle_deadline(self) -> None:
        if self._is_done:
            return
        self._deadline_timer = None
        self._attempts.abort_all("time is up")
        if self._response.is_head_sent:
            self._caller.abort()
            self._finish("time is up", 0)
            return
        self._refuse(
            "time is up",
            router_refusals.build_timeout_refusal(
                may_have_run=self._attempts.may_have_run))

    def _break_off(self, attempt: attempt_record.AttemptRecord,
                   reason: str) -> None:
        """Closes the connection of an attempt whose response is invalid."""
        attempt.was_cut_off = True
        self.receive_failure(attempt, True, reason)

    def _finish(self, outcome: str, status: int) -> None:
        self._is_done = True
        self._context.response_memory.release(self)
        self._wait.leave_queue()
        self._version.cancel_lookup()
        self._hedge_watch.finish()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None
        self._record.finish(outcome, status)


def _describe_traceback(error: Exception) -> list[str]:
    """Returns the last functions that an error has passed through, with lines.
    """
    found = []
    frame = error.__traceback__
    while frame is not None:
        found.append(f"{frame.tb_frame.f_code.co_qualname}:{frame.tb_lineno}")
        frame = frame.tb_next
    return found[-_MAX_FRAMES:]
