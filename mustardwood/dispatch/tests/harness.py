"""Fake surroundings for tests of `Forwarding`, with virtual time."""

import collections.abc
import datetime
import heapq
import itertools
import random
import typing

from mustardwood import dispatch
from mustardwood import profiles
from mustardwood import timing
from mustardwood.profiles import response_observer


def ms(count):
    """Returns a number of milliseconds as a `timedelta`."""
    return datetime.timedelta(milliseconds=count)


class FakeScheduler:
    """Runs scheduled calls when the clock is advanced past their time."""

    def __init__(self, clock):
        self.clock = clock
        self._calls = []
        self._numbers = itertools.count()

    def call_later(self, delay, function):
        """See `forwarding_context.Scheduler`."""
        call = _Call(function)
        heapq.heappush(
            self._calls,
            (self.clock.monotonic() + delay, next(self._numbers), call))
        return call

    def advance(self, span):
        """Advances the clock and runs the calls that become due, in order."""
        until = self.clock.monotonic() + span
        while self._calls and self._calls[0][0] <= until:
            due, _, call = heapq.heappop(self._calls)
            self.clock.advance(max(due - self.clock.monotonic(), ms(0)))
            if not call.is_cancelled:
                call.function()
        self.clock.advance(until - self.clock.monotonic())


class _Call:

    def __init__(self, function: collections.abc.Callable[[], None]):
        self.function = function
        self.is_cancelled = False

    def cancel(self):
        """Cancels the call."""
        self.is_cancelled = True


class FakeAttempt:
    """An attempt for which the test provides the response."""

    def __init__(self, request, endpoint, time_left, resume_after, listener,
                 before_write):
        self.request = request
        self.endpoint = endpoint
        self.time_left = time_left
        self.resume_after = resume_after
        self.listener = listener
        self.is_aborted = False
        self.is_connected = False
        self.is_response_invalid = False
        self.on_abort = lambda: None
        self._before_write = before_write
        self.is_close_delimited = False
        self.connection_number = 0
        self.discarded_responses = 0
        self.is_paused = False
        self.is_written = False
        self.closes_late = False
        self.has_ended_sending = False
        self.on_closed = None

    def connect(self):
        """Opens the connection, on which the request is written."""
        is_held = self._before_write()
        self.is_connected = True
        self.is_written = not (is_held or self.is_aborted)

    def write(self):
        """Records that the request, which was held back, was written."""
        assert not self.is_aborted and not self.is_written
        self.is_written = True

    def abort(self):
        """Records that the attempt was aborted."""
        self.is_aborted = True
        self.on_abort()

    def end_sending(self):
        """Ends sending, by which the endpoint closes unless it is late."""
        self.has_ended_sending = True
        if not self.closes_late:
            self.close_by_endpoint()

    def close_by_endpoint(self):
        """Delivers the close of the connection by the endpoint."""
        self.closes_late = False
        self.listener.receive_failure(True, "connection closed")

    def close(self, on_closed):
        """Closes the connection, as the endpoint does unless it is late."""
        self.abort()
        self.on_closed = on_closed
        if not self.closes_late:
            on_closed(True)

    def pause(self):
        """Records that the response is not read for now."""
        self.is_paused = True

    def resume(self):
        """Records that the response is read again."""
        self.is_paused = False

    def respond(self,
                status=200,
                body=b"",
                verified=True,
                not_run=False,
                **statements):
        """Delivers a complete response."""
        self.begin(status, verified, not_run, **statements)
        if body:
            self.listener.receive_data(body)
        self.listener.receive_end()

    def begin(self,
              status=200,
              verified=True,
              not_run=False,
              rate=dispatch.RateStatement(),
              leaving=False,
              pause=None,
              max_refusals=None):
        """Delivers the head of a response."""
        self.listener.receive_head(
            status, [(b"X-From", b"endpoint")], verified, not_run,
            dispatch.EndpointStatements(rate, leaving,
                                        dispatch.PauseStatement(pause),
                                        max_refusals))


class FakeClient:
    """Records the attempts to send a request.

    Attributes:
        sent: The attempts.
        is_connected: Whether new attempts have a connection.
        unconnected: Names of endpoints without an older connection.
    """

    def __init__(self):
        self.sent = []
        self.is_connected = True
        self.unconnected = set()

    def is_connected_since(self, endpoint, time):
        """Returns whether an older connection is open."""
        del time
        return endpoint.name not in self.unconnected

    def send(self, request, endpoint, time_left, resume_after, listener,
             before_write):
        """Records an attempt."""
        attempt = FakeAttempt(request, endpoint, time_left, resume_after,
                              listener, before_write)
        self.sent.append(attempt)
        if self.is_connected:
            attempt.connect()
        return attempt


