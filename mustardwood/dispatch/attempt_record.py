"""State of one attempt to send a request to an endpoint."""

import datetime
import enum

from mustardwood import profiles
from mustardwood.dispatch import endpoint_load
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import placement as placement_module


class RunState(enum.Enum):
    """What is known of the run of a request at the endpoint of an attempt."""

    CONNECTING = "connecting"
    """No byte of the request was written."""
    WRITTEN = "written"
    """The endpoint may run the request, or has run it."""
    UNSENT = "unsent"
    """The attempt ended before a byte was written."""
    NOT_RUN = "not run"
    """The endpoint has stated in a complete response that it has not run it."""


class AttemptRecord:
    """State of one attempt, which `Forwarding` updates.

    Attributes:
        run: What is known of the run at its endpoint.
        closed_after: Time from the close of its connection by the router to
            the close by the endpoint; None if neither, or if the endpoint did
            not close it in time.
        choice: The endpoint that it was sent to, with the reasons.
        sent_at: Monotonic time at which it was sent.
        load: The load that it still adds to the load table.
        status: HTTP status of the response; 0 before the response's head.
        headers: Headers of the response.
        is_verified: Whether the response carries the endpoint's signature.
        was_not_run: Whether the endpoint states that it did not run the
            request.
        is_stalled: Whether the endpoint exceeded the stall timeout.
        body: Buffered body of a response that is not sent on immediately.
        first_data_at: Monotonic time at which the first part of the body of
            its successful response arrived; None before that.
        has_survived: Whether its endpoint has written for so long that the
            request does not crash it.
        was_cut_off: Whether the router has closed its connection, or the
            sending direction.
        was_reset: Whether the router has reset its connection.
        ended_sending_at: Monotonic time at which the sending direction of its
            connection was closed, with which a takeover begins; None before.
        counts_as_crash: Whether its endpoint may have crashed under the
            request.
        has_sent_events: Whether the caller got events of its stream.
        event_count: Number of them.
        partial_event_bytes: Number of bytes after the last complete event at
            the end of its stream.
        is_truncated: Whether the body exceeded the buffer and is incomplete.
        error_bytes: Number of bytes received of the body of a response that is
            no success.
        timing: Measures its events.
        handle: Aborts the attempt; None before it was sent.
    """

    def __init__(self, choice: placement_module.Choice,
                 sent_at: datetime.timedelta) -> None:
        self.run = RunState.CONNECTING
        self.closed_after: datetime.timedelta | None = None
        self.choice = choice
        self.sent_at = sent_at
        self.load: endpoint_load.EndpointLoad = choice.load
        self.status = 0
        self.headers: forwarding_context.Headers = ()
        self.is_verified = False
        self.was_not_run = False
        self.is_stalled = False
        self.body = bytearray()
        self.first_data_at: datetime.timedelta | None = None
        self.has_survived = False
        self.was_cut_off = False
        self.was_reset = False
        self.ended_sending_at: datetime.timedelta | None = None
        self.counts_as_crash = False
        self.has_sent_events = False
        self.event_count = 0
        self.partial_event_bytes = 0
        self.is_truncated = False
        self.error_bytes = 0
        self.timing = profiles.ResponseTiming(
            profiles.ProfiledEngine(choice.endpoint.service,
                                    choice.endpoint.incarnation,
                                    choice.endpoint.version), sent_at,
            choice.known_load.build_state(choice.endpoint.slots))
        self.handle: forwarding_context.Attempt | None = None

    @property
    def endpoint(self) -> str:
        """Name of the endpoint."""
        return self.choice.endpoint.name

    @property
    def incarnation(self) -> str:
        """Name of the endpoint with the time of its last start."""
        return self.choice.endpoint.incarnation

    @property
    def has_received_data(self) -> bool:
        """Whether a part of the body of a successful response has arrived."""
        return self.first_data_at is not None

    @property
    def is_close_delimited(self) -> bool:
        """Whether the response ends with its connection."""
        return self.handle is not None and self.handle.is_close_delimited

    @property
    def connection_number(self) -> int:
        """Number of its connection, for the log; 0 if it had none."""
        return 0 if self.handle is None else self.handle.connection_number

    @property
    def discarded_responses(self) -> int:
        """Number of responses to other requests that came before its own."""
        return 0 if self.handle is None else self.handle.discarded_responses

    @property
    def is_success(self) -> bool:
        """Whether the head is that of a verified successful response."""
        return 200 <= self.status < 300 and self.is_verified
