"""Open attempts of a request, with the takeover of a silent one."""

import collections.abc
import datetime
import functools

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_load
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import placement as placement_module
from mustardwood.dispatch import placement_limit
from mustardwood.dispatch import request_record
from mustardwood.dispatch import service_request
from mustardwood.dispatch import stall_timeout
from mustardwood.forwarding import attempt_listener
from mustardwood.forwarding import forwarded_response
from mustardwood.forwarding import response_handler
from mustardwood.forwarding import room_wait
from mustardwood.forwarding import stream_version
from mustardwood.forwarding import takeover as takeover_module

_MAX_SENDS = 4
"""Maximum number of sends of one request, including those that did not run."""
_MIN_HEDGE_TIME = datetime.timedelta(milliseconds=250)
"""Minimum time for which a slow attempt stays open beside its hedge."""
_CONNECTION_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
"""Interval at which the takeover waits for the connection of the hedge."""

Check = collections.abc.Callable[[], bool]
"""Returns whether a request may still be sent."""


class Attempts:
    """Sends a request to endpoints and keeps its open attempts.

    An endpoint that is only silent may go on. Its attempt therefore stays open
    until there is a connection to another endpoint that has room. Then the
    takeover begins, and the request is written to the other endpoint when the
    first one has closed its side of the connection, or has done nothing in
    time. If it goes on before that, its response is used. So no two endpoints
    run the request, even if the process stands still in between or an endpoint
    notices the close late.

    If the other endpoint turns away a request whose response has begun, and
    none is left, the request returns to an endpoint that was only silent and
    has dropped it.

    The attempt at a slow endpoint stays open beside the one that hedges it,
    until one of them brings data. If none does within the stall timeout of the
    first, the hedged request takes it over.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 context: forwarding_context.ForwardingContext,
                 record: request_record.RequestRecord,
                 response: forwarded_response.ForwardedResponse,
                 version: stream_version.StreamVersion,
                 wait: room_wait.RoomWait,
                 handler: response_handler.ResponseHandler,
                 is_allowed: Check) -> None:
        """Creates the attempts; none is open.

        Args:
            request: The request.
            context: Objects that all requests share.
            record: Log line of the request.
            response: What the caller got of the response.
            version: Software version of the stream.
            wait: Wait for an endpoint with room.
            handler: Receives the responses.
            is_allowed: Returns whether the request may still be sent.
        """
        self._sent: list[attempt_record.AttemptRecord] = []
        self._closing: set[attempt_record.AttemptRecord] = set()
        self._held: attempt_record.AttemptRecord | None = None
        self._request = request
        self._context = context
        self._record = record
        self._response = response
        self._version = version
        self._wait = wait
        self._handler = handler
        self._is_allowed = is_allowed
        self._current: attempt_record.AttemptRecord | None = None
        self._silent: attempt_record.AttemptRecord | None = None
        self._hedged: attempt_record.AttemptRecord | None = None
        self._hedge_sent_at = datetime.timedelta()
        self._overlap = datetime.timedelta()
        self._takeover: takeover_module.Takeover | None = None
        self._tried: set[str] = set()
        self._is_paused = False
        self._stall_timer: forwarding_context.Timer | None = None
        self._takeover_timer: forwarding_context.Timer | None = None

    @property
    def current(self) -> attempt_record.AttemptRecord | None:
        """The attempt that was sent last, if it is open."""
        return self._current

    @property
    def has_silent(self) -> bool:
        """Whether a silent attempt is open beside its successor."""
        return self._silent is not None

    @property
    def is_hedged(self) -> bool:
        """Whether the silent attempt is open beside a hedged request."""
        return self._silent is not None and self._silent is self._hedged

    @property
    def tried(self) -> collections.abc.Set[str]:
        """Names of the endpoints that the request was sent to."""
        return self._tried

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may run the request or have run it."""
        return any(
            each.run is attempt_record.RunState.WRITTEN for each in self._sent)

    @property
    def has_sent(self) -> bool:
        """Whether the request was sent to an endpoint."""
        return bool(self._sent)

    @property
    def has_begun_response(self) -> bool:
        """Whether the caller got the head of a response."""
        return self._response.is_head_sent

    @property
    def may_send(self) -> bool:
        """Whether the maximum number of sends is not reached."""
        return len(self._sent) < _MAX_SENDS

    def is_open(self, attempt: attempt_record.AttemptRecord) -> bool:
        """Returns whether the response of an attempt is still expected."""
        return attempt in self.list_open()

    def list_open(self) -> list[attempt_record.AttemptRecord]:
        """Returns the attempts whose responses are still expected."""
        replaced = None if self._takeover is None else self._takeover.attempt
        return [
            each for each in (replaced, self._silent, self._current)
            if each is not None
        ]

    def request_proof(
            self, usable: collections.abc.Collection[endpoint_module.Endpoint]
    ) -> bool:
        """See `stream_version.StreamVersion.request_proof`."""
        return self._version.request_proof(usable, self._tried)

    def has_successor(self, attempt: attempt_record.AttemptRecord) -> bool:
        """Returns whether another attempt follows if a silent one ends."""
        return attempt is self._silent or (self._is_being_replaced(attempt) and
                                           self._current is not None)

    def _is_being_replaced(self, attempt: attempt_record.AttemptRecord) -> bool:
        return (self._takeover is not None and
                self._takeover.attempt is attempt)

    def find_excluded(
        self, usable: collections.abc.Collection[endpoint_module.Endpoint]
    ) -> set[str]:
        """Returns the names of the usable endpoints that must not be chosen.

        Args:
            usable: Endpoints of the service that accept new requests.
        """
        excluded = self._version.find_excluded(usable, self._tried)
        if len(excluded) < len(usable) or not self._response.is_head_sent:
            return excluded
        dropped = {
            each.endpoint for each in self._sent if
            each.ended_sending_at is not None and each.closed_after is not None
        }
        return self._version.find_excluded(usable, self._tried - dropped)

    def may_run_again(self) -> bool:
        """Returns whether one more endpoint may run the request."""
        runs = sum(each.run in (attempt_record.RunState.WRITTEN,
                                attempt_record.RunState.CONNECTING)
                   for each in self._sent)
        return (self._request.retry_policy.allows_rerun and
                self._response.can_continue and
                runs < self._request.max_runs and self.may_send)

    def take_retry(self, spare: int = 0) -> bool:
        """Takes a retry from the budget; returns False if it is used up.

        Args:
            spare: Number of further retries that must be left.
        """
        return self._context.retry_budgets.take_retry(self._request.service,
                                                      self._request.urgency,
                                                      spare)

    def send(
        self,
        choice: placement_module.Choice,
        now: datetime.timedelta,
        time_left: datetime.timedelta,
        before_write: collections.abc.Callable[[],
                                               None] = lambda: None) -> None:
        """Sends the request to an endpoint.

        Args:
            choice: The endpoint.
            now: Monotonic time.
            time_left: Time until the request's deadline.
            before_write: Called when there is a connection to the endpoint,
                before a byte of the request is written.
        """
        context, request = self._context, self._request
        attempt = attempt_record.AttemptRecord(choice, now)
        self._current = attempt
        self._sent.append(attempt)
        self._tried.add(attempt.endpoint)
        context.pauses.record_send(choice.endpoint)
        context.rate_limits.record_send(choice.endpoint)
        context.loads.add(attempt.endpoint, attempt.load)
        context.prefix_caches.record_request(attempt.endpoint, request,
                                             choice.is_preferred)
        self.start_stall_timer()
        attempt.handle = context.client.send(
            request, choice.endpoint, time_left, self._response.resume_after,
            attempt_listener.AttemptListener(self._handler, attempt),
            lambda: self._prepare_write(attempt, before_write))
        if self._is_paused:
            attempt.handle.pause()

    def _prepare_write(
            self, attempt: attempt_record.AttemptRecord,
            before_write: collections.abc.Callable[[], None]) -> bool:
        """Prepares the write of the request to an endpoint.

        Returns:
            Whether the request is held back.
        """
        try:
            if attempt.handle is not None and not self._check_allowed(attempt):
                return True
            before_write()
            if self._closing or self._takeover is not None:
                self._held = attempt
                self.cancel_stall_timer()
                return True
            attempt.run = attempt_record.RunState.WRITTEN
            return False
        except Exception as error:  # pylint: disable=broad-exception-caught
            # The code that opens the connection can't answer the caller.
            self._context.scheduler.call_later(
                datetime.timedelta(),
                functools.partial(self._handler.handle_error, error))
            return True

    def _check_allowed(self, attempt: attempt_record.AttemptRecord) -> bool:
        """Checks once more that the request may be sent; ends it if not.

        The process may have stood still since its connection was requested.
        """
        if self._is_allowed():
            return True
        if attempt.handle is not None:
            attempt.handle.abort()
        self._context.scheduler.call_later(
            datetime.timedelta(), lambda: self._handler.receive_denial(attempt))
        return False

    def close(self, attempt: attempt_record.AttemptRecord) -> None:
        """Closes the connection of an attempt before another one is written.

        The request is written to no other endpoint until this one has closed
        the connection, too, or has not done so in time.

        Args:
            attempt: The attempt; its response is no longer expected.
        """
        if attempt.handle is None or attempt.was_reset:
            return
        if attempt.run is not attempt_record.RunState.WRITTEN:
            attempt.handle.abort()
            return
        closed_at = (self._context.clock.monotonic() if attempt.ended_sending_at
                     is None else attempt.ended_sending_at)
        self._closing.add(attempt)
        attempt.handle.close(
            functools.partial(self._handle_close, attempt, closed_at))

    def _handle_close(self, attempt: attempt_record.AttemptRecord,
                      closed_at: datetime.timedelta,
                      is_closed_by_endpoint: bool) -> None:
        if is_closed_by_endpoint:
            attempt.closed_after = self._context.clock.monotonic() - closed_at
            self._record.record_close(attempt)
        self._closing.discard(attempt)
        self._write_held()

    def _write_held(self) -> None:
        """Writes the request that is held back, if no endpoint may run it."""
        held = self._held
        if held is None or self._closing or self._takeover is not None:
            return
        self._held = None
        try:
            self._write(held)
        except Exception as error:  # pylint: disable=broad-exception-caught
            # The code that closes the connection can't answer the caller.
            self._handler.handle_error(error)

    def _write(self, held: attempt_record.AttemptRecord) -> None:
        """Writes a request that was held back, if it may still be sent."""
        if (held is self._current and held.handle is not None and
                self._check_allowed(held)):
            held.run = attempt_record.RunState.WRITTEN
            self.start_stall_timer()
            held.handle.write()

    def send_successor(self) -> bool:
        """Sends the request of the current, silent attempt to another endpoint.

        If no endpoint has room, the request is queued, and the silent attempt
        goes on in the meantime.

        Returns:
            Whether it was sent.
        """
        context, request = self._context, self._request
        silent = self._current
        if silent is None:
            return False
        choice = self._choose_successor()
        if isinstance(choice, placement_limit.PlacementLimit):
            self._record.record_wait(choice)
            self._wait.enter_queue(self._version.software or "", True)
            return False
        self._wait.leave_queue()
        # One more has to be left for a return to this endpoint.
        if choice is None or not self.take_retry(spare=1):
            return False
        now = context.clock.monotonic()
        context.health.record_unreachable(silent.endpoint)
        self._silent = silent
        self.send(choice, now, request.expires_at - now, self._begin_takeover)
        return True

    def send_hedge(self, choice: placement_module.Choice) -> None:
        """Sends the request of the current attempt to a second endpoint, too.

        Args:
            choice: The second endpoint.
        """
        context, first = self._context, self._current
        if first is None:
            return
        now = context.clock.monotonic()
        self._silent = self._hedged = first
        self._hedge_sent_at = now
        self.send(choice, now, self._request.expires_at - now)
        stalls_in = (first.sent_at +
                     stall_timeout.find_stall_timeout(self._request) - now)
        self._takeover_timer = context.scheduler.call_later(
            max(stalls_in, _MIN_HEDGE_TIME), self._check_takeover)

    def find_overlap(self) -> datetime.timedelta:
        """Returns for how long both attempts of a hedged request were open."""
        if self.is_hedged:
            return self._context.clock.monotonic() - self._hedge_sent_at
        return self._overlap

    def keep_only(self, attempt: attempt_record.AttemptRecord) -> None:
        """Aborts the other one of two open attempts, if there are two.

        Args:
            attempt: The attempt whose endpoint sends the response.
        """
        self._wait.leave_queue()
        is_hedged = self.is_hedged
        if attempt is self._current:
            if self._silent is not None:
                self.abort(self._silent,
                           request_record.CANCELLED if is_hedged else "silent")
            return
        successor = self._current
        self._cancel_takeover_timer()
        if self._is_being_replaced(attempt):
            self._finish_takeover()
            self._held = None
        self._silent, self._current, self._hedged = None, attempt, None
        if successor is not None:
            self.abort(
                successor, request_record.CANCELLED
                if is_hedged else "silent endpoint goes on")

    def return_to_silent(self) -> bool:
        """Continues with the silent attempt if its successor has failed.

        During a takeover it ends soon unless its endpoint goes on.

        Returns:
            Whether there is a silent attempt.
        """
        silent, is_hedged = self._silent, self.is_hedged
        if silent is None:
            return self._takeover is not None
        self._cancel_takeover_timer()
        self._current, self._silent, self._hedged = silent, None, None
        if is_hedged:
            self.start_stall_timer(self._context.clock.monotonic() -
                                   silent.sent_at)
        elif not self.send_successor():
            self.start_stall_timer()
        return True

    def pause(self) -> None:
        """Stops reading the responses, also to attempts that are yet to come.

        No attempt counts as stalled in the meantime.
        """
        self._is_paused = True
        self.cancel_stall_timer()
        for attempt in self.list_open():
            if attempt.handle is not None:
                attempt.handle.pause()

    def resume(self) -> None:
        """Reads the responses again."""
        if not self._is_paused:
            return
        self._is_paused = False
        for attempt in self.list_open():
            if attempt.handle is not None:
                attempt.handle.resume()
        if self._current is not None:
            self.start_stall_timer()

    def abort_all(self, reason: str) -> None:
        """Aborts all open attempts.

        Args:
            reason: How they ended, for the log.
        """
        for attempt in self.list_open():
            self.abort(attempt, reason)

    def abort(self, attempt: attempt_record.AttemptRecord, reason: str) -> None:
        """Closes the connection of an open attempt.

        Args:
            attempt: The attempt.
            reason: How it ended, for the log.
        """
        self.end(attempt, reason)
        attempt.was_reset = True
        if attempt.handle is not None:
            attempt.handle.abort()

    def end(self, attempt: attempt_record.AttemptRecord, reason: str) -> None:
        """Releases what an attempt that has ended holds.

        Args:
            attempt: The attempt.
            reason: How it ended, for the log.
        """
        if self.is_hedged:
            self._overlap = self.find_overlap()
        if attempt.run is attempt_record.RunState.CONNECTING:
            attempt.run = attempt_record.RunState.UNSENT
        splitter = self._response.splitter
        if self._request.is_stream and attempt.has_received_data:
            attempt.partial_event_bytes = splitter.rest_size
        if attempt is self._silent:
            self._silent = None
            self._cancel_takeover_timer()
            splitter.drop_rest()
        elif self._is_being_replaced(attempt):
            reason = "silent"
            self._finish_takeover()
            splitter.drop_rest()
            # Whether its connection is closed is not known before the return.
            self._context.scheduler.call_later(datetime.timedelta(),
                                               self._write_held)
        elif attempt is self._current:
            self._current = None
            self.cancel_stall_timer()
            self._wait.leave_queue()
        self._context.loads.subtract(attempt.endpoint, attempt.load)
        self._record.add_attempt(attempt, reason)

    def release_prefill(self, attempt: attempt_record.AttemptRecord) -> None:
        """Subtracts the prefill of an attempt from its endpoint's load."""
        if attempt.load.prefill_tokens:
            done = endpoint_load.EndpointLoad(
                prefill_tokens=attempt.load.prefill_tokens)
            self._context.loads.subtract(attempt.endpoint, done)
            attempt.load = attempt.load - done

    def start_stall_timer(
        self, elapsed: datetime.timedelta = datetime.timedelta()) -> None:
        """Starts the time after which the current attempt counts as stalled.

        Args:
            elapsed: Part of that time that has passed.
        """
        self.cancel_stall_timer()
        if self._is_paused:
            return
        timeout = stall_timeout.find_stall_timeout(self._request)
        self._stall_timer = self._context.scheduler.call_later(
            max(timeout - elapsed, datetime.timedelta()), self._confirm_stall)

    def cancel_stall_timer(self) -> None:
        """Cancels the stall timeout, if it is running."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _confirm_stall(self) -> None:
        """Lets data be read that has arrived before the attempt stalls.

        Timers run before sockets are read. If the VM was busy or suspended, the
        data of sound endpoints is still waiting.
        """
        self._stall_timer = self._context.scheduler.call_later(
            datetime.timedelta(), self._handle_stall)

    def _handle_stall(self) -> None:
        self._stall_timer = None
        attempt = self._current
        if attempt is None:
            return
        if self.is_hedged:
            self._begin_takeover()
        self._mark_stalled(attempt)
        self._version.record_break()
        if (self._request.retry_policy.allows_rerun and
                not self.send_successor()):
            self.start_stall_timer()

    def _mark_stalled(self, attempt: attempt_record.AttemptRecord) -> None:
        """Records a failure of a stalled endpoint and releases the prefill.

        Failure: an endpoint never responds to some of its requests. Their
        prompts would count as waiting there until the callers disconnect, and
        keep other requests away from an engine that has free capacity.
        """
        if not attempt.is_stalled:
            attempt.is_stalled = True
            self._context.health.record_failure(attempt.endpoint)
            self.release_prefill(attempt)

    def _choose_successor(
        self
    ) -> placement_module.Choice | placement_limit.PlacementLimit | None:
        """Returns where to continue a silent attempt; None if nowhere.

        An endpoint that is avoided after a failed connection, or has just
        turned a request away, is worse than a silent one.
        """
        context, request = self._context, self._request
        if (not self.may_run_again() or
                request.expires_at <= context.clock.monotonic() or
                not self._is_allowed()):
            return None
        usable = context.directory.list_usable(request.service)
        excluded = self._version.find_excluded(usable, self._tried)
        if len(excluded) == len(usable):
            return (placement_limit.PlacementLimit.REGISTRATIONS if
                    self._version.request_proof(usable, self._tried) else None)
        full = {
            each.name
            for each in usable
            if context.health.has_refused(each.name)
        }
        choice = context.placement.choose(request, usable, excluded | full)
        if (isinstance(choice, placement_module.Choice) and
                context.health.is_avoided(choice.endpoint.name)):
            return placement_limit.PlacementLimit.NO_ENDPOINT
        return choice

    def _check_takeover(self) -> None:
        """Ends the takeover if the successor has a connection.

        Data that has arrived is read before, as in `_confirm_stall`.
        """
        successor = self._current
        is_connected = (successor is None or successor.handle is None or
                        successor.handle.is_connected)
        self._takeover_timer = self._context.scheduler.call_later(
            datetime.timedelta()
            if is_connected else _CONNECTION_CHECK_INTERVAL,
            self._begin_takeover if is_connected else self._check_takeover)

    def _begin_takeover(self) -> None:
        """Aborts a silent attempt that is hedged; takes any other one over."""
        silent = self._silent
        if silent is None:
            return
        if self.is_hedged:
            self._mark_stalled(silent)
            self._context.health.record_unreachable(silent.endpoint)
            self.abort(silent, "silent")
            return
        self._silent = None
        self._takeover = takeover_module.Takeover(silent, self._context,
                                                  self._handle_takeover_timeout)
        self._takeover.start()

    def _handle_takeover_timeout(self) -> None:
        if self._takeover is None:
            return
        attempt = self._takeover.attempt
        if self._current is not None:
            self.abort(attempt, "silent")
            return
        attempt.was_reset = True
        if attempt.handle is not None:
            attempt.handle.abort()
        self._handler.receive_failure(attempt, True, "silent")

    def _finish_takeover(self) -> None:
        if self._takeover is not None:
            self._takeover.cancel()
            self._takeover = None

    def _cancel_takeover_timer(self) -> None:
        if self._takeover_timer is not None:
            self._takeover_timer.cancel()
            self._takeover_timer = None