class FakeCaller:
    """Records the response that the caller receives."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.end = ""
        self.refusal = None

    def begin(self, status, headers, length):
        """Records the head."""
        del headers, length
        assert self.status is None, "two heads"
        self.status = status

    def write(self, data):
        """Records a part of the body."""
        assert not self.end
        self.body += data

    def finish(self):
        """Records the end of a complete response."""
        assert not self.end
        self.end = "complete"

    def abort(self):
        """Records that the response was aborted."""
        assert not self.end
        self.end = "broken"

    def refuse(self, response):
        """Records an error response of the router."""
        assert self.status is None and not self.end
        self.status = int(response.status)
        self.refusal = response
        self.end = "complete"


class FakeAuthorizer:
    """Allows every request unless the test sets a denial."""

    def __init__(self):
        self.denial = None

    def find_denial(self, request):
        """Returns the denial that the test set."""
        del request
        return self.denial

    def describe(self):
        """Returns fixed log fields."""
        return {"version": 7, "proof_age_ms": 100}


class FakeJournal:
    """Records the log lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        """Records a log line."""
        self.lines.append((event, fields))


class FakeMetrics:
    """Records what is counted."""

    def __init__(self):
        self.requests = []
        self.attempts = []

    def count_request(self, tier, outcome, status, took, first_byte):
        """Records the outcome and the status of a request."""
        del tier, took, first_byte
        self.requests.append((outcome, status))

    def count_attempt(self, service, end):
        """Records the end of an attempt."""
        del service
        self.attempts.append(end)


class FakeJournalStore:
    """Records the writes of a `StreamJournal`; the test ends them.

    Attributes:
        histories: Pairs of a value and the function that ends its write.
        streams: The same of this VM's streams.
    """

    def __init__(self):
        self.histories = []
        self.streams = []

    def write_history(self, value, on_end):
        """Records a write of the history."""
        self.histories.append((value, on_end))

    def write_streams(self, value, on_end):
        """Records a write of streams."""
        self.streams.append((value, on_end))


class FakeRegistrationReader:
    """Shows the registrations as the directory has them.

    Attributes:
        is_available: Whether the store answers.
        on_read: Called before the answer, to change the registrations.
        reads: Number of reads.
    """

    def __init__(self, directory, clock):
        self._directory = directory
        self._clock = clock
        self.is_available = True
        self.on_read = lambda: None
        self.reads = 0

    def request_read(self):
        """Records a listing at once."""
        self.reads += 1
        if self.is_available:
            self.on_read()
            self._directory.record_listing(self._clock.monotonic())


