"""Attribution of an engine's crashes to the requests that it ran."""

import datetime

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import crash_record
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import prompt_part_crashes
from mustardwood.dispatch import refusal
from mustardwood.dispatch import router_refusals
from mustardwood.dispatch import service_request

_SURVIVAL_TIME = datetime.timedelta(milliseconds=200)
"""Time after its first data after which a response shows that its parts are
harmless; what crashes an engine does so as it begins to write."""


class CrashAttribution:
    """Records what the attempts of one request tell about its harmfulness.

    A lost connection is blamed on the whole request and on the parts of its
    prompt. A connection may also be lost for another reason; successes of the
    same request, or of others with the same part, clear them.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 context: forwarding_context.ForwardingContext) -> None:
        self._request = request
        self._context = context
        self._fingerprint = crash_record.find_fingerprint(request)
        self._parts = prompt_part_crashes.find_parts(request)

    @property
    def fingerprint(self) -> str:
        """Digest that stays the same when a caller retries the request."""
        return self._fingerprint

    @property
    def is_suspected(self) -> bool:
        """Whether an endpoint crashed under the request or a part of it."""
        return (self._context.crashes.is_suspected(self._fingerprint) or
                self._context.part_crashes.is_suspected(self._parts))

    def find_refusal(self) -> refusal.Refusal | None:
        """Returns the refusal of a request that crashes endpoints, else None.
        """
        if self._context.crashes.is_blocked(self._fingerprint):
            return router_refusals.build_crash_refusal()
        if self._context.part_crashes.find_blocked_part(self._parts):
            return router_refusals.build_crashing_part_refusal()
        return None

    def record_loss(self, attempt: attempt_record.AttemptRecord) -> None:
        """Records that an endpoint has closed or lost its connection."""
        if attempt.was_cut_off or (attempt.handle is not None and
                                   attempt.handle.is_response_invalid):
            return
        attempt.counts_as_crash = True
        self._context.crashes.record_crash(self._fingerprint,
                                           attempt.incarnation)
        has_written = (attempt.has_sent_events if self._request.is_stream else
                       attempt.has_received_data)
        if not has_written and (not attempt.status or attempt.is_success):
            self._context.part_crashes.record_crash(self._parts,
                                                    attempt.incarnation,
                                                    attempt.is_success,
                                                    self._fingerprint)

    def record_data(self, attempt: attempt_record.AttemptRecord) -> None:
        """Records that a part of a successful response has arrived."""
        now = self._context.clock.monotonic()
        if attempt.first_data_at is None:
            attempt.first_data_at = now
        elif (not attempt.has_survived and
              now - attempt.first_data_at >= _SURVIVAL_TIME):
            self._clear_parts(attempt)

    def record_success(self, attempt: attempt_record.AttemptRecord) -> None:
        """Records a complete successful response."""
        self._context.crashes.record_success(self._fingerprint)
        self._clear_parts(attempt)

    def _clear_parts(self, attempt: attempt_record.AttemptRecord) -> None:
        attempt.has_survived = True
        began_at = attempt.first_data_at
        if began_at is not None:
            self._context.part_crashes.record_success(self._parts, began_at)
