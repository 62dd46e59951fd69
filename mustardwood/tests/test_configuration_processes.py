"""Tests that all VMs agree on the configuration and never revert it.

Operators apply concurrently, the platform loses answers, fails or returns to an
older state, and VMs restart. Uses real processes.
"""

import concurrent.futures
import json
import os
import subprocess
import sys
import time

import msgspec
import pytest

from mustardwood import runtime
from mustardwood.standins import fleet as fleet_module
from mustardwood.tests import callers
from mustardwood.tests import version_recorder

pytestmark = pytest.mark.processes

_NETWORK = "127.82.3"
_VMS = 9
_PARTS = ("agent", "entry")
_PROCESS_NAMES = [
    f"vm-{number}/{part}" for number in range(1, _VMS + 1) for part in _PARTS
]
_PROPAGATION_SECONDS = 5.0
"""Maximum time between the first and the last process with a new version."""

_COMMAND_TIMEOUT_SECONDS = 60.0


@pytest.fixture(scope="module", name="fleet")
def run_fleet():
    """Runs the agents and entries of nine VMs with an applied configuration."""
    with fleet_module.Fleet(_NETWORK) as fleet:
        fleet.start_platform()
        with concurrent.futures.ThreadPoolExecutor(3) as pool:
            starts = [
                pool.submit(fleet.start_vm,
                            number,
                            f"zone-{number % 3}",
                            parts=_PARTS) for number in range(1, _VMS + 1)
            ]
        for each in starts:
            each.result()
        assert _apply(fleet, 1, "first").returncode == 0
        yield fleet


@pytest.fixture(name="recorder")
def record_versions(fleet):
    """Records the versions of all processes, starting when they agree.

    Checks after the test that no process showed a lower version than before.
    """
    with version_recorder.VersionRecorder(fleet) as recorder:
        _wait_in_force(recorder, 1)
        version = max(map(recorder.find_version, _PROCESS_NAMES))
        _wait_in_force(recorder, version)
        yield recorder
    assert not recorder.list_reverts()
    assert recorder.polls > 1


def _start_apply(fleet, number, author, *options):
    """Starts `mustardwood apply` with a document that names its author."""
    document = callers.make_document(_NETWORK, engines=1)
    model = msgspec.structs.replace(document.models[0],
                                    name=f"{author}-{time.monotonic_ns()}")
    document = msgspec.structs.replace(document,
                                       models=(*document.models, model))
    path = callers.write_document(fleet, f"{author}-{number}", document)
    command = [
        sys.executable, "-m", "mustardwood.cli.main", "apply",
        str(path), "--agent", fleet.children[f"vm-{number}/agent"].url, *options
    ]
    return subprocess.Popen(command,
                            stdout=subprocess.PIPE,
                            stderr=subprocess.PIPE,
                            text=True,
                            env={
                                **os.environ, "LOGNAME": author
                            })


def _wait_for_exit(process):
    stdout, stderr = process.communicate(timeout=_COMMAND_TIMEOUT_SECONDS)
    return subprocess.CompletedProcess(process.args, process.returncode, stdout,
                                       stderr)


def _apply(fleet, number, author, *options):
    return _wait_for_exit(_start_apply(fleet, number, author, *options))


def _wait_in_force(recorder, version, names=tuple(_PROCESS_NAMES)):
    callers.wait_until(
        lambda: all(recorder.find_version(name) >= version for name in names),
        f"version {version} is in force")


def _check_propagation(recorder, version):
    """Checks that a version reached all processes in time.

    The VM that accepts the version is the first to show it, so the time is
    measured from the first process that shows it.
    """
    _wait_in_force(recorder, version)
    times = [recorder.find_first_time(name, version) for name in _PROCESS_NAMES]
    assert max(times) - min(times) < _PROPAGATION_SECONDS


def _read_version(fleet, number=1):
    return fleet.read_json(f"vm-{number}/agent", "/v1/configuration")["version"]


def _read_platform(fleet):
    stored = fleet.read_json("platform", "/kv/mustardwood%2Fconfiguration")
    return json.loads(stored["value"])


def _restart_vm(fleet, number):
    for part in _PARTS:
        fleet.children[f"vm-{number}/{part}"].kill()
    for part in _PARTS:
        fleet.children[f"vm-{number}/{part}"].start()


def _wait_ready(fleet, number):
    for part in _PARTS:
        fleet.wait_until_ready(f"vm-{number}/{part}")


