"""The parsing of server-sent events, however they are cut."""

import hypothesis
from hypothesis import strategies
import pytest

from mustardwood.engines import sse_parser

_FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=100)


@_FUZZ
@hypothesis.given(
    strategies.lists(strategies.text(alphabet="aé:{} \t",
                                     min_size=1,
                                     max_size=20),
                     max_size=5),
    strategies.lists(strategies.integers(1, 7), min_size=1, max_size=30),
    strategies.sampled_from(["\n", "\r\n"]))
def test_cuts_do_not_matter(texts, sizes, newline):
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


@_FUZZ
@hypothesis.given(strategies.lists(strategies.binary(max_size=50)))
def test_any_bytes_are_read(parts):
    parser = sse_parser.SseParser()
    for part in parts:
        assert isinstance(parser.feed(part), list)


def test_unfinished_event_is_not_told():
    parser = sse_parser.SseParser()
    assert not parser.feed(b"data: a\n")
    assert parser.feed(b"data: b\n\n") == [b"a\nb"]


def test_event_without_end_is_bounded():
    parser = sse_parser.SseParser()
    with pytest.raises(sse_parser.EventTooLongError):
        for _ in range(3000):
            parser.feed(b"x" * 1024)
