"""Tests of the process's command line."""

import os
import signal
import subprocess
import sys
import time

import pytest

from mustardwood.platform import __main__ as command_line
from mustardwood.platform import settings

_TIMEOUT_SECONDS = 30.0
"""Time after which a test stops waiting for a process."""


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


def _open_when_it_is_read(pipe):
    """Opens a named pipe for writing once a process reads it."""
    until = time.monotonic() + _TIMEOUT_SECONDS
    while True:
        try:
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            assert time.monotonic() < until, "nobody reads the pipe"
            time.sleep(0.01)


@pytest.mark.processes
def test_reload_signal_during_the_start_does_not_end_the_process(tmp_path):
    """The pipe holds up the start until the settings have been written."""
    pipe = tmp_path / "settings.toml"
    os.mkfifo(pipe)
    with subprocess.Popen(
        [sys.executable, "-m", "mustardwood.platform",
         str(pipe)],
            stderr=subprocess.PIPE) as process:
        writer = _open_when_it_is_read(pipe)
        process.send_signal(signal.SIGHUP)
        os.write(writer, b"node_name = 3\n")
        os.close(writer)
        _, error = process.communicate(timeout=_TIMEOUT_SECONDS)
    assert process.returncode == 1
    assert b"node_name" in error
