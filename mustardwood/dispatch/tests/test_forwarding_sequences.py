"""Random sequences of events around `Forwarding`, checked for invariants."""

import random

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

_SEEDS = range(300)
_STEPS = 60
"""Maximum number of random events; most requests end earlier."""
_EVENTS = 5
"""Number of events in a whole stream."""
_FULL = dispatch.EndpointLoad(requests=200)
"""Load that leaves no room at an endpoint."""


def _make_event(number):
    return b"id: %d\ndata: event %d\n\n" % (number, number)


class _Endpoint:
    """Sends a stream, or an error, in response to one attempt."""

    def __init__(self, attempt, sent_at):
        self.attempt = attempt
        self.sent_at = sent_at
        first = (attempt.resume_after or 0) + 1
        self.rest = b"".join(map(_make_event, range(first, _EVENTS + 1)))
        self.has_begun = False
        self.has_ended = False
        self.may_have_run = True

    @property
    def is_open(self):
        """Whether a response is still expected."""
        return not self.has_ended and not self.attempt.is_aborted

    @property
    def has_dropped(self):
        """Whether it has ended its work on a request that is taken over."""
        return self.attempt.has_ended_sending and not self.attempt.closes_late

    def act(self, rng):
        """Sends the next part of a response, or fails."""
        attempt = self.attempt
        action = rng.random()
        if not attempt.is_written:
            if action < 0.2:
                self.may_have_run = False
                self._end(lambda: attempt.listener.receive_failure(False, "no"))
        elif action < 0.1:
            self._end(attempt.close_by_endpoint)
        elif not self.has_begun and action < 0.2:
            self.may_have_run = False
            self._end(lambda: attempt.listener.receive_failure(False, "no"))
        elif not self.has_begun and action < 0.4:
            status, self.may_have_run = rng.choice([(503, False), (421, False),
                                                    (503, True), (500, True),
                                                    (404, True)])
            self._end(
                lambda: attempt.respond(status, not_run=not self.may_have_run))
        elif not self.has_begun:
            self.has_begun = True
            attempt.begin()
        elif self.rest:
            size = rng.randint(1, len(self.rest))
            data, self.rest = self.rest[:size], self.rest[size:]
            attempt.listener.receive_data(data)
        else:
            self._end(attempt.listener.receive_end)

    def _end(self, report):
        self.has_ended = True
        report()


class _Sequence:
    """A harness with one request, whose surroundings change at random."""

    def __init__(self, seed, make_request):
        self._rng = random.Random(seed)
        self.harness = harness_module.Harness(endpoints=self._rng.randint(1, 5),
                                              retry_burst=self._rng.choice(
                                                  [0, 100]))
        self._filled = {}
        self.endpoints = []
        for index in range(self._rng.randint(0, 4)):
            self._toggle_load(f"endpoint-{index}")
        self.request = make_request(self.harness,
                                    max_runs=self._rng.randint(1, 4))
        self.forwarding, self.caller = self.harness.start(self.request)

    def run(self):
        """Takes random steps, then waits until the deadline has passed."""
        for _ in range(_STEPS):
            self._take_step()
            self._check_attempts()
            if self.forwarding.is_done:
                break
        for name in list(self._filled):
            self._toggle_load(name)
        while not self.forwarding.is_done:
            self.harness.scheduler.advance(harness_module.ms(10))
            self._check_attempts()
        self.harness.scheduler.advance(harness_module.ms(100))
        self._check_attempts()

    def _take_step(self):
        rng, harness = self._rng, self.harness
        action = rng.random()
        opened = [each for each in self.endpoints if each.is_open]
        if action < 0.4 and opened:
            rng.choice(opened).act(rng)
        elif action < 0.8:
            for _ in range(rng.choice([1, 5, 30, 130])):
                harness.scheduler.advance(harness_module.ms(10))
                self._check_attempts()
        elif action < 0.87:
            self._toggle_load(f"endpoint-{rng.randrange(6)}")
        elif action < 0.91:
            harness.authorizer.denial = rng.choice(
                [None, dispatch.Refusal(401, "taken away")])
        elif action < 0.995:
            self._toggle_endpoint(rng.choice([0, 0, 0, 1, 2, 3, 4, 5]))
        elif not self.forwarding.is_done:
            self.forwarding.handle_caller_disconnect()

    def _toggle_load(self, name):
        load = self._filled.pop(name, None)
        if load is None:
            self._filled[name] = _FULL
            self.harness.loads.add(name, _FULL)
        else:
            self.harness.loads.subtract(name, load)

    def _toggle_endpoint(self, index):
        if not index:
            for each in self.harness.list_usable():
                self.harness.directory.remove_endpoint(each.name)
            return
        name, directory = f"endpoint-{index}", self.harness.directory
        if directory.find_endpoint(name) is None:
            directory.set_endpoint(harness_module.make_endpoint(index))
        else:
            directory.remove_endpoint(name)

    def _check_attempts(self):
        now = self.harness.clock.monotonic()
        sent = self.harness.client.sent
        for attempt in sent[len(self.endpoints):]:
            self._check_return(attempt.endpoint.name)
            attempt.closes_late = self._rng.random() < 0.5
            self.endpoints.append(_Endpoint(attempt, now))
            assert attempt.time_left > harness_module.ms(0)
        opened = [each for each in self.endpoints if each.is_open]
        assert len(opened) <= 2
        assert sum(each.attempt.is_written for each in opened) <= 1
        assert self.count_runs() <= self.request.max_runs
        assert len(sent) <= 4
        assert self.caller.body == b"".join(
            map(_make_event, range(1, _EVENTS + 1)))[:len(self.caller.body)]

    def _check_return(self, name):
        """Checks that an endpoint gets the request again only after a drop."""
        for each in self.endpoints:
            if each.attempt.endpoint.name == name:
                assert each.has_dropped and self.caller.status == 200

    def count_runs(self):
        """Returns on how many endpoints the request may have run."""
        return sum(each.may_have_run and each.attempt.is_written
                   for each in self.endpoints)

    def check_end(self):
        """Checks the response to the caller, and that nothing is left over."""
        harness, caller = self.harness, self.caller
        lines = [fields for _, fields in harness.journal.lines]
        assert len(lines) == len(harness.metrics.requests) == 1
        assert self.forwarding.is_done
        assert caller.end or lines[0]["outcome"] == "caller gone"
        if caller.end == "complete" and caller.status == 200:
            assert len(caller.body) == sum(
                len(_make_event(each)) for each in range(1, _EVENTS + 1))
        if caller.refusal and caller.status in (401, 503):
            assert not self.count_runs()
        assert not any(each.is_open for each in self.endpoints)
        assert len(lines[0]["attempts"]) == len(self.endpoints)
        assert not harness.loads.list_own_loads()
        assert len(harness.queue) == 0


def _make_resumable(harness, **changes):
    return harness_module.make_request(
        harness,
        is_stream=True,
        retry_policy=dispatch.RetryPolicy.RESUMABLE,
        **changes)


@pytest.mark.parametrize("make_request", [
    harness_module.make_request, _make_resumable,
    harness_module.make_stream_request, harness_module.make_long_request
])
def test_every_request_ends_once_whatever_its_endpoints_do(make_request):
    """Each failure names the seed, which repeats its sequence."""
    for seed in _SEEDS:
        sequence = _Sequence(seed, make_request)
        try:
            sequence.run()
            sequence.check_end()
        except Exception as error:
            error.add_note(f"seed {seed}")
            raise
