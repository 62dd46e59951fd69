"""Tests of graceful shutdown under load, with real processes."""

import pytest

from mustardwood.tests import small_fleet
from mustardwood.tests import traffic

_NETWORK = "127.81.1"
_SHUTDOWN_TIMEOUT_SECONDS = 60.0
"""Timeout of a graceful shutdown; longer than any answer of the load."""


@pytest.mark.processes
def test_graceful_shutdown_of_each_process_truncates_and_loses_no_request():
    with small_fleet.run_fleet(_NETWORK) as fleet:
        owner = f"vm-{small_fleet.find_cell_owner()}"
        for part in ("entry", "scheduler", "agent"):
            _shut_down_process(fleet, owner, part)


def _shut_down_process(fleet, owner, part):
    """Shuts down a process under load, checks all replies and restarts it."""
    name = f"{owner}/{part}"
    child = fleet.children[name]
    with traffic.Traffic(small_fleet.list_urls(fleet), callers=24,
                         name=name) as load:
        load.wait_for(12)
        child.terminate()
        code = child.wait(_SHUTDOWN_TIMEOUT_SECONDS)
        if part != "entry":
            small_fleet.wait_for_other_owner(fleet, owner)
        load.wait_for(12)
    assert load.list_failed() == []
    assert code == 0
    fleet.restart(name)
    fleet.wait_until_ready(name)
