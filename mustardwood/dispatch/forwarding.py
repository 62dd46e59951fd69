"""Forwarding of one request, from its arrival to the end of the response."""

import collections.abc
import datetime
import http

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import crash_attribution
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_load
from mustardwood.dispatch import endpoint_notices
from mustardwood.dispatch import endpoint_statements
from mustardwood.dispatch import event_splitter
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import placement as placement_module
from mustardwood.dispatch import placement_limit
from mustardwood.dispatch import refusal
from mustardwood.dispatch import request_record
from mustardwood.dispatch import retry_policy
from mustardwood.dispatch import router_refusals
from mustardwood.dispatch import service_request
from mustardwood.dispatch import stall_timeout
from mustardwood.dispatch import stream_end
from mustardwood.dispatch import stream_version_table
from mustardwood.dispatch import version_lookup

_MAX_SENDS = 4
"""Maximum number of sends of one request, including those that did not run."""
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
_MAX_WAIT_TARGETS = 1.6
"""Maximum time in the queue as a multiple of the first-byte target.

The response is late by then, but still of use to the caller. A request also
waits for no more than a third of the time until its deadline and is refused
then, so that its caller has time for a retry.
"""
_TAKEOVER_TIME = datetime.timedelta(milliseconds=250)
"""Time for which a silent attempt stays open beside its successor.

An endpoint that refuses a request does so within a few round trips. Until then
the silent attempt may still go on; after that, two endpoints would run the
request.
"""
_CONNECTION_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
"""Interval at which the takeover waits for the successor's connection."""


