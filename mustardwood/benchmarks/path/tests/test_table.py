"""Tests of the result table and of the process usage that it shows."""

import os

from mustardwood.benchmarks.path import level_result
from mustardwood.benchmarks.path import process_usage
from mustardwood.benchmarks.path import table


def _make_result(added: float, cpu: float, rss: float):
    level = level_result.LevelResult(8, (100, 100), 10.0, 20.0, 11.0,
                                     20.0 + added, 5000, cpu, 0.1, 0)
    return level_result.PathResult((level,), {
        "entry": 80.0,
        "scheduler": rss / 2,
        "agent": rss / 2
    })


def test_goals_missed_are_shown_as_missed():
    text = table.format_result(_make_result(10.0, 100.0, 110.0))
    assert text.count("NOT MET") == 3


def test_goals_met_are_shown_as_met():
    text = table.format_result(_make_result(9.9, 99.0, 109.0))
    assert "NOT MET" not in text
    assert text.count(": met") == 3


def test_cpu_time_and_memory_of_own_process_are_read():
    before = process_usage.read_cpu_seconds(os.getpid())
    while process_usage.read_cpu_seconds(os.getpid()) <= before:
        pass
    assert process_usage.read_rss_bytes(os.getpid()) > 0
