"""Tests of splitting streams into events, however their bytes arrive."""

import random
import time

from mustardwood.dispatch import event_splitter

_MAX_SECONDS = 2.0
"""Time for 256 KiB in small parts; a part is then added in under 1 ms."""


def test_events_do_not_depend_on_where_the_stream_is_cut():
    rng = random.Random(7)
    stream = b"".join(
        b"id: %d%sdata: x%s%s" % (index, end, end, end)
        for index, end in enumerate(
            rng.choice([b"\n", b"\r\n", b"\r"]) for _ in range(200)))
    whole = event_splitter.EventSplitter(None)
    events = whole.add(stream)
    for _ in range(50):
        splitter = event_splitter.EventSplitter(None)
        received, start = b"", 0
        while start < len(stream):
            end = start + rng.randint(1, 7)
            received += splitter.add(stream[start:end])
            start = end
        assert received == events
        assert (splitter.rest, splitter.last_id) == (whole.rest, whole.last_id)


def test_event_without_end_is_not_searched_again_with_each_part():
    splitter = event_splitter.EventSplitter(None)
    started = time.perf_counter()
    for _ in range(16 * 1024):
        splitter.add(b"x" * 16)
    assert time.perf_counter() - started < _MAX_SECONDS
    assert len(splitter.rest) == 256 * 1024


def test_id_of_too_many_digits_is_ignored():
    splitter = event_splitter.EventSplitter(None)
    event = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
    assert splitter.add(event) == event
    assert splitter.last_id is None
