"""Tests of chunked bodies: sizes, line ends, trailers and what follows."""

import random

import h11
import pytest

from mustardwood.http1 import chunk_decoder

_MAX_LINE_BYTES = 100
_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def _decode(pieces):
    decoder = chunk_decoder.ChunkDecoder(_MAX_LINE_BYTES)
    decoded = [decoder.decode(each) for each in pieces]
    return (decoder, b"".join(data for data, _ in decoded),
            sum(count for _, count in decoded))


def _split(data, rng):
    """Returns the data in parts of random sizes."""
    parts = []
    while data:
        size = rng.randint(1, 12)
        parts.append(data[:size])
        data = data[size:]
    return parts


def _make_body(rng):
    """Returns a random body and its chunks, with extensions and trailers."""
    body, wire = b"", b""
    for _ in range(rng.randint(0, 8)):
        data = rng.randbytes(rng.randint(1, 40))
        extension = rng.choice([b"", b"", b";a=b", b" ;x", b"  "])
        size = b"%x" % len(data)
        wire += rng.choice([size, size.upper(), b"00" + size])
        wire += extension + b"\r\n" + data + b"\r\n"
        body += data
    trailers = rng.choice([b"", b"", b"Name: value\r\n", b"A: 1\r\nB: 2\r\n"])
    return body, wire + b"0\r\n" + trailers + b"\r\n"


@pytest.mark.parametrize("seed", range(200))
def test_body_is_decoded_in_whatever_parts_it_arrives(seed):
    rng = random.Random(seed)
    body, wire = _make_body(rng)
    following = rng.choice([b"", b"GET / HTTP/1.1\r\n"])
    decoder, decoded, _ = _decode(_split(wire, rng))
    assert (decoder.is_complete, decoded, decoder.rest) == (True, body, b"")
    decoder, decoded, _ = _decode([wire + following])
    assert (decoder.is_complete, decoded, decoder.rest) == (True, body,
                                                            following)


@pytest.mark.parametrize("wire", [
    b"x\r\n", b"\r\n", b"-1\r\n", b"1_0\r\n", b"0x1\r\nx\r\n", b"1\n",
    b"1 1\r\n", b"1\r\nxy\r\n", b"1\r\nx\n\n", b"1" * 21 + b"\r\n",
    b" 1\r\nx\r\n", b"+1\r\nx\r\n"
])
def test_body_that_the_parser_of_heads_refuses_is_refused_too(wire):
    """Two parsers that disagree let a request be smuggled in another one."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(_HEAD + wire + b"0\r\n\r\n")
    connection.next_event()
    with pytest.raises(h11.RemoteProtocolError):
        while connection.next_event() is not h11.NEED_DATA:
            pass
    with pytest.raises(chunk_decoder.ChunkError):
        _decode([wire + b"0\r\n\r\n"])


@pytest.mark.parametrize("wire", [
    b"1;" + b"x" * 200, b"0\r\nName: " + b"x" * 200,
    b"0\r\n" + b"Name: value\r\n" * 20
])
def test_lines_without_end_are_refused(wire):
    with pytest.raises(chunk_decoder.LineTooLongError):
        _decode([wire])


def test_chunks_are_counted():
    _, data, count = _decode([b"1\r\nx\r\n" * 500, b"0\r\n\r\n"])
    assert (data, count) == (b"x" * 500, 501)
