"""Messages with valid types but nonsensical values do not harm a scheduler."""

import datetime

import hypothesis
from hypothesis import strategies

from mustardwood import messages
from mustardwood.scheduler.tests import test_message_handler

_CELL = "m/r/0"
_TEXTS = strategies.sampled_from(
    ("", "a", "tag", "e0", _CELL, "\x00", "x" * 300))
_NUMBERS = strategies.sampled_from((0, 1, -1, 2**31, -2**63, 2**63 - 1))
_DURATIONS = strategies.sampled_from(
    (datetime.timedelta(), datetime.timedelta(seconds=1),
     datetime.timedelta(days=-9), datetime.timedelta(days=99_999)))
_ASKS = strategies.builds(messages.Ask,
                          request_id=_TEXTS,
                          attempt=_NUMBERS,
                          cell=_TEXTS,
                          class_name=_TEXTS,
                          organisation=_TEXTS,
                          prompt_tokens=_NUMBERS,
                          max_tokens=_NUMBERS,
                          prefix=_NUMBERS,
                          waited=_DURATIONS,
                          remaining=_DURATIONS,
                          excluded=strategies.tuples(_TEXTS))
_RUNNING = strategies.builds(messages.RunningAttempt,
                             request_id=_TEXTS,
                             attempt=_NUMBERS,
                             endpoint=_TEXTS,
                             class_name=_TEXTS,
                             organisation=_TEXTS,
                             prompt_tokens=_NUMBERS,
                             output_tokens=_NUMBERS)
_BODIES = strategies.one_of(
    _ASKS, strategies.builds(messages.Withdrawal, _TEXTS, _NUMBERS, _TEXTS),
    strategies.builds(messages.OpenWork,
                      cell=_TEXTS,
                      sequence=_NUMBERS,
                      waiting=strategies.lists(_ASKS, max_size=2).map(tuple),
                      running=strategies.lists(_RUNNING,
                                               max_size=2).map(tuple)),
    strategies.builds(messages.AttemptReport,
                      request_id=_TEXTS,
                      attempt=_NUMBERS,
                      cell=_TEXTS,
                      endpoint=_TEXTS,
                      outcome=strategies.none() |
                      strategies.sampled_from(messages.Outcome),
                      first_token=strategies.none() | _DURATIONS,
                      inter_token=strategies.none() | _DURATIONS,
                      output_tokens=_NUMBERS))
_ROLES = strategies.sampled_from(messages.Role)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    received=strategies.lists(strategies.tuples(_ROLES, _BODIES), max_size=6))
def test_valid_ask_is_granted_after_nonsensical_messages(received):
    harness = test_message_handler._Harness()  # pylint: disable=protected-access
    harness.send_view(1)
    for role, body in received:
        harness.send(messages.Peer("127.84.5.1", role), body)
        harness.clock.advance(datetime.timedelta(seconds=1))
        harness.handler.tick()
    harness.clock.advance(datetime.timedelta(hours=1))
    harness.handler.tick()
    replies = harness.send_ask("valid")
    harness.clock.advance(datetime.timedelta(seconds=1))
    replies += [each.message for each in harness.handler.tick()]
    granted = [each for each in replies if isinstance(each, messages.Grant)]
    assert [each.request_id for each in granted] == ["valid"]
