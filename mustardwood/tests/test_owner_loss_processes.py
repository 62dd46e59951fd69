"""Tests of frozen and killed processes of a VM, with real processes."""

import collections
import time

import pytest

from mustardwood.standins.engine import completion_text
from mustardwood.tests import small_fleet
from mustardwood.tests import traffic

_NETWORK = "127.81.2"
_VMS = 3
_FAILOVER_SECONDS = 2.0
"""Maximum time until another owner schedules requests."""
_ENTRY_EXPIRY_SECONDS = 3.0
"""Maximum time until the requests of a dead entry release their slots."""
_SERVICE_TIME_SECONDS = 3.0
"""Maximum service time of a short answer on a busy machine."""
_MAX_TOKENS = 80
"""Maximum output length of requests that may still run when the frozen owner
resumes."""
_ENGINE_SLOTS = 12
"""Number of requests that the engines run concurrently."""


@pytest.mark.processes
def test_requests_complete_despite_frozen_and_killed_processes():
    with small_fleet.run_fleet(_NETWORK, vms=_VMS) as fleet:
        _freeze_scheduler(fleet)
        _kill_scheduler(fleet)
        _kill_agent(fleet)
        _kill_entry(fleet)
        _check_single_runs(fleet)


def _freeze_scheduler(fleet):
    """Freezes the owner's scheduler while requests wait in its queue."""
    owner = f"vm-{small_fleet.find_cell_owner(_VMS)}"
    frozen = fleet.children[f"{owner}/scheduler"]
    urls = small_fleet.list_urls(fleet, _VMS)
    with traffic.Traffic(urls,
                         callers=_ENGINE_SLOTS * 2,
                         max_tokens=_MAX_TOKENS,
                         name="freeze") as load:
        load.wait_for(_ENGINE_SLOTS)
        frozen.freeze()
        try:
            small_fleet.wait_for_other_owner(fleet, owner)
            before = len(small_fleet.read_log(fleet))
            traffic.wait_until(lambda: len(small_fleet.read_log(fleet)) > before
                               + _ENGINE_SLOTS // 2)
        finally:
            frozen.resume()
        load.wait_for(_ENGINE_SLOTS)
    assert load.list_failed() == []


def _kill_scheduler(fleet):
    """Kills the owner's scheduler while its queue is empty."""
    owner = f"vm-{small_fleet.find_cell_owner(_VMS)}"
    killed = fleet.children[f"{owner}/scheduler"]
    urls = small_fleet.list_urls(fleet, _VMS)
    with traffic.Traffic(urls, callers=_ENGINE_SLOTS // 2, name="kill") as load:
        load.wait_for(_ENGINE_SLOTS // 2)
        killed.kill()
        small_fleet.wait_for_other_owner(fleet, owner)
        load.wait_for(_ENGINE_SLOTS)
        fleet.restart(killed.name)
        load.wait_for(_ENGINE_SLOTS)
    assert load.list_failed() == []
    slowest = max(each.ended_at - each.started_at for each in load.replies)
    assert slowest < _FAILOVER_SECONDS + _SERVICE_TIME_SECONDS


def _kill_agent(fleet):
    """Kills the owner's agent; the VM's other processes keep the last view."""
    owner = f"vm-{small_fleet.find_cell_owner(_VMS)}"
    killed = fleet.children[f"{owner}/agent"]
    urls = small_fleet.list_urls(fleet, _VMS)
    with traffic.Traffic(urls, callers=_ENGINE_SLOTS, name="agent") as load:
        load.wait_for(_ENGINE_SLOTS)
        killed.kill()
        small_fleet.wait_for_other_owner(fleet, owner)
        load.wait_for(_ENGINE_SLOTS)
        fleet.restart(killed.name)
        load.wait_for(_ENGINE_SLOTS)
    assert load.list_failed() == []


def _kill_entry(fleet):
    """Kills an entry whose requests fill all engines.

    Requests of other entries must get the slots in time.
    """
    other = small_fleet.find_cell_owner(_VMS) % _VMS + 1
    killed = fleet.children[f"vm-{other}/entry"]
    killed_url = fleet.find_callers_url(other)
    other_url = fleet.find_callers_url(small_fleet.find_cell_owner(_VMS))
    prompts = _find_long_prompts(_ENGINE_SLOTS)
    threads = [
        traffic.start_thread(traffic.send, killed_url, each) for each in prompts
    ]
    traffic.wait_until(lambda: _count_started(fleet) == _ENGINE_SLOTS)
    killed.kill()
    started_at = time.monotonic()
    with traffic.Traffic([other_url], callers=_ENGINE_SLOTS,
                         name="entry") as load:
        load.wait_for(_ENGINE_SLOTS)
    took = time.monotonic() - started_at
    for each in threads:
        each.join()
    fleet.restart(killed.name)
    assert load.list_failed() == []
    assert took < _ENTRY_EXPIRY_SECONDS + _SERVICE_TIME_SECONDS


def _find_long_prompts(count):
    """Returns prompts whose answers take several seconds to generate."""
    prompts = []
    number = 0
    while len(prompts) < count:
        number += 1
        tokens = completion_text.generate_tokens(traffic.MODEL,
                                                 f"long {number}", None)
        if len(tokens) > 450:
            prompts.append(f"long {number}")
    return prompts


def _count_started(fleet):
    """Returns the number of attempts that the engines run now."""
    return sum(
        entry["state"] == "started" for entry in small_fleet.read_log(fleet))


def _check_single_runs(fleet):
    """Checks that engines received no attempt and ran no request twice."""
    log = small_fleet.read_log(fleet)
    attempts = collections.Counter(entry["attempt_id"] for entry in log)
    requests = collections.Counter(entry["request_id"] for entry in log)
    assert [each for each, count in attempts.items() if count > 1] == []
    assert [each for each, count in requests.items() if count > 1] == []
