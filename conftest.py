"""Lets CI pass over the failures that KNOWN-RED.txt lists, and prints them."""

import pathlib

import pytest

_LIST = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_PREFIX = "test: "


def _read_known() -> list[str]:
    if not _LIST.exists():
        return []
    lines = _LIST.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(_PREFIX).strip()
        for line in lines
        if line.startswith(_PREFIX)
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests; a listed test that passes is reported too."""
    known = set(_read_known())
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(reason="listed in KNOWN-RED.txt",
                                  strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the list."""
    for name in _read_known():
        terminalreporter.write_line(f"known red: {name}")
