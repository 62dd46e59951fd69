"""Tests of leaving endpoints, with real processes."""

import time

import pytest

from mustardwood.tests import small_fleet
from mustardwood.tests import traffic

_NETWORK = "127.81.3"
_VMS = 2
_MARK_DELAY_SECONDS = 3.0
"""Time after the mark from which no new request may start."""


@pytest.mark.processes
def test_leaving_endpoint_gets_no_new_work_and_completes_running_requests():
    """Covers marks in the VM list and in the configuration.

    Either one must work while the store or the whole platform is down, and
    after a restart of a scheduler.
    """
    with small_fleet.run_fleet(_NETWORK, vms=_VMS) as fleet:
        urls = small_fleet.list_urls(fleet, _VMS)
        with traffic.Traffic(urls, callers=16) as load:
            load.wait_for(16)
            fleet.set_faults("platform", store_outage=True)
            small_fleet.mark_leaving(fleet, 1, _VMS)
            _check_no_new_attempts(fleet, load, ["engine-1"])
            fleet.set_faults("platform", store_outage=False)
            _apply_leaving(fleet, 2)
            fleet.set_faults("platform", outage=True)
            _check_no_new_attempts(fleet, load, ["engine-1", "engine-2"])
            fleet.children["vm-1/scheduler"].kill()
            fleet.restart("vm-1/scheduler")
            load.wait_for(16)
            _check_no_new_attempts(fleet,
                                   load, ["engine-1", "engine-2"],
                                   wait=0.0)
    assert load.list_failed() == []


def _apply_leaving(fleet, number):
    document = small_fleet.make_document(_NETWORK, 3, leaving=(number,))
    small_fleet.apply_document(fleet, document)


def _check_no_new_attempts(fleet, load, names, wait=_MARK_DELAY_SECONDS):
    """Checks that no request starts on engines from `wait` seconds on.

    Also checks that all requests that they started have finished.
    """
    time.sleep(wait)
    before = {name: _list_attempts(fleet, name) for name in names}
    load.wait_for(16)
    after = {name: _list_attempts(fleet, name) for name in names}
    assert after == before
    states = {
        entry["state"]
        for name in names
        for entry in fleet.read_json(name, "/log")
    }
    assert states == {"finished"}


def _list_attempts(fleet, name):
    return [entry["attempt_id"] for entry in fleet.read_json(name, "/log")]
