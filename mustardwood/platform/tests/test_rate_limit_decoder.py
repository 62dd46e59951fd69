"""Tests of the decoder of stated rate limits."""

import pytest

from mustardwood.platform import rate_limit_decoder


@pytest.mark.parametrize("value, limit", [
    (b"2.3", 2.3),
    (b"0", 0.0),
    (b" 12 ", 12.0),
    (b"0.05", 0.05),
    (b"7.", 7.0),
    (b".5", 0.5),
])
def test_decimal_number_is_the_limit(value, limit):
    statement = rate_limit_decoder.decode_statement([(b"server-limit", value)])
    assert (statement.limit, statement.problem) == (limit, "")


@pytest.mark.parametrize("value", [
    b"", b"-1", b"+1", b"1e3", b"nan", b"inf", b"1e300", b"9" * 400, b"2,3",
    b"2, 3", b"2 3", b"0x10", b"1_000", b".", "\u0662".encode()
])
def test_anything_else_is_ignored_with_a_reason(value):
    statement = rate_limit_decoder.decode_statement([(b"Server-Limit", value)])
    assert statement.limit is None
    assert 0 < len(statement.problem) < 200


def test_several_limits_are_ignored_with_a_reason():
    statement = rate_limit_decoder.decode_statement([(b"Server-Limit", b"2"),
                                                     (b"Server-Limit", b"2")])
    assert statement.limit is None
    assert statement.problem