class Harness:
    """A `ForwardingContext` with fakes, whose parts tests can access."""

    def __init__(self,
                 endpoints=3,
                 retry_burst=100.0,
                 memory_tokens=0,
                 slots=64):
        self.clock = timing.ManualClock()
        self.scheduler = FakeScheduler(self.clock)
        self.client = FakeClient()
        self.authorizer = FakeAuthorizer()
        self.journal = FakeJournal()
        self.queue = dispatch.PlacementQueue(self.clock, self.scheduler)
        self.metrics = FakeMetrics()
        self.notices = dispatch.EndpointNotices("vm-1", self.clock)
        self.directory = dispatch.EndpointDirectory(self.clock, self.notices)
        self.loads = dispatch.LoadTable(self.clock)
        self.health = dispatch.EndpointHealth(self.clock)
        self.prefix_caches = dispatch.PrefixCacheIndex(self.clock)
        self.crashes = dispatch.CrashRecord(self.clock)
        self.part_crashes = dispatch.PromptPartCrashes(self.clock,
                                                       random.Random(4))
        self.streams = dispatch.StreamVersionTable(self.clock)
        self.vms = ["vm-1"]
        self.saved = FakeJournalStore()
        self.journal_of_streams = dispatch.StreamJournal(
            "vm-1", self.clock, self.scheduler, self.streams, self.directory,
            lambda: self.vms, self.saved, self.journal, False)
        self.rate_limits = dispatch.EndpointRateLimits("vm-1", self.clock,
                                                       lambda: self.vms)
        self.profiles = profiles.EngineProfiles(self.clock)
        self.admission = dispatch.TierAdmission(self.clock, self.loads,
                                                self.rate_limits,
                                                dispatch.PlacementSettings(),
                                                self.profiles)
        self.pauses = dispatch.EndpointPauses(self.clock, random.Random(5),
                                              self.notices)
        self.vm_count = 1
        self.brittleness = dispatch.EndpointBrittleness(self.clock, self.pauses,
                                                        lambda: self.vm_count,
                                                        random.Random(6))
        self.settings = dispatch.PlacementSettings()
        self.parameters = dispatch.ServiceParameters("engine", memory_tokens, 6)
        self.placement = dispatch.Placement("zone-a", self.clock, self.loads,
                                            self.health, self.prefix_caches,
                                            self.rate_limits, self.pauses,
                                            self.settings,
                                            lambda name: self.parameters,
                                            random.Random(3), self.profiles,
                                            self.brittleness)
        self.process_exit = dispatch.ProcessExit()
        self.registrations = FakeRegistrationReader(self.directory, self.clock)
        self.context = dispatch.ForwardingContext(
            clock=self.clock,
            scheduler=self.scheduler,
            client=self.client,
            authorizer=self.authorizer,
            directory=self.directory,
            notices=self.notices,
            loads=self.loads,
            health=self.health,
            prefix_caches=self.prefix_caches,
            crashes=self.crashes,
            part_crashes=self.part_crashes,
            rate_limits=self.rate_limits,
            pauses=self.pauses,
            brittleness=self.brittleness,
            admission=self.admission,
            placement=self.placement,
            retry_budgets=dispatch.ServiceRetryBudgets(random.Random(1), 0.2,
                                                       retry_burst, lambda: 1),
            retry_after=dispatch.RetryAfterPolicy(random.Random(2)),
            queue=self.queue,
            journal=self.journal,
            metrics=self.metrics,
            streams=self.streams,
            version_record=self.journal_of_streams,
            registrations=self.registrations,
            observer=response_observer.ResponseObserver(
                self.profiles, self.clock, self.loads, self.health,
                self.rate_limits, lambda name: self.parameters),
            process_exit=self.process_exit)
        for index in range(endpoints):
            self.directory.set_endpoint(make_endpoint(index, slots))
        self.directory.record_listing(self.clock.monotonic())

    def list_usable(self):
        """Returns the endpoints that accept requests."""
        return self.directory.list_usable("engine")

    def start(self, request=None):
        """Starts forwarding a request, by default one from `make_request`.

        Returns:
            The `Forwarding` and the caller.
        """
        caller = FakeCaller()
        forwarding = dispatch.Forwarding(
            make_request(self) if request is None else request, caller,
            self.context)
        forwarding.start()
        return forwarding, caller


def make_endpoint(index, slots=64, **changes) -> dispatch.Endpoint:
    """Returns an endpoint of the service named engine."""
    fields: dict[str, typing.Any] = {
        "name": f"endpoint-{index}",
        "service": "engine",
        "host": "192.0.2.1",
        "port": 8000 + index,
        "zone": "zone-a",
        "slots": slots,
        "version": "v1",
    }
    return dispatch.Endpoint(**{**fields, **changes})


def make_request(harness, **changes) -> dispatch.ServiceRequest:
    """Returns an idempotent request for a plain service that arrives now."""
    now = harness.clock.monotonic()
    fields: dict[str, typing.Any] = {
        "request_id": f"id-{len(harness.client.sent)}",
        "route": "route",
        "service": "engine",
        "organisation": "organisation",
        "api_key": "key",
        "tier": 1,
        "tier_count": 3,
        "first_byte_target": ms(200),
        "inter_event_target": ms(0),
        "arrived_at": now,
        "expires_at": now + ms(10_000),
        "retry_policy": dispatch.RetryPolicy.IDEMPOTENT,
        "max_runs": 2,
    }
    return dispatch.ServiceRequest(**{**fields, **changes})


def make_stream_request(harness, **changes) -> dispatch.ServiceRequest:
    """Returns a resumable interactive stream with a short prompt."""
    fields: dict[str, typing.Any] = {
        "is_stream": True,
        "retry_policy": dispatch.RetryPolicy.RESUMABLE,
        "first_byte_target": ms(300),
        "inter_event_target": ms(250),
        "prompt": make_prompt("subject", 800, 200),
    }
    return make_request(harness, **{**fields, **changes})


def make_long_request(harness, prefix_key="subject", tokens=12_000, **changes):
    """Returns a stream with a long prompt, which may run only once."""
    fields: dict[str, typing.Any] = {
        "is_stream": True,
        "retry_policy": dispatch.RetryPolicy.AT_MOST_ONCE,
        "tier": 2,
        "first_byte_target": ms(2500),
        "inter_event_target": ms(1000),
        "prompt": make_prompt(prefix_key, tokens, 5_000),
    }
    return make_request(harness, **{**fields, **changes})


def make_prompt(prefix_key, tokens, shared) -> dispatch.Prompt:
    """Returns a prompt with one shared part.

    The whole prompt has `tokens` tokens, and the shared part has `shared`.
    """
    return dispatch.Prompt((dispatch.PromptPart(
        prefix_key, shared), dispatch.PromptPart("own", tokens - shared)),
                           tokens, 400)
