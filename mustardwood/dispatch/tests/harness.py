"""Fakes around the decisions, in virtual time."""

import collections.abc
import datetime
import heapq
import itertools
import random
import typing

from mustardwood import dispatch
from mustardwood import timing


def ms(count):
    """Returns milliseconds as a time span."""
    return datetime.timedelta(milliseconds=count)


class FakeScheduler:
    """Makes calls when the clock is moved past them."""

    def __init__(self, clock):
        self.clock = clock
        self._calls = []
        self._numbers = itertools.count()

    def call_later(self, delay, function):
        """Puts a call off."""
        call = _Call(function)
        heapq.heappush(
            self._calls,
            (self.clock.monotonic() + delay, next(self._numbers), call))
        return call

    def advance(self, span):
        """Moves the clock, and makes the calls that fall due in order."""
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
        """Cancels it."""
        self.is_cancelled = True


class FakeAttempt:
    """A send that the test answers."""

    def __init__(self, request, endpoint, left, resume_after, listener):
        self.request = request
        self.endpoint = endpoint
        self.left = left
        self.resume_after = resume_after
        self.listener = listener
        self.is_aborted = False

    def abort(self):
        """Closes the connection."""
        self.is_aborted = True

    def answer(self, status=200, body=b"", verified=True, not_run=False):
        """Sends a whole answer."""
        self.begin(status, verified, not_run)
        if body:
            self.listener.receive_data(body)
        self.listener.receive_end()

    def begin(self, status=200, verified=True, not_run=False):
        """Sends a head."""
        self.listener.receive_head(status, [(b"X-From", b"endpoint")], verified,
                                   not_run)


class FakeClient:
    """Records what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, request, endpoint, left, resume_after, listener):
        """Records a send."""
        attempt = FakeAttempt(request, endpoint, left, resume_after, listener)
        self.sent.append(attempt)
        return attempt


class FakeCaller:
    """Records the answer."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.end = ""
        self.refusal = None

    def begin(self, status, headers, length):
        """Takes the head."""
        del headers, length
        assert self.status is None, "two heads"
        self.status = status

    def write(self, data):
        """Takes a part of the body."""
        assert not self.end
        self.body += data

    def finish(self):
        """Ends the answer as complete."""
        assert not self.end
        self.end = "complete"

    def abort(self):
        """Breaks the answer off."""
        assert not self.end
        self.end = "broken"

    def refuse(self, answer):
        """Takes an answer of the router's own."""
        assert self.status is None and not self.end
        self.status = int(answer.status)
        self.refusal = answer
        self.end = "complete"


class FakeAuthorizer:
    """Allows everything until told otherwise."""

    def __init__(self):
        self.denial = None

    def find_denial(self, request):
        """Returns the objection that was set."""
        del request
        return self.denial

    def describe(self):
        """Returns the version that a real one would name."""
        return {"version": 7, "proof_age_ms": 100}


class FakeJournal:
    """Keeps the lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        """Keeps a line."""
        self.lines.append((event, fields))


class FakeMetrics:
    """Keeps the counts."""

    def __init__(self):
        self.requests = []
        self.attempts = []

    def count_request(self, tier, outcome, status, took, first_byte):
        """Keeps a request."""
        del tier, took, first_byte
        self.requests.append((outcome, status))

    def count_attempt(self, service, end):
        """Keeps an attempt."""
        del service
        self.attempts.append(end)


class Harness:
    """A context whose parts the test can reach."""

    def __init__(self,
                 endpoints=3,
                 spare_retries=100.0,
                 memory_tokens=0,
                 slots=64):
        self.clock = timing.ManualClock()
        self.scheduler = FakeScheduler(self.clock)
        self.client = FakeClient()
        self.authorizer = FakeAuthorizer()
        self.journal = FakeJournal()
        self.queue = dispatch.PlacementQueue(self.clock, self.scheduler)
        self.metrics = FakeMetrics()
        self.directory = dispatch.EndpointDirectory(self.clock)
        self.loads = dispatch.LoadTable(self.clock)
        self.health = dispatch.EndpointHealth(self.clock)
        self.prefix_caches = dispatch.PrefixCacheIndex(self.clock)
        self.crashes = dispatch.CrashRecord(self.clock)
        self.settings = dispatch.PlacementSettings()
        self.placement = dispatch.Placement(
            "zone-a", self.clock, self.loads, self.health, self.prefix_caches,
            self.settings,
            lambda name: dispatch.ServiceParameters(name, memory_tokens, 6),
            random.Random(3))
        self.context = dispatch.ForwardingContext(
            clock=self.clock,
            scheduler=self.scheduler,
            client=self.client,
            authorizer=self.authorizer,
            directory=self.directory,
            loads=self.loads,
            health=self.health,
            prefix_caches=self.prefix_caches,
            crashes=self.crashes,
            placement=self.placement,
            retry_budgets=dispatch.ServiceRetryBudgets(random.Random(1), 0.2,
                                                       spare_retries,
                                                       lambda: 1),
            retry_after=dispatch.RetryAfterPolicy(random.Random(2)),
            queue=self.queue,
            journal=self.journal,
            metrics=self.metrics)
        for index in range(endpoints):
            self.directory.set_endpoint(make_endpoint(index, slots))

    def usable(self):
        """Returns the endpoints."""
        return self.directory.list_usable("engine")

    def start(self, request=None):
        """Starts a request; returns its forwarding and its caller."""
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
    }
    return dispatch.Endpoint(**{**fields, **changes})


def make_request(harness, **changes) -> dispatch.ServiceRequest:
    """Returns an idempotent plain request that arrives now."""
    now = harness.clock.monotonic()
    fields: dict[str, typing.Any] = {
        "request_id": f"id-{len(harness.client.sent)}",
        "route": "route",
        "service": "engine",
        "organisation": "organisation",
        "api_key": "key",
        "tier": 1,
        "first_byte_target": ms(200),
        "inter_event_target": ms(0),
        "arrived_at": now,
        "expires_at": now + ms(10_000),
        "retry_policy": dispatch.RetryPolicy.IDEMPOTENT,
        "max_runs": 2,
    }
    return dispatch.ServiceRequest(**{**fields, **changes})


def make_stream_request(harness, **changes) -> dispatch.ServiceRequest:
    """Returns a resumable stream with a short prompt."""
    fields: dict[str, typing.Any] = {
        "is_stream": True,
        "retry_policy": dispatch.RetryPolicy.RESUMABLE,
        "first_byte_target": ms(300),
        "inter_event_target": ms(250),
        "prompt": make_prompt("subject", 800, 200),
    }
    return make_request(harness, **{**fields, **changes})


def make_long_request(harness, prefix_key="subject", tokens=12_000, **changes):
    """Returns a stream with a long prompt that may run only once."""
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
    """Returns a prompt with one shared part."""
    return dispatch.Prompt((dispatch.PromptPart(
        prefix_key, shared), dispatch.PromptPart("own", tokens - shared)),
                           tokens, 400)
