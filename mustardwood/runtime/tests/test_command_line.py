"""Tests of a daemon's command line."""

import pathlib
import subprocess
import sys

import pytest

from mustardwood import runtime

_SECONDS = 30
_DAEMONS = ("mustardwood.agent.main", "mustardwood.entry.main",
            "mustardwood.scheduler.main")
_UNNEEDED = ("typer", "pydantic", "rich", "tree_sitter")


def _run(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run([sys.executable, *arguments],
                          capture_output=True,
                          text=True,
                          timeout=_SECONDS,
                          check=False)


@pytest.mark.processes
@pytest.mark.parametrize("module", _DAEMONS)
def test_a_daemon_loads_no_reader_of_command_lines(module):
    done = _run(
        "-c", f"import sys, {module}\n"
        f"print([each for each in {_UNNEEDED} if each in sys.modules])")
    assert done.stdout.strip() == "[]", done.stderr


@pytest.mark.processes
def test_wrong_settings_are_told_before_the_start(tmp_path: pathlib.Path):
    path = tmp_path / "settings.json"
    path.write_text("{}", encoding="utf-8")
    done = _run("-m", "mustardwood.scheduler.main", "--settings", str(path))
    assert done.returncode == runtime.ExitCode.USAGE
    assert "bad_settings" in done.stderr
