"""Tests of the process's command line."""

import pytest

from mustardwood.platform import __main__ as command_line
from mustardwood.platform import settings


def test_invalid_settings_exit_with_an_error_that_names_the_field(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text("node_name = 3\n", encoding="utf-8")
    with pytest.raises(SystemExit) as caught:
        command_line.main(["--check", str(path)])
    assert "$" in str(caught.value.code)


def test_missing_settings_file_of_the_environment_is_named_in_the_error(
        monkeypatch):
    monkeypatch.setenv(settings.PATH_VARIABLE, "/nowhere/settings.toml")
    with pytest.raises(SystemExit, match="/nowhere/settings.toml"):
        command_line.main([])


def test_unknown_flag_shows_the_usage():
    with pytest.raises(SystemExit, match="usage"):
        command_line.main(["--unknown"])
