"""Tests of the modelled engine with chunked prefill."""

import dataclasses

import pytest

from mustardwood import dispatch
from mustardwood.benchmarks import timeline
from mustardwood.benchmarks.streams import engine_parameters
from mustardwood.benchmarks.streams import run as run_module
from mustardwood.benchmarks.streams import stream_engine
from mustardwood.dispatch.tests import harness as harness_module

_PARAMETERS = engine_parameters.EngineParameters(step_time=0.01,
                                                 stream_step_time=0.0,
                                                 chunk_tokens=100,
                                                 prefill_rate=10_000.0,
                                                 slots=2,
                                                 memory_tokens=2_000,
                                                 event_tokens=2)


class _Listener:

    def __init__(self, clock):
        self.clock = clock
        self.events = []
        self.end = ""

    def receive_head(self, status, headers, is_verified, was_not_run):
        """Checks the head of a response."""
        del headers, is_verified, was_not_run
        assert status == 200

    def receive_data(self, data):
        """Records the time of an event."""
        del data
        self.events.append(self.clock.seconds)

    def receive_end(self):
        """Records the end of a complete response."""
        self.end = "whole"

    def receive_failure(self, was_sent, reason):
        """Records that the connection was lost."""
        assert was_sent and reason
        self.end = "broken"


class _Case:

    def __init__(self, **changes):
        self.clock = timeline.Timeline()
        self.engine = stream_engine.StreamEngine(
            dataclasses.replace(_PARAMETERS, **changes), self.clock)
        self.harness = harness_module.Harness()

    def submit(self, own, output, shared=0, tier=1):
        """Sends a prompt; prompts of the same `shared` size share a prefix."""
        listener = _Listener(self.clock)
        prompt = dispatch.Prompt(
            (dispatch.PromptPart(f"shared-{shared}", shared),
             dispatch.PromptPart(f"own-{own}-{output}-{tier}", own)),
            shared + own, output)
        request = harness_module.make_stream_request(self.harness,
                                                     prompt=prompt,
                                                     tier=tier)
        run = run_module.Run(request, output, listener)
        assert self.engine.submit(run)
        return listener, run


def test_prompt_is_prefilled_in_chunks_before_the_first_token():
    case = _Case()
    listener, _ = case.submit(own=200, output=5)
    case.clock.run_until(1.0)
    # Prefill takes two steps of 20 ms; the first token is sent in its own
    # event.
    assert listener.events == pytest.approx([0.04, 0.05, 0.07, 0.08])
    assert listener.end == "whole"


def test_prefill_of_long_prompt_slows_a_concurrent_stream():
    case = _Case()
    listener, _ = case.submit(own=100, output=20)
    case.clock.run_until(0.025)
    case.submit(own=500, output=1)
    case.clock.run_until(1.0)
    pauses = [
        after - before
        for before, after in zip(listener.events, listener.events[1:])
    ]
    assert max(pauses) == pytest.approx(0.04)
    assert min(pauses) == pytest.approx(0.01)


def test_shared_prefix_is_prefilled_once_until_it_is_evicted():
    case = _Case()
    case.submit(own=100, output=1, shared=600)
    case.clock.run_until(1.0)
    case.submit(own=100, output=2, shared=600)
    case.clock.run_until(2.0)
    assert case.engine.prefilled_tokens == 700 + 100
    case.submit(own=1_900, output=1)
    case.clock.run_until(3.0)
    case.submit(own=100, output=3, shared=600)
    case.clock.run_until(4.0)
    assert case.engine.prefilled_tokens == 700 + 100 + 1_900 + 700


def test_more_urgent_request_gets_the_next_slot():
    case = _Case()
    case.submit(own=100, output=10)
    case.submit(own=100, output=50)
    late, _ = case.submit(own=100, output=5, tier=2)
    urgent, _ = case.submit(own=100, output=5, tier=0)
    case.clock.run_until(3.0)
    assert urgent.events[0] < late.events[0]


def test_crash_fails_requests_and_clears_the_cache():
    case = _Case()
    listener, _ = case.submit(own=100, output=500, shared=300)
    case.clock.run_until(0.5)
    case.engine.crash()
    assert listener.end == "broken"
    read = case.engine.prefilled_tokens
    case.submit(own=100, output=1, shared=300)
    case.clock.run_until(1.0)
    assert case.engine.prefilled_tokens == read + 400


def test_cancelled_request_receives_no_more_events():
    case = _Case()
    listener, run = case.submit(own=100, output=500)
    case.clock.run_until(0.1)
    count = len(listener.events)
    case.engine.cancel(run)
    case.clock.run_until(1.0)
    assert len(listener.events) == count and not listener.end


def test_urgent_request_preempts_the_newest_of_the_least_urgent():
    case = _Case(slots=3)
    case.submit(own=100, output=100, tier=1)
    older, _ = case.submit(own=100, output=100, tier=2)
    case.clock.run_until(0.05)
    newer, _ = case.submit(own=110, output=100, tier=2)
    case.clock.run_until(0.1)
    prefilled = case.engine.prefilled_tokens
    urgent, _ = case.submit(own=100, output=5, tier=0)
    case.clock.run_until(0.2)
    assert urgent.end == "whole"
    assert case.engine.preemptions == 1
    case.clock.run_until(4.0)
    assert (older.end, newer.end) == ("whole", "whole")
    # The preempted request prefills its generated tokens too.
    assert case.engine.prefilled_tokens > prefilled + 100
    assert _find_longest_pause(newer) > _find_longest_pause(older)


def test_equally_urgent_request_waits_instead_of_preempting():
    case = _Case(slots=1)
    case.submit(own=100, output=20, tier=1)
    case.clock.run_until(0.05)
    waiting, _ = case.submit(own=100, output=5, tier=1)
    case.clock.run_until(0.1)
    assert not waiting.events
    assert case.engine.preemptions == 0


def _find_longest_pause(listener):
    return max(after - before
               for before, after in zip(listener.events, listener.events[1:]))


def test_context_prolongs_each_step():
    case = _Case(context_step_time=0.01)
    listener, _ = case.submit(own=100, output=20)
    case.clock.run_until(1.0)
    # 100 to 120 tokens add 1.0 to 1.2 ms to each of the two steps of an event.
    gaps = [b - a for a, b in zip(listener.events[1:], listener.events[2:])]
    assert gaps[0] == pytest.approx(0.022, abs=0.0002)


def test_engine_at_half_speed_takes_twice_as_long():
    case = _Case()
    case.engine.set_speed(0.5)
    listener, _ = case.submit(own=200, output=5)
    case.clock.run_until(1.0)
    assert listener.events == pytest.approx([0.08, 0.10, 0.14, 0.16])


def test_pairs_of_tokens_prolong_the_prefill_of_long_prompts():
    case = _Case(pair_time=1.0)
    listener, _ = case.submit(own=200, output=1)
    case.clock.run_until(1.0)
    # 100 tokens after none, then 100 after 100: 0.005 and 0.015 million pairs.
    assert listener.events == pytest.approx([0.06])


def test_request_waits_for_the_base_time_and_can_be_cancelled_meanwhile():
    case = _Case(base_time=0.05)
    listener, _ = case.submit(own=200, output=5)
    _, cancelled = case.submit(own=300, output=5)
    case.clock.run_until(0.02)
    case.engine.cancel(cancelled)
    case.clock.run_until(1.0)
    assert listener.events[0] == pytest.approx(0.09)
    assert case.engine.prefilled_tokens == 200
