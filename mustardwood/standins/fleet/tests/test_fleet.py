"""Tests of the fleet of child processes."""

import signal
import urllib.error

import pytest

from mustardwood.standins import fleet as fleet_package
from mustardwood.standins.fleet import http_calls


@pytest.mark.processes
def test_children_can_be_suspended_killed_restarted_and_stopped():
    with fleet_package.Fleet("127.91.1") as fleet:
        fleet.start_platform()
        engine = fleet.start_engine(1, "small")
        service = fleet.start_service(1)
        fleet.set_faults("platform", outage=True)
        with pytest.raises(urllib.error.HTTPError):
            fleet.read_json("platform", "/vms")
        fleet.set_faults("platform", outage=False)
        assert fleet.read_json("platform", "/vms") == {"vms": []}
        engine.freeze()
        assert not http_calls.wait_for_status_ok(engine.url + "/healthz", 1.0)
        engine.resume()
        fleet.wait_until_healthy("engine-1")
        engine.kill()
        assert engine.wait(0) == -signal.SIGKILL
        fleet.restart("engine-1")
        service.terminate()
        assert service.wait(10) == 0
        with pytest.raises(OSError):
            fleet.set_faults("engine-1", crash=True, crash_mode="exit")
        assert engine.wait(10) == 70
        platform = fleet.children["platform"]
        folder = fleet.folder
    assert not platform.is_running
    assert not folder.exists()


@pytest.mark.processes
def test_error_of_a_child_that_does_not_start_has_its_name_and_log():
    with fleet_package.Fleet("127.91.2") as fleet:
        with pytest.raises(fleet_package.FleetError,
                           match="(?s)engine-1.*option"):
            fleet.start_engine(1, "small", "--no-such-option")
