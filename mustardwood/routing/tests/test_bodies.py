"""Tests of parsing and classifying requests, with arbitrary input as well."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from mustardwood import configuration
from mustardwood import errors
from mustardwood import routing

_FUZZ_SETTINGS = hypothesis.settings(derandomize=True,
                                     deadline=None,
                                     max_examples=100)
_CHAT = routing.RequestKind.CHAT
_JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() |
    strategies.floats() | strategies.text(),
    lambda inner: strategies.lists(inner, max_size=3) | strategies.dictionaries(
        strategies.sampled_from([
            "model", "messages", "stream", "stream_options", "max_tokens", "n",
            "x", "include_usage"
        ]),
        inner,
        max_size=5),
    max_leaves=12)


def parse(body, kind=_CHAT):
    try:
        return routing.parse_completion(kind, body)
    except errors.RequestError as error:
        assert 400 <= error.status < 500
        assert error.ran is errors.RunState.NOT_RUN
        assert error.remedy
        return error


@_FUZZ_SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_give_request_error(body):
    assert isinstance(parse(body), errors.RequestError)


@_FUZZ_SETTINGS
@hypothesis.given(_JSON_VALUES)
def test_arbitrary_json_gives_body_or_request_error(value):
    body = msgspec.json.encode(value)
    for kind in (_CHAT, routing.RequestKind.COMPLETION):
        parsed = parse(body, kind)
        if not isinstance(parsed, errors.RequestError):
            assert parsed.fields["model"] == parsed.model
            assert isinstance(parsed.stream, bool)


@pytest.mark.parametrize("body, code", [
    (b'{"model": "m", "messages": "\xff"}', "malformed_body"),
    (b'{"model": "m", "messages": [{"content": "\\ud800"}]}', "malformed_body"),
    (b'{"model": "m", "messages": [{"n": 1e999}]}', "malformed_body"),
    (b"[" * 100_000, "malformed_body"),
    (b'{"a":' * 100_000, "malformed_body"),
    (b'{"model": 1, "messages": [{}]}', "wrong_type"),
    (b'{"model": "m", "messages": []}', "wrong_type"),
    (b'{"model": "m", "messages": [1]}', "wrong_type"),
    (b'{"model": "m", "messages": [{}], "stream": "yes"}', "wrong_type"),
    (b'{"model": "m", "messages": [{}], "n": 2}', "wrong_type"),
    (b'{"model": "m", "messages": [{}], "max_tokens": -1}', "wrong_type"),
    (b'{"model": "m", "messages": [{}], "max_tokens": 1' + b"0" * 400 + b"}",
     "wrong_type"),
    (b'{"model": "m", "messages": [{}], "resume_from": {}}', "wrong_type"),
    (b"x" * (routing.MAX_REQUEST_BODY_BYTES + 1), "body_too_large"),
])
def test_invalid_body_gives_its_error_code(body, code):
    assert parse(body).request_code == code


def test_canonical_body_ignores_streaming_options_and_field_order():
    unstreamed = parse(b'{"model": "m", "messages": [{"content": "a"}]}')
    streamed = parse(
        b'{"stream": true, "messages": [{"content": "a"}], '
        b'"model": "m", "stream_options": {"include_usage": true}}')
    assert unstreamed.canonical == streamed.canonical
    assert (routing.compute_fingerprint("a", b"bc")
            != routing.compute_fingerprint("ab", b"c"))


@_FUZZ_SETTINGS
@hypothesis.given(strategies.text(max_size=300))
def test_invalid_idempotency_key_is_refused(key):
    is_valid = key.isascii() and key.isprintable() and 0 < len(key) <= 255
    if is_valid:
        assert routing.check_idempotency_key(key) == key
    else:
        with pytest.raises(errors.RequestError):
            routing.check_idempotency_key(key)


def test_first_matching_rule_assigns_the_class():
    document = configuration.Document(
        classes=tuple(
            configuration.RequestClass(name, 0, 1.0)
            for name in ("short", "long", "own")),
        default_class="long",
        organisations=(),
        models=(),
        endpoints=(),
        rules=(configuration.ClassRule("own", organisation="střih"),
               configuration.ClassRule("short", max_tokens_at_most=16)))
    classifier = routing.Classifier(document)

    def find(header=None, organisation="tatra", max_tokens=None):
        return classifier.find_class(header,
                                     "long",
                                     model_or_service="m",
                                     organisation=organisation,
                                     max_tokens=max_tokens).name

    assert find() == "long"
    assert find(max_tokens=16) == "short"
    assert find(max_tokens=17) == "long"
    assert find(organisation="střih", max_tokens=1) == "own"
    assert find(header="long", organisation="střih") == "long"
    with pytest.raises(errors.RequestError):
        find(header="none")
