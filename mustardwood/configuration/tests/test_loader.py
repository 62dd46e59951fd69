"""Tests of reading and validating configuration documents."""

import hypothesis
import hypothesis.strategies
import pytest

from mustardwood import configuration
from mustardwood import errors

_TEXT = """// A small configuration.
{
  "classes": [
    {"name": "tag", "tier": 0, "first_token_seconds": 0.66},
    {"name": "long", "tier": 3, "first_token_seconds": 5, "floor": 0.05},
  ],
  "default_class": "tag",
  "organisations": [{"name": "acme", "key_hashes": []}],
  "models": [{"name": "large"}],
  /* One endpoint. */
  "endpoints": [
    {"name": "e1", "serves": "large",
     "url": "http://127.0.0.1:8000", "zone": "a", "region": "r"},
  ],
}
"""


def test_document_with_comments_and_trailing_commas_is_loaded():
    document = configuration.load_document(_TEXT)
    assert document.classes[1].floor == 0.05
    assert document.endpoints[0].concurrency == 16


@pytest.mark.parametrize("old, new, key, line", [
    ('"tier": 3', '"tier": 6', "$.classes[1].tier", 5),
    ('"tier": 3', '"tier": "3"', "$.classes[1].tier", 5),
    ('"tier": 3', '"teir": 3', "$.classes[1]", 5),
    ('"serves": "large"', '"serves": "small"', "$.endpoints[0].serves", 12),
    ('"http://127.0.0.1:8000"', '"127.0.0.1"', "$.endpoints[0].url", 13),
    ('"default_class": "tag"', '"default_class": "x"', "$.default_class", 7),
    ('"key_hashes": []', '"key_hashes": ["ab"]',
     "$.organisations[0].key_hashes[0]", 8),
    ('"name": "long"', '"name": "tag"', "$.classes[1].name", 5),
    ('"floor": 0.05', '"floor": 0.6', "$.classes[1].floor", 5),
    ('"first_token_seconds": 5', '"first_token_seconds": NaN',
     "$.classes[1].first_token_seconds", 5),
])
def test_problem_has_key_and_line_of_invalid_value(old, new, key, line):
    with pytest.raises(errors.ConfigurationError) as caught:
        configuration.load_document(_TEXT.replace(old, new))
    assert (caught.value.key, caught.value.line) == (key, line)


def test_syntax_error_has_its_line():
    with pytest.raises(errors.ConfigurationError) as caught:
        configuration.load_document(_TEXT.replace('"models":', '"models"'))
    assert caught.value.line == 9


def test_all_problems_are_listed():
    text = _TEXT.replace('"tier": 3',
                         '"tier": 9').replace('"serves": "large"',
                                              '"serves": "x"')
    assert len(configuration.list_document_problems(text)) == 2


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(start=hypothesis.strategies.integers(0, len(_TEXT)),
                  length=hypothesis.strategies.integers(0, 12),
                  inserted=hypothesis.strategies.text(max_size=6))
def test_edited_text_is_loaded_or_raises_configuration_error(
        start, length, inserted):
    text = _TEXT[:start] + inserted + _TEXT[start + length:]
    try:
        document = configuration.load_document(text)
    except errors.ConfigurationError as error:
        assert error.remedy
        return
    reloaded = configuration.load_document(
        configuration.dump_document(document))
    assert reloaded == document
