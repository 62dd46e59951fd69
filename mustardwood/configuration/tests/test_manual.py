"""Tests that the pages list every key of the document and of the settings."""

import pathlib
import re

import msgspec
import pytest

from mustardwood import configuration
from mustardwood import settings

_DOCS = pathlib.Path(__file__).parents[3] / "docs"
_ROW = re.compile(r"^\| `([a-z_]+)` \|[^|]+\|([^|]*)\|", re.MULTILINE)
_SECTIONS = {
    "The document": configuration.Document,
    "A class": configuration.RequestClass,
    "An organisation": configuration.Organisation,
    "A model": configuration.Model,
    "A service": configuration.Service,
    "An endpoint": configuration.Endpoint,
    "A rule": configuration.ClassRule,
}


def _read_rows(page, title):
    text = (_DOCS / page).read_text(encoding="utf-8")
    section = text.split(f"\n## {title}", 1)[1].split("\n## ", 1)[0]
    return dict(_ROW.findall(section))


def _check_rows(rows, kind):
    fields = msgspec.structs.fields(kind)
    assert list(rows) == [each.name for each in fields]
    for field in fields:
        documented = rows[field.name].strip().strip("`")
        if field.required:
            assert not documented, field.name
        else:
            default = msgspec.json.encode(field.default)
            assert msgspec.json.decode(documented) == msgspec.json.decode(
                default), field.name


@pytest.mark.parametrize("title", _SECTIONS)
def test_configuration_page_lists_every_key_and_default(title):
    _check_rows(_read_rows("CONFIGURATION.md", title), _SECTIONS[title])


def test_operations_page_lists_every_setting_and_default():
    _check_rows(_read_rows("OPERATIONS.md", "The settings file"),
                settings.Settings)
    _check_rows(_read_rows("OPERATIONS.md", "Files of TLS"), settings.TlsFiles)
