"""Hedging of a request whose endpoint is slow."""

import datetime

from mustardwood import hedging as hedging_module
from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import crash_attribution
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_notices
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import placement as placement_module
from mustardwood.dispatch import request_record
from mustardwood.dispatch import service_request
from mustardwood.forwarding import attempts as attempts_module

_MAX_FAILURE_RATE = 0.1
"""Failure rate of an endpoint from which it gets no hedged requests.

One failure of a sound endpoint counts for about four seconds.
"""


class HedgeWatch:
    """Sends a request to a second endpoint while the first one is slow.

    It gathers what is known, asks `hedging.decide_hedge`, and carries out the
    decision. A request is hedged at most once. Nothing happens while hedging is
    off.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 context: forwarding_context.ForwardingContext,
                 attempts: attempts_module.Attempts,
                 attribution: crash_attribution.CrashAttribution,
                 record: request_record.RequestRecord,
                 is_allowed: attempts_module.Check) -> None:
        """Creates a watch that is not started.

        Args:
            request: The request.
            context: Objects that all requests share.
            attempts: Its open attempts.
            attribution: Tells whether it is suspected of crashing endpoints.
            record: Log line of the request.
            is_allowed: Returns whether the request may still be sent.
        """
        self._request = request
        self._context = context
        self._attempts = attempts
        self._attribution = attribution
        self._record = record
        self._is_allowed = is_allowed
        self._hedging = (context.hedging if context.hedging is not None and
                         context.hedging.is_enabled else None)
        self._timer: forwarding_context.Timer | None = None
        self._first: attempt_record.AttemptRecord | None = None
        self._hedge: attempt_record.AttemptRecord | None = None
        self._refusal: hedging_module.HedgeReason | None = None

    def record_arrival(self) -> None:
        """Adds the request to the budget of its service."""
        if self._hedging is not None:
            self._hedging.record_request(self._request.service)

    def start(self) -> None:
        """Starts to watch the current attempt, which has just been sent."""
        hedging, first = self._hedging, self._attempts.current
        if hedging is None or first is None or self._hedge is not None:
            return
        self._cancel_timer()
        self._first = first
        if not self._is_repeatable(first):
            return
        delay = hedging.find_delay(self._request.route)
        if delay is None:
            self._refusal = hedging_module.HedgeReason.UNKNOWN_TIMES
        else:
            self._schedule(delay)

    def record_data(self, attempt: attempt_record.AttemptRecord) -> None:
        """Records data, or the end, of a successful response.

        It must be called before the other attempt is cancelled.

        Args:
            attempt: The attempt whose endpoint sent it.
        """
        hedging, route = self._hedging, self._request.route
        if hedging is None or attempt.has_received_data:
            return
        self._cancel_timer()
        now = self._context.clock.monotonic()
        hedging.record_first_byte(route, now - attempt.sent_at)
        first, hedge = self._first, self._hedge
        if hedge is None or first is None:
            return
        if attempt is hedge and self._attempts.is_open(first):
            hedging.record_first_byte(route, now - first.sent_at)
            # Failure: an endpoint stalls, and its attempts are cancelled before
            # the stall timeout, so that it seems to be idle and sound.
            self._context.health.record_failure(first.endpoint)
        self._record_result(attempt is hedge)

    def finish(self) -> None:
        """Ends the watch at the end of the request."""
        self._cancel_timer()
        if self._hedging is None:
            return
        if self._hedge is not None:
            self._record_result(False)
        elif self._refusal is not None:
            self._hedging.record_refusal(self._request.service, self._refusal)

    def _schedule(self, due_after: datetime.timedelta) -> None:
        first = self._first
        if first is not None:
            delay = first.sent_at + due_after - self._context.clock.monotonic()
            self._timer = self._context.scheduler.call_later(
                max(delay, datetime.timedelta()), self._confirm)

    def _confirm(self) -> None:
        """Lets data be read that has arrived before the request is hedged.

        Timers run before sockets are read. After a suspension of the VM, all
        of its open requests would be hedged at the same time.
        """
        self._timer = self._context.scheduler.call_later(
            datetime.timedelta(), self._consider)

    def _consider(self) -> None:
        """Decides whether to hedge the request, and does it if so."""
        self._timer = None
        hedging, first = self._hedging, self._first
        if hedging is None or first is None:
            return
        choice = self._choose_second(first)
        decision = hedging_module.decide_hedge(
            self._describe(hedging, first, choice))
        self._refusal = decision.reason
        if decision.verdict is hedging_module.HedgeVerdict.LATER:
            self._schedule(decision.due_after)
        if (decision.verdict is not hedging_module.HedgeVerdict.NOW or
                choice is None):
            return
        if not hedging.take(self._request.service):
            self._refusal = hedging_module.HedgeReason.BUDGET
            self._schedule(
                self._find_waited(first) + hedging_module.RECHECK_INTERVAL)
            return
        self._send(first, choice)

    def _send(self, first: attempt_record.AttemptRecord,
              choice: placement_module.Choice) -> None:
        self._attempts.send_hedge(choice)
        self._hedge = self._attempts.current
        self._record.record_hedge(reason=str(hedging_module.HedgeReason.SLOW),
                                  first=first.endpoint,
                                  second=choice.endpoint.name,
                                  after_ms=_to_ms(self._find_waited(first)),
                                  prefill_tokens=choice.load.prefill_tokens,
                                  won=False)

    def _record_result(self, is_won: bool) -> None:
        hedging, hedge = self._hedging, self._hedge
        if hedging is None or hedge is None:
            return
        # Nothing more is recorded of this request.
        self._hedge, self._first, self._refusal = None, None, None
        wasted = self._attempts.find_overlap()
        hedging.record_result(is_won, wasted)
        self._record.record_hedge(won=is_won, wasted_ms=_to_ms(wasted))

    def _describe(
            self, hedging: hedging_module.Hedging,
            first: attempt_record.AttemptRecord,
            choice: placement_module.Choice | None) -> hedging_module.HedgeCase:
        """Returns what is known of the request and its endpoints."""
        context, request = self._context, self._request
        return hedging_module.HedgeCase(
            is_repeatable=self._is_repeatable(first),
            is_suspected=self._attribution.is_suspected,
            is_tier_refused=context.admission.is_refusing(request),
            has_more_urgent=context.queue.has_more_urgent(request),
            waited=self._find_waited(first),
            delay=hedging.find_delay(request.route),
            free_slot_share=self._find_free_slot_share(),
            first_time=self._estimate_time(hedging, first.choice),
            second_time=(None if choice is None else self._estimate_time(
                hedging, choice)),
            prefill_tokens=0 if choice is None else choice.load.prefill_tokens,
            has_budget=hedging.has_budget(request.service))

    def _is_repeatable(self, first: attempt_record.AttemptRecord) -> bool:
        """Returns whether another endpoint may run the request beside it.

        A stream that its caller resumes, or that has begun, is past its first
        event. A stalled attempt is taken over instead.
        """
        attempts = self._attempts
        return (attempts.current is first and not attempts.has_silent and
                not first.has_received_data and not first.is_stalled and
                (not first.status or first.is_success) and
                not self._request.is_resumption and
                not attempts.has_begun_response and attempts.may_run_again() and
                self._request.expires_at > self._context.clock.monotonic() and
                self._is_allowed())

    def _choose_second(
            self, first: attempt_record.AttemptRecord
    ) -> placement_module.Choice | None:
        """Returns the best sound second endpoint; None if there is none."""
        if not self._is_repeatable(first):
            return None
        context, request = self._context, self._request
        usable = context.directory.list_usable(request.service)
        excluded = {
            each.name for each in usable if not self._is_sound(each, first)
        }
        if len(excluded) == len(usable):
            return None
        choice = context.placement.choose(request, usable, excluded)
        return choice if isinstance(choice, placement_module.Choice) else None

    def _is_sound(self, endpoint: endpoint_module.Endpoint,
                  first: attempt_record.AttemptRecord) -> bool:
        """Returns whether an endpoint may get the hedged request.

        A placement that a rate limit refuses would keep less urgent requests
        from the endpoint, so endpoints with a limit are left out before it.
        """
        context = self._context
        name = endpoint.name
        if name in self._attempts.tried:
            return False
        if context.health.find_failure_rate(name) >= _MAX_FAILURE_RATE:
            return False
        if (context.notices.has(endpoint.incarnation,
                                endpoint_notices.NoticeKind.PAUSED) or
                context.rate_limits.find_limit(endpoint) is not None):
            return False
        version = first.choice.endpoint.version
        return (not self._request.is_stream or
                (bool(version) and endpoint.version == version))

    def _find_waited(self,
                     first: attempt_record.AttemptRecord) -> datetime.timedelta:
        return self._context.clock.monotonic() - first.sent_at

    def _find_free_slot_share(self) -> float:
        """Returns the free share of the slots of the request's service."""
        context = self._context
        usable = context.directory.list_usable(self._request.service)
        known = context.loads.list_total_loads()
        slots = sum(each.slots for each in usable)
        taken = sum(
            known[each.name].requests for each in usable if each.name in known)
        return (slots - taken) / max(1, slots)

    def _estimate_time(self, hedging: hedging_module.Hedging,
                       choice: placement_module.Choice) -> datetime.timedelta:
        """Returns the expected time to the first byte at an endpoint.

        It is the usual one of the route, times the number of requests per slot
        if there are more of them than slots. On an engine, it is at least the
        time of the prefill.
        """
        median = (hedging.find_median(self._request.route) or
                  datetime.timedelta())
        requests = choice.known_load.requests + 1
        return max(median * max(1.0, requests / max(1, choice.endpoint.slots)),
                   self._context.placement.estimate_prefill_time(choice))

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _to_ms(span: datetime.timedelta) -> int:
    return round(span / datetime.timedelta(milliseconds=1))
