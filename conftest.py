"""Marks tests listed in ``KNOWN-RED.txt`` as expected failures for CI."""

import pathlib

import pytest

_KNOWN_RED_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_ENTRY_PREFIX = "test: "


def _read_known_red() -> list[str]:
    if not _KNOWN_RED_FILE.exists():
        return []
    lines = _KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(_ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(_ENTRY_PREFIX)
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures; they may also pass."""
    known_red = set(_read_known_red())
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(
                pytest.mark.xfail(reason="listed in KNOWN-RED.txt",
                                  strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the names of the listed tests."""
    for name in _read_known_red():
        terminalreporter.write_line(f"known red: {name}")
