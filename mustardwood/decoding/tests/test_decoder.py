"""Tests of decoding what other writers may have written."""

import pytest

from mustardwood import decoding

_NESTED_JSON = b"[" * 100_000 + b"]" * 100_000
_NESTED_MSGPACK = b"\x91" * 100_000 + b"\x90"


@pytest.mark.parametrize("data", [
    b"", b"{", b"\xff\xfe", b'"\xff"', b"null", b"1e400", b"9" * 5000,
    b'{"a": ' + _NESTED_JSON + b"}", b'"\\ud800"'
])
@pytest.mark.parametrize("data_type", [int, dict[str, int]])
def test_json_that_is_no_such_value_raises_one_kind_of_error(data, data_type):
    """Any other error ends the processing of entries that are sound."""
    with pytest.raises(decoding.DecodingError) as caught:
        decoding.decode_json(data, data_type)
    assert len(str(caught.value)) <= 200


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\xa4name", _NESTED_MSGPACK])
@pytest.mark.parametrize("data_type", [int, dict[str, int], list[list[int]]])
def test_msgpack_that_is_no_such_value_raises_one_kind_of_error(
        data, data_type):
    """Any other error ends the processing of messages that are sound."""
    with pytest.raises(decoding.DecodingError):
        decoding.decode_msgpack(data, data_type)