class Forwarding:
    """Sends a request to endpoints until one has returned a full response.

    If an endpoint fails, disconnects or stops sending, the request is sent to
    another one as far as its retry policy and the retry budget allow. A
    resumable stream continues after the last complete event that the caller
    received, and only at endpoints of the software version that sent its first
    event: what two versions write does not fit together.

    An endpoint that is only silent may go on. Its attempt therefore stays open
    until another endpoint has room for the request and has not refused it.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 caller: forwarding_context.Caller,
                 context: forwarding_context.ForwardingContext) -> None:
        self._request = request
        self._caller = caller
        self._context = context
        self._attempt: attempt_record.AttemptRecord | None = None
        self._silent_attempt: attempt_record.AttemptRecord | None = None
        self._paused_attempt: attempt_record.AttemptRecord | None = None
        self._failed_attempt: attempt_record.AttemptRecord | None = None
        self._tried_endpoints: set[str] = set()
        self._software: str | None = None
        self._sends = 0
        self._runs = 0
        self._attribution = crash_attribution.CrashAttribution(request, context)
        self._splitter = event_splitter.EventSplitter(request.last_event_id)
        self._is_head_sent = False
        self._is_unbuffered = False
        self._is_done = False
        self._deadline_timer: forwarding_context.Timer | None = None
        self._stall_timer: forwarding_context.Timer | None = None
        self._takeover_timer: forwarding_context.Timer | None = None
        self._queue_timer: forwarding_context.Timer | None = None
        self._lookup: version_lookup.VersionLookup | None = None
        self._is_queued = False
        self._record = request_record.RequestRecord(
            request, context, self._attribution.fingerprint)

    @property
    def is_done(self) -> bool:
        """Whether the response has ended or the caller has disconnected."""
        return self._is_done

    def start(self) -> None:
        """Starts the first attempt and the deadline."""
        context = self._context
        context.retry_budgets.add_request(self._request.service)
        context.admission.record_arrival(
            self._request, context.directory.list_usable(self._request.service))
        time_left = self._request.expires_at - context.clock.monotonic()
        self._deadline_timer = context.scheduler.call_later(
            max(time_left, datetime.timedelta()), self._handle_deadline)
        if self._request.is_resumption:
            self._lookup = version_lookup.VersionLookup(self._request, context,
                                                        self._handle_version)
            self._lookup.start()
        else:
            self._send_next()

    def handle_caller_disconnect(self) -> None:
        """Aborts the request because its caller has disconnected."""
        if self._is_done:
            return
        self._abort_attempts(request_record.CALLER_GONE)
        self._finish(request_record.CALLER_GONE, 0)

    def handle_error(self) -> None:
        """Ends the request after an unexpected error in its handling."""
        if self._is_done:
            return
        if self._attempt is not None:
            self._runs += 1
        self._abort_attempts("error")
        self._give_up("error", None)

    def pause(self) -> None:
        """Stops reading the response, because its caller reads too slowly.

        The endpoint does not count as silent in the meantime.
        """
        attempt = self._attempt
        if attempt is not None and attempt.handle is not None:
            self._paused_attempt = attempt
            attempt.handle.pause()
            self._cancel_stall_timer()

    def resume(self) -> None:
        """Reads the response again."""
        attempt, self._paused_attempt = self._paused_attempt, None
        if (attempt is not None and attempt is self._attempt and
                attempt.handle is not None):
            attempt.handle.resume()
            self._start_stall_timer()

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
            return
        self._keep_only(attempt)
        self._attribution.record_data(attempt)
        self._release_prefill(attempt)
        self._record.record_first_byte()
        if self._request.is_stream:
            self._start_stall_timer()
            self._forward_events(attempt, data)
        elif self._is_unbuffered:
            self._caller.write(data)
        else:
            attempt.body += data
            if len(attempt.body) > _MAX_BUFFERED_BYTES:
                self._send_head(attempt, None)
                self._is_unbuffered = True
                self._caller.write(bytes(attempt.body))
                attempt.body.clear()

    def receive_end(self, attempt: attempt_record.AttemptRecord) -> None:
        """Handles the end of the complete response of an open attempt."""
        if not attempt.is_success:
            self._handle_error_response(attempt)
            return
        if self._request.is_stream:
            reason = stream_end.find_break(attempt, self._splitter)
            if reason:
                self.receive_failure(attempt, True, reason)
                return
        self._keep_only(attempt)
        self._end_attempt(attempt, request_record.COMPLETE)
        self._context.health.record_success(attempt.endpoint)
        self._attribution.record_success(attempt)
        if self._request.is_stream:
            if not self._is_head_sent:
                self._send_head(attempt, None)
            if self._splitter.rest:
                self._caller.write(self._splitter.rest)
        elif not self._is_unbuffered:
            self._send_head(attempt, len(attempt.body))
            self._caller.write(bytes(attempt.body))
        self._caller.finish()
        self._finish(request_record.ANSWERED, attempt.status)

    def receive_failure(self, attempt: attempt_record.AttemptRecord,
                        was_sent: bool, reason: str) -> None:
        """Handles the failure of an open attempt without a whole response."""
        is_silent_attempt = attempt is self._silent_attempt
        if was_sent:
            self._attribution.record_loss(attempt)
        self._end_attempt(attempt, reason)
        if not was_sent:
            self._context.health.record_unreachable(attempt.endpoint)
            if is_silent_attempt:
                self._runs -= 1
            elif not self._return_to_silent_attempt():
                self._retry_unsent(reason)
            return
        self._context.health.record_failure(attempt.endpoint)
        if is_silent_attempt:
            return
        self._runs += 1
        if not self._return_to_silent_attempt():
            self._retry_after_run(reason)

    def is_open(self, attempt: attempt_record.AttemptRecord) -> bool:
        """Returns whether the response of an attempt is still expected."""
        return attempt in (self._attempt, self._silent_attempt)

    def _handle_version(self, version: str | None) -> None:
        """Sends or refuses a resumption, whose version has been looked up."""
        if version is None:
            self._give_up("unknown stream", None)
        else:
            self._software = version
            self._send_next()

    def _record_software(self, attempt: attempt_record.AttemptRecord) -> None:
        """Records which version begins or resumes the stream."""
        version = attempt.choice.endpoint.version
        if self._software is None:
            self._software = version
        request = self._request
        if (version and request.stream_id and
                request.retry_policy is retry_policy.RetryPolicy.RESUMABLE):
            self._context.streams.record_service(request.service,
                                                 request.time_limit)
            self._context.streams.record(
                stream_version_table.find_key(request.service,
                                              request.stream_id), version)
            self._context.version_record.handle_new_stream()

    def _send_next(self) -> None:
        context, request = self._context, self._request
        denial = self._find_denial()
        if denial is not None:
            self._give_up("no longer allowed", denial)
            return
        crash_refusal = self._attribution.find_refusal()
        if crash_refusal is not None:
            self._give_up("crashes endpoints", crash_refusal)
            return
        now = context.clock.monotonic()
        time_left = request.expires_at - now
        if time_left <= datetime.timedelta():
            self._handle_deadline()
            return
        usable = context.directory.list_usable(request.service)
        is_new = not self._sends and not request.is_resumption
        if is_new and not context.admission.is_admitted(request, usable):
            self._give_up(
                request_record.NO_CAPACITY,
                router_refusals.build_not_run_refusal(
                    context.retry_after.draw_long_delay(request)))
            return
        choice = context.placement.choose(request, usable,
                                          self._find_excluded(usable))
        if isinstance(choice, placement_limit.PlacementLimit):
            self._wait_in_queue(choice)
            return
        self._send(choice, now, time_left)

    def _find_denial(self) -> refusal.Refusal | None:
        """Returns why the request may not be sent; None if it may.

        A response that has begun was allowed when its request was accepted, and
        its caller can't be told of a denial any more.
        """
        if self._is_head_sent:
            return None
        return self._context.authorizer.find_denial(self._request)

    def _send(self, choice: placement_module.Choice, now: datetime.timedelta,
              time_left: datetime.timedelta) -> None:
        context, request = self._context, self._request
        attempt = attempt_record.AttemptRecord(choice, now)
        self._attempt = attempt
        self._sends += 1
        self._tried_endpoints.add(attempt.endpoint)
        context.pauses.record_send(choice.endpoint)
        context.rate_limits.record_send(choice.endpoint)
        context.loads.add(attempt.endpoint, attempt.load)
        context.prefix_caches.record_request(attempt.endpoint, request,
                                             choice.is_preferred)
        self._start_stall_timer()
        attempt.handle = context.client.send(
            request, choice.endpoint, time_left,
            self._splitter.last_id if self._is_head_sent else None,
            _AttemptListener(self, attempt))

    def _wait_in_queue(self, limit: placement_limit.PlacementLimit) -> None:
        """Queues the request, or gives up if it was sent to all endpoints.

        A response that has begun can't be refused, so it waits until its
        deadline or until the caller disconnects.
        """
        context, request = self._context, self._request
        self._record.record_wait(limit)
        usable = context.directory.list_usable(request.service)
        if len(self._find_excluded(usable)) == len(usable):
            self._give_up("no endpoint left", None)
            return
        if limit is placement_limit.PlacementLimit.PAUSED:
            pause = self._find_pause(usable)
            if pause is not None:
                self._give_up(
                    "endpoints ask for a pause",
                    router_refusals.build_not_run_refusal(
                        max(pause, context.retry_after.draw_delay(request))))
                return
        if (limit is placement_limit.PlacementLimit.RATE and
                not self._is_head_sent and
                not context.rate_limits.has_share(usable)):
            self._give_up("no share of a rate limit", None)
            return
        if not self._is_queued:
            if not self._is_head_sent:
                self._queue_timer = context.scheduler.call_later(
                    self._compute_queue_time(), self._refuse_queued)
            self._enter_queue()

    def _find_pause(
        self, usable: collections.abc.Sequence[endpoint_module.Endpoint]
    ) -> datetime.timedelta | None:
        """Returns the time until an endpoint may be used; None to wait for it.

        The most urgent requests wait for the first pause that ends in time.
        """
        if self._is_head_sent:
            return None
        excluded = self._find_excluded(usable)
        pause = self._context.pauses.find_time_left(
            each for each in usable if each.name not in excluded)
        if (pause < self._compute_queue_time() and
                not self._context.queue.has_more_urgent(self._request)):
            return None
        return pause

    def _compute_queue_time(self) -> datetime.timedelta:
        """Returns for how long a request waits before it is refused.

        If an endpoint has run it, the time until now was no time in the queue.
        """
        request, now = self._request, self._context.clock.monotonic()
        start = now if self._runs else request.arrived_at
        max_wait = min(request.first_byte_target * _MAX_WAIT_TARGETS,
                       (request.expires_at - start) / 3)
        return max(start + max_wait - now, datetime.timedelta())

    def _enter_queue(self) -> None:
        if not self._is_queued:
            self._is_queued = True
            self._context.queue.add(self._request,
                                    self._retry_queued,
                                    group=self._software or "",
                                    has_begun=self._is_head_sent or
                                    self._attempt is not None)

    def _retry_queued(self) -> bool:
        if self._attempt is not None:
            self._send_successor(self._attempt)
        else:
            self._send_next()
            if self._attempt is not None:
                self._leave_queue()
        return not self._is_queued

    def _refuse_queued(self) -> None:
        self._leave_queue()
        self._give_up(request_record.NO_ROOM, None)

    def _leave_queue(self) -> None:
        if self._queue_timer is not None:
            self._queue_timer.cancel()
            self._queue_timer = None
        if self._is_queued:
            self._is_queued = False
            self._record.end_wait()
            self._context.queue.remove(self._request)

    def _forward_events(self, attempt: attempt_record.AttemptRecord,
                        data: bytes) -> None:
        events = self._splitter.add(data)
        if events:
            if not self._is_head_sent:
                self._record_software(attempt)
                self._send_head(attempt, None)
            attempt.has_sent_events = True
            self._record.record_events(attempt, events)
            self._caller.write(events)
        if self._splitter.rest_size > _MAX_EVENT_BYTES:
            self._break_off(attempt, "an event is too long")

    def _send_head(self, attempt: attempt_record.AttemptRecord,
                   length: int | None) -> None:
        self._is_head_sent = True
        self._caller.begin(attempt.status, attempt.headers, length)

    def _release_prefill(self, attempt: attempt_record.AttemptRecord) -> None:
        if attempt.load.prefill_tokens:
            done = endpoint_load.EndpointLoad(
                prefill_tokens=attempt.load.prefill_tokens)
            self._context.loads.subtract(attempt.endpoint, done)
            attempt.load = attempt.load - done

    def _handle_error_response(self,
                               attempt: attempt_record.AttemptRecord) -> None:
        """Retries or gives up after a complete response that is no success.

        A status that guarantees that the request has not run is not forwarded
        unless the endpoint confirmed it, because callers rely on it.
        """
        is_silent_attempt = attempt is self._silent_attempt
        self._end_attempt(attempt, f"status {attempt.status}")
        if attempt.was_not_run:
            if attempt.status == http.HTTPStatus.MISDIRECTED_REQUEST:
                self._context.notices.record(
                    attempt.incarnation, endpoint_notices.NoticeKind.REPLACED)
            if is_silent_attempt:
                self._runs -= 1
            elif not self._return_to_silent_attempt():
                self._retry_not_run(attempt)
            return
        if not is_silent_attempt:
            self._runs += 1
        guarantees_not_run = attempt.status in request_record.NOT_RUN_STATUSES
        is_failure = attempt.status >= 400 and not guarantees_not_run
        if is_failure and not attempt.is_truncated:
            self._failed_attempt = attempt
        if is_failure and attempt.status < 500:
            if self._is_head_sent and (is_silent_attempt or
                                       self._return_to_silent_attempt()):
                return
            self._abort_attempts("answered elsewhere")
            self._give_up("refused by the endpoint", None)
            return
        self._context.health.record_failure(attempt.endpoint)
        if not is_silent_attempt and not self._return_to_silent_attempt():
            self._retry_after_run(f"status {attempt.status}")

    def _retry_unsent(self, reason: str) -> None:
        if self._sends < _MAX_SENDS:
            self._send_next()
        else:
            self._give_up(reason, None)

    def _retry_not_run(self, attempt: attempt_record.AttemptRecord) -> None:
        reason = f"status {attempt.status}, not run"
        if self._sends < _MAX_SENDS and self._take_retry():
            self._send_next()
        else:
            self._give_up(reason, None)

    def _retry_after_run(self, reason: str) -> None:
        if self._may_run_again(self._runs) and self._take_retry():
            self._splitter.drop_rest()
            self._send_next()
        else:
            self._give_up(reason, None)

    def _take_retry(self) -> bool:
        return self._context.retry_budgets.take_retry(self._request.service,
                                                      self._request.urgency)

    def _may_run_again(self, runs: int) -> bool:
        """Returns whether one more endpoint may run the request.

        Args:
            runs: Number of endpoints that may have run it.
        """
        if not self._request.retry_policy.allows_rerun or self._is_unbuffered:
            return False
        if self._is_head_sent and self._splitter.last_id is None:
            return False
        return runs < self._request.max_runs and self._sends < _MAX_SENDS

    def _give_up(self, reason: str, denial: refusal.Refusal | None) -> None:
        """Ends a request that no endpoint answered successfully."""
        if self._is_head_sent:
            self._caller.abort()
            self._finish(reason, 0)
            return
        if self._runs == 0:
            response = denial or router_refusals.build_not_run_refusal(
                self._context.retry_after.draw_delay(self._request))
            self._caller.refuse(response)
            self._finish(reason, response.status)
        elif self._failed_attempt is not None:
            failed = self._failed_attempt
            self._caller.begin(failed.status, failed.headers, len(failed.body))
            self._caller.write(bytes(failed.body))
            self._caller.finish()
            self._finish(reason, failed.status)
        else:
            lost = router_refusals.build_lost_response_refusal()
            self._caller.refuse(lost)
            self._finish(reason, lost.status)

    def _handle_deadline(self) -> None:
        if self._is_done:
            return
        self._deadline_timer = None
        if self._attempt is not None:
            self._runs += 1
            self._abort_attempts("time is up")
        if self._is_head_sent:
            self._caller.abort()
            self._finish("time is up", 0)
            return
        response = router_refusals.build_timeout_refusal(
            may_have_run=self._runs > 0)
        self._caller.refuse(response)
        self._finish("time is up", response.status)

    def _start_stall_timer(self) -> None:
        self._cancel_stall_timer()
        self._stall_timer = self._context.scheduler.call_later(
            stall_timeout.find_stall_timeout(self._request),
            self._confirm_stall)

    def _confirm_stall(self) -> None:
        """Lets data be read that has arrived before the attempt stalls.

        Timers run before sockets are read. If the VM was busy or suspended, the
        data of sound endpoints is still waiting.
        """
        self._stall_timer = self._context.scheduler.call_later(
            datetime.timedelta(), self._handle_stall)

    def _handle_stall(self) -> None:
        self._stall_timer = None
        attempt = self._attempt
        if attempt is None:
            return
        self._mark_stalled(attempt)
        if (self._request.retry_policy.allows_rerun and
                not self._send_successor(attempt)):
            self._start_stall_timer()

    def _send_successor(self, silent: attempt_record.AttemptRecord) -> bool:
        """Sends the request of a silent attempt to another endpoint.

        If no endpoint has room, the request is queued, and the silent attempt
        goes on in the meantime.

        Returns:
            Whether it was sent.
        """
        context, request = self._context, self._request
        choice = self._choose_successor()
        if isinstance(choice, placement_limit.PlacementLimit):
            self._record.record_wait(choice)
            self._enter_queue()
            return False
        self._leave_queue()
        if choice is None or not self._take_retry():
            return False
        now = context.clock.monotonic()
        context.health.record_unreachable(silent.endpoint)
        self._runs += 1
        self._silent_attempt = silent
        self._send(choice, now, request.expires_at - now)
        self._takeover_timer = context.scheduler.call_later(
            _TAKEOVER_TIME, self._check_takeover)
        return True

    def _choose_successor(
        self
    ) -> placement_module.Choice | placement_limit.PlacementLimit | None:
        """Returns where to continue a silent attempt; None if nowhere.

        An endpoint that is avoided after a failed connection is worse than a
        silent one.
        """
        context, request = self._context, self._request
        if (not self._may_run_again(self._runs + 1) or
                request.expires_at <= context.clock.monotonic() or
                self._find_denial() is not None or
                self._attribution.find_refusal() is not None):
            return None
        usable = context.directory.list_usable(request.service)
        excluded = self._find_excluded(usable)
        if len(excluded) == len(usable):
            return None
        choice = context.placement.choose(request, usable, excluded)
        if (isinstance(choice, placement_module.Choice) and
                context.health.is_avoided(choice.endpoint.name)):
            return placement_limit.PlacementLimit.NO_ENDPOINT
        return choice

    def _find_excluded(
            self, usable: collections.abc.Iterable[endpoint_module.Endpoint]
    ) -> set[str]:
        """Returns the names of the usable endpoints that must not be chosen.

        A stream of an unknown software version can't go on at any endpoint. A
        new stream begins at a version that has been saved, if there is one, so
        that its version can be told after the loss of all VMs.
        """
        unrecorded = self._find_unrecorded(usable)
        if (self._software is None and not self._tried_endpoints and
                not unrecorded):
            return set()
        return {
            each.name
            for each in usable
            if each.name in self._tried_endpoints or each.version in unrecorded
            or (self._software is not None and
                (not each.version or each.version != self._software))
        }

    def _find_unrecorded(
            self, usable: collections.abc.Iterable[endpoint_module.Endpoint]
    ) -> set[str]:
        """Returns the versions at which a new resumable stream must not begin.
        """
        request = self._request
        if (self._software is not None or
                request.retry_policy is not retry_policy.RetryPolicy.RESUMABLE):
            return set()
        versions = {each.version for each in usable}
        unrecorded = {
            each for each in versions if
            not self._context.version_record.is_recorded(request.service, each)
        }
        return set() if unrecorded == versions else unrecorded

    def _keep_only(self, attempt: attempt_record.AttemptRecord) -> None:
        """Aborts the other one of two open attempts, if there are two.

        Args:
            attempt: The attempt whose endpoint sends the response.
        """
        self._leave_queue()
        if attempt is self._attempt:
            self._end_takeover()
            return
        successor = self._attempt
        self._cancel_takeover_timer()
        self._silent_attempt, self._attempt = None, attempt
        if successor is not None:
            self._abort_attempt(successor, "silent endpoint goes on")

    def _return_to_silent_attempt(self) -> bool:
        """Continues with the silent attempt if its successor has failed.

        Returns:
            Whether there is a silent attempt.
        """
        if self._silent_attempt is None:
            return False
        self._cancel_takeover_timer()
        self._attempt, self._silent_attempt = self._silent_attempt, None
        self._runs -= 1
        if not self._send_successor(self._attempt):
            self._start_stall_timer()
        return True

    def _check_takeover(self) -> None:
        """Ends the takeover if the successor has a connection.

        Data that has arrived is read before, as in `_confirm_stall`.
        """
        successor = self._attempt
        is_connected = (successor is None or successor.handle is None or
                        successor.handle.is_connected)
        self._takeover_timer = self._context.scheduler.call_later(
            datetime.timedelta()
            if is_connected else _CONNECTION_CHECK_INTERVAL,
            self._end_takeover if is_connected else self._check_takeover)

    def _end_takeover(self) -> None:
        """Aborts the silent attempt, if there is one."""
        if self._silent_attempt is not None:
            self._abort_attempt(self._silent_attempt, "silent")

    def _cancel_takeover_timer(self) -> None:
        if self._takeover_timer is not None:
            self._takeover_timer.cancel()
            self._takeover_timer = None

    def _break_off(self, attempt: attempt_record.AttemptRecord,
                   reason: str) -> None:
        """Closes the connection of an attempt whose response is invalid."""
        attempt.was_cut_off = True
        if attempt.handle is not None:
            attempt.handle.abort()
        self.receive_failure(attempt, True, reason)

    def _mark_stalled(self, attempt: attempt_record.AttemptRecord) -> None:
        """Records a failure of a stalled endpoint and releases the prefill.

        Failure: an endpoint never responds to some of its requests. Their
        prompts would count as waiting there until the callers disconnect, and
        keep other requests away from an engine that has free capacity.
        """
        if not attempt.is_stalled:
            attempt.is_stalled = True
            self._context.health.record_failure(attempt.endpoint)
            self._release_prefill(attempt)

    def _abort_attempts(self, reason: str) -> None:
        for attempt in (self._silent_attempt, self._attempt):
            if attempt is not None:
                self._abort_attempt(attempt, reason)

    def _abort_attempt(self, attempt: attempt_record.AttemptRecord,
                       reason: str) -> None:
        self._end_attempt(attempt, reason)
        if attempt.handle is not None:
            attempt.handle.abort()

    def _end_attempt(self, attempt: attempt_record.AttemptRecord,
                     reason: str) -> None:
        if self._request.is_stream and attempt.has_received_data:
            attempt.partial_event_bytes = self._splitter.rest_size
        if attempt is self._silent_attempt:
            self._silent_attempt = None
            self._cancel_takeover_timer()
            self._splitter.drop_rest()
        elif attempt is self._attempt:
            self._attempt = None
            self._cancel_stall_timer()
            self._leave_queue()
        self._context.loads.subtract(attempt.endpoint, attempt.load)
        self._record.add_attempt(attempt, reason)

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _finish(self, outcome: str, status: int) -> None:
        self._is_done = True
        self._leave_queue()
        if self._lookup is not None:
            self._lookup.cancel()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None
        self._record.finish(outcome, status)


class _AttemptListener:
    """Passes on the response to one attempt while the attempt is open."""

    def __init__(self, forwarding: Forwarding,
                 attempt: attempt_record.AttemptRecord) -> None:
        self._forwarding = forwarding
        self._attempt = attempt

    def receive_head(
        self,
        status: int,
        headers: forwarding_context.Headers,
        is_verified: bool,
        was_not_run: bool,
        statements: endpoint_statements.EndpointStatements = (
            endpoint_statements.EndpointStatements())
    ) -> None:
        """See `forwarding_context.AttemptListener`."""
        attempt = self._attempt
        attempt.status = status
        attempt.headers = headers
        attempt.is_verified = is_verified
        attempt.was_not_run = was_not_run
        self._forwarding.record_statements(attempt, statements)

    def receive_data(self, data: bytes) -> None:
        """See `forwarding_context.AttemptListener`."""
        if self._forwarding.is_open(self._attempt):
            self._forwarding.receive_data(self._attempt, data)

    def receive_end(self) -> None:
        """See `forwarding_context.AttemptListener`."""
        if self._forwarding.is_open(self._attempt):
            self._forwarding.receive_end(self._attempt)

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """See `forwarding_context.AttemptListener`."""
        if self._forwarding.is_open(self._attempt):
            self._forwarding.receive_failure(self._attempt, was_sent, reason)
