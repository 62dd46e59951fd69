"""Tests that damaged messages are decoded or rejected with a `LinkError`.

A peer of another release can send any bytes. They must not raise another
exception in the process that receives them.
"""

import datetime

import hypothesis
from hypothesis import strategies

from mustardwood import errors
from mustardwood import messages

_SECOND = datetime.timedelta(seconds=1)
_PEER = messages.Peer("127.84.4.1", messages.Role.ENTRY)
_BODIES = (
    messages.Ask("r", 1, "m/r/0", "tag", "tatra", 1, 1, 0, _SECOND, _SECOND),
    messages.Grant("r", 1, "m/r/0", "e1", 0),
    messages.Withdrawal("r", 1, "m/r/0"),
    messages.SchedulerTimeout("vm-1", "m/r/0"),
    messages.View(1, 1, None, ()),
    messages.Query("q", messages.QueryKind.STATUS, ""),
    messages.QueryReply("q", "vm-1", b"{}"),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(body=strategies.sampled_from(_BODIES),
                  cut=strategies.integers(0, 400),
                  edits=strategies.lists(strategies.tuples(
                      strategies.integers(0, 399), strategies.integers(0, 255)),
                                         max_size=8),
                  tail=strategies.binary(max_size=8))
def test_mutated_message_is_decoded_or_raises_link_error(
        body, cut, edits, tail):
    data = bytearray(messages.encode_envelope(messages.Envelope(_PEER, 1,
                                                                body)))
    for index, value in edits:
        data[index % len(data)] = value
    try:
        envelope = messages.decode_envelope(bytes(data[:cut]) + tail)
    except errors.LinkError as error:
        assert error.remedy
    else:
        assert isinstance(envelope, messages.Envelope)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(data=strategies.binary(max_size=200))
def test_random_bytes_are_decoded_or_raise_link_error(data):
    try:
        messages.decode_envelope(data)
    except errors.LinkError as error:
        assert error.remedy


def test_deeply_nested_arrays_raise_link_error():
    try:
        messages.decode_envelope(b"\x91" * 100_000)
    except errors.LinkError as error:
        assert error.remedy
    else:
        raise AssertionError("deeply nested arrays were decoded")
