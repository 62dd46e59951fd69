"""Tests of `SseParser` with arbitrary chunk boundaries."""

import hypothesis
from hypothesis import strategies
import pytest

from mustardwood.engines import sse_parser

_FUZZ_SETTINGS = hypothesis.settings(derandomize=True,
                                     deadline=None,
                                     max_examples=100)


@_FUZZ_SETTINGS
@hypothesis.given(
    strategies.lists(strategies.text(alphabet="aé:{} \t",
                                     min_size=1,
                                     max_size=20),
                     max_size=5),
    strategies.lists(strategies.integers(1, 7), min_size=1, max_size=30),
    strategies.sampled_from(["\n", "\r\n"]))
def test_events_do_not_depend_on_chunk_boundaries(texts, sizes, newline):
    stream = "".join(f": note{newline}data: {text}{newline}{newline}"
                     for text in texts).encode()
    parser = sse_parser.SseParser()
    found = []
    position = 0
    index = 0
    while position < len(stream):
        size = sizes[index % len(sizes)]
        found += parser.feed(stream[position:position + size])
        position += size
        index += 1
    assert found == [text.encode() for text in texts]


@_FUZZ_SETTINGS
@hypothesis.given(strategies.lists(strategies.binary(max_size=50)))
def test_arbitrary_bytes_raise_no_other_error(chunks):
    parser = sse_parser.SseParser()
    for chunk in chunks:
        assert isinstance(parser.feed(chunk), list)


def test_incomplete_event_is_not_returned():
    parser = sse_parser.SseParser()
    assert not parser.feed(b"data: a\n")
    assert parser.feed(b"data: b\n\n") == [b"a\nb"]


def test_event_over_the_size_limit_is_rejected():
    parser = sse_parser.SseParser()
    with pytest.raises(sse_parser.EventTooLongError):
        for _ in range(3000):
            parser.feed(b"x" * 1024)