def test_one_of_concurrent_applies_wins_and_the_others_get_a_conflict(
        fleet, recorder):
    base = _read_version(fleet)
    applies = [
        _start_apply(fleet, 1 + 2 * number, f"operator-{number}", "--base",
                     str(base)) for number in range(3)
    ]
    completed = [_wait_for_exit(each) for each in applies]
    winners = [
        number for number, each in enumerate(completed) if not each.returncode
    ]
    assert len(winners) == 1, [each.stderr for each in completed]
    for number, each in enumerate(completed):
        if number not in winners:
            assert each.returncode == runtime.ExitCode.CONFLICT
            assert f"operator-{winners[0]} " in each.stderr
    _check_propagation(recorder, base + 1)
    assert _read_platform(fleet)["author"] == f"operator-{winners[0]}"
    assert _read_version(fleet) == base + 1


def test_uncertain_write_is_resolved(fleet, recorder):
    base = _read_version(fleet)
    fleet.set_faults("platform", lost_answers=1)
    completed = _apply(fleet, 4, "unsure")
    assert completed.returncode == 0, completed.stderr
    _check_propagation(recorder, base + 1)
    assert _read_platform(fleet)["author"] == "unsure"
    assert _read_version(fleet) == base + 1


def test_uncertain_concurrent_writes_are_reported_correctly(fleet, recorder):
    base = _read_version(fleet)
    fleet.set_faults("platform", lost_answers=2)
    applies = [
        _start_apply(fleet, 2 + 3 * number, f"unsure-{number}", "--base",
                     str(base)) for number in range(2)
    ]
    completed = [_wait_for_exit(each) for each in applies]
    fleet.set_faults("platform", lost_answers=0)
    winners = [
        number for number, each in enumerate(completed) if not each.returncode
    ]
    assert len(winners) == 1, [each.stderr for each in completed]
    assert completed[1 - winners[0]].returncode == runtime.ExitCode.CONFLICT
    _check_propagation(recorder, base + 1)
    assert _read_platform(fleet)["author"] == f"unsure-{winners[0]}"


def test_outage_changes_nothing_and_vms_boot_from_their_neighbours(
        fleet, recorder):
    base = _read_version(fleet)
    fleet.set_faults("platform", outage=True)
    early_apply = _start_apply(fleet, 5, "early")
    for number in (7, 8):
        _restart_vm(fleet, number)
    for number in (7, 8):
        _wait_ready(fleet, number)
        assert _read_version(fleet, number) == base
    completed = _wait_for_exit(early_apply)
    fleet.set_faults("platform", outage=False)
    assert completed.returncode == runtime.ExitCode.FAILED
    assert "nothing was applied" in completed.stderr
    assert {recorder.find_version(name) for name in _PROCESS_NAMES} == {base}
    assert _apply(fleet, 8, "afterwards").returncode == 0
    _check_propagation(recorder, base + 1)


def test_older_state_of_the_platform_is_repaired(fleet, recorder):
    base = _read_version(fleet)
    fleet.set_faults("platform", snapshot="old")
    assert _apply(fleet, 6, "newer").returncode == 0
    _check_propagation(recorder, base + 1)
    fleet.set_faults("platform", outage=True)
    fleet.set_faults("platform", restore="old")
    assert _read_platform_fails(fleet)
    fleet.set_faults("platform", outage=False)
    callers.wait_until(lambda: _read_platform(fleet)["version"] == base + 1,
                       "the platform is repaired")
    assert _apply(fleet, 3, "newest").returncode == 0
    _check_propagation(recorder, base + 2)


def test_vm_that_boots_with_an_older_state_does_not_revert(fleet, recorder):
    base = _read_version(fleet)
    fleet.set_faults("platform", snapshot="older")
    assert _apply(fleet, 2, "newer").returncode == 0
    _check_propagation(recorder, base + 1)
    fleet.set_faults("platform", restore="older")
    for number in (1, 9):
        _restart_vm(fleet, number)
    for number in (1, 9):
        _wait_ready(fleet, number)
        assert _read_version(fleet, number) == base + 1
    callers.wait_until(lambda: _read_platform(fleet)["version"] == base + 1,
                       "the platform is repaired")


def test_restarted_vms_never_show_an_older_version(fleet, recorder):
    base = _read_version(fleet)
    for number in (3, 6, 9):
        _restart_vm(fleet, number)
    completed = _apply(fleet, 1, "while restarting")
    assert completed.returncode == 0, completed.stderr
    _wait_in_force(recorder, base + 1)


def _read_platform_fails(fleet):
    try:
        _read_platform(fleet)
    except OSError:
        return True
    return False
