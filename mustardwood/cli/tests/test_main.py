"""Tests of the operators' command line."""

import json
import pathlib

import pytest
import typer.testing

from mustardwood.cli import main
from mustardwood.cli import status_text

_DOCUMENT = {
    "classes": [{
        "name": "tag",
        "tier": 0,
        "first_token_seconds": 0.66
    }],
    "default_class": "tag",
    "organisations": [],
    "models": [],
    "endpoints": [],
}


@pytest.fixture(name="runner")
def make_runner() -> typer.testing.CliRunner:
    return typer.testing.CliRunner()


def _write(folder: pathlib.Path, document: object) -> str:
    path = folder / "document.json"
    path.write_text(json.dumps(document, indent=1))
    return str(path)


def test_validate_accepts_a_right_document(runner, tmp_path):
    result = runner.invoke(main.app, ["validate", _write(tmp_path, _DOCUMENT)])
    assert result.exit_code == 0


def test_validate_names_line_key_and_remedy(runner, tmp_path):
    wrong = dict(_DOCUMENT, default_class="none")
    path = _write(tmp_path, wrong)
    result = runner.invoke(main.app, ["validate", path])
    assert result.exit_code == 1
    assert f"{path}:9: $.default_class" in result.stderr
    assert "Describe it under classes." in result.stderr


def test_unreadable_file_is_a_usage_error(runner, tmp_path):
    result = runner.invoke(main.app, ["validate", str(tmp_path / "none")])
    assert result.exit_code == 2


def test_status_names_the_vms_that_did_not_answer():
    text = status_text.format_status({"vms": [], "unanswered": ["vm-3"]})
    assert text.endswith("no answer from: vm-3")
