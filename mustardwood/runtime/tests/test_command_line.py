"""Tests of the command line of daemons."""

import pathlib
import subprocess
import sys

import pytest

from mustardwood import runtime

_TIMEOUT_SECONDS = 30
_DAEMONS = ("mustardwood.agent.main", "mustardwood.entry.main",
            "mustardwood.scheduler.main")
_UNNEEDED_MODULES = ("typer", "pydantic", "rich", "tree_sitter")


def _run(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run([sys.executable, *arguments],
                          capture_output=True,
                          text=True,
                          timeout=_TIMEOUT_SECONDS,
                          check=False)


@pytest.mark.processes
@pytest.mark.parametrize("module", _DAEMONS)
def test_daemon_imports_no_library_for_command_lines(module):
    """Guards against libraries that would stay in memory.

    The libraries that parse the command line take about 20 MB. The process
    executes its program again to get rid of them, which is useless if a module
    of the daemon imports them.
    """
    completed = _run(
        "-c", f"import sys, {module}\n"
        f"print([each for each in {_UNNEEDED_MODULES} if each in sys.modules])")
    assert completed.stdout.strip() == "[]", completed.stderr


@pytest.mark.processes
def test_invalid_settings_are_reported_before_start(tmp_path: pathlib.Path):
    path = tmp_path / "settings.json"
    path.write_text("{}", encoding="utf-8")
    completed = _run("-m", "mustardwood.scheduler.main", "--settings",
                     str(path))
    assert completed.returncode == runtime.ExitCode.USAGE
    assert "bad_settings" in completed.stderr
