"""Tests of the pace at which streams have to be decoded."""

import dataclasses

import pytest

from mustardwood import dispatch
from mustardwood import profiles
from mustardwood.dispatch import decode_pace
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms

_CONTINUOUS = dispatch.EndpointLoad(prefill_tokens=10_000, requests=4)


def _make_request(harness, output_tokens):
    request = harness_module.make_long_request(harness)
    prompt = dataclasses.replace(request.prompt, output_tokens=output_tokens)
    return dataclasses.replace(request, prompt=prompt)


def _prefill(harness):
    """Has the engine prefill continuously for 8 s."""
    harness.loads.add("endpoint-0", _CONTINUOUS)
    harness.clock.advance(ms(8_000))
    harness.loads.subtract("endpoint-0",
                           dispatch.EndpointLoad(prefill_tokens=10_000))


def _slow_down(harness, events=20):
    """Records the progress of a stream of 400 tokens that began 6 s ago."""
    harness.placement.record_progress(_make_request(harness, 400),
                                      harness.clock.monotonic() - ms(6_000),
                                      events)


def _is_sent(harness, output_tokens):
    choice = harness.placement.choose(_make_request(harness, output_tokens),
                                      harness.list_usable(), set())
    return not isinstance(choice, dispatch.PlacementLimit)


def test_prompt_waits_until_streams_have_made_up_for_the_prefill():
    harness = harness_module.Harness(endpoints=1)
    _prefill(harness)
    _slow_down(harness)
    assert not _is_sent(harness, 400)
    harness.clock.advance(ms(1_000))
    _slow_down(harness)
    assert _is_sent(harness, 400)


@pytest.mark.parametrize("output_tokens", (0, 100))
def test_prompt_is_sent_if_its_stream_ends_in_time_beside_prefill(
        output_tokens):
    harness = harness_module.Harness(endpoints=1)
    _prefill(harness)
    _slow_down(harness)
    assert _is_sent(harness, output_tokens)


def test_short_stream_waits_if_others_would_miss_their_deadlines():
    harness = harness_module.Harness(endpoints=1)
    for _ in range(200):
        assert _is_sent(harness, 400)
    _prefill(harness)
    _slow_down(harness)
    assert not _is_sent(harness, 100)


def test_engine_without_requests_takes_any_prompt():
    harness = harness_module.Harness(endpoints=1)
    _prefill(harness)
    harness.loads.subtract("endpoint-0", dispatch.EndpointLoad(requests=4))
    assert _is_sent(harness, 400)


@pytest.mark.parametrize("events, is_sent", [(20, False), (60, True)])
def test_prompt_waits_only_while_streams_are_behind(events, is_sent):
    """The engine may be faster than its profile."""
    harness = harness_module.Harness(endpoints=1)
    _prefill(harness)
    _slow_down(harness, events)
    assert _is_sent(harness, 400) == is_sent


def test_old_observations_do_not_hold_prompts_back():
    harness = harness_module.Harness(endpoints=1)
    _slow_down(harness)
    _prefill(harness)
    assert _is_sent(harness, 400)


def _find_shares(harness, output_tokens, slots):
    """Returns the shares of prefill for requests with so many output tokens.
    """
    pace, now = decode_pace.DecodePace(), harness.clock.monotonic()
    pace.record_progress(_make_request(harness, 400), now - ms(6_000), 10, now)
    for _ in range(200):
        pace.record_request(_make_request(harness, 400), now, 9_000)
    return [
        pace.find_max_prefill_share(_make_request(harness, tokens), now,
                                    profiles.PRIOR, 10, 100_000, slots)
        for tokens in output_tokens
    ]


def test_faster_pace_allows_a_smaller_share_of_prefill():
    harness = harness_module.Harness(endpoints=1)
    shares = _find_shares(harness, (400, 600, 1_200), 64)
    assert shares == sorted(shares, reverse=True)
    assert 0.0 < shares[-1] < shares[0] < 1.0


def test_few_slots_bound_the_share_of_prefill_themselves():
    harness = harness_module.Harness(endpoints=1)
    assert _find_shares(harness, (400,), 12) == [1.0]
    assert _find_shares(harness, (400,), 64) < [1.0]
