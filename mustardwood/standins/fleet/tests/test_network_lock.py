"""Tests of the lock that keeps two fleets from the same addresses."""

import datetime
import subprocess
import sys

import pytest

from mustardwood.standins import fleet as fleet_package
from mustardwood.standins.fleet import network_lock

_SHORT = datetime.timedelta(seconds=0.2)
_LONG = datetime.timedelta(seconds=20)


def test_network_is_used_by_one_fleet_at_a_time(tmp_path):
    """Two runs of the tests at once failed with addresses in use."""
    first = network_lock.NetworkLock("127.91.3", tmp_path)
    first.acquire(_SHORT)
    network_lock.NetworkLock("127.91.4", tmp_path).acquire(_SHORT)
    with pytest.raises(fleet_package.FleetError, match="127.91.3.0/24"):
        network_lock.NetworkLock("127.91.3", tmp_path).acquire(_SHORT)
    first.release()
    network_lock.NetworkLock("127.91.3", tmp_path).acquire(_SHORT)


def test_network_of_a_killed_process_is_free(tmp_path):
    source = f"""
import datetime, pathlib, time
from mustardwood.standins.fleet import network_lock
lock = network_lock.NetworkLock("127.91.3", pathlib.Path({str(tmp_path)!r}))
lock.acquire(datetime.timedelta())
print("locked", flush=True)
time.sleep(60)
"""
    with subprocess.Popen([sys.executable, "-c", source],
                          stdout=subprocess.PIPE) as process:
        assert process.stdout.readline() == b"locked\n"
        with pytest.raises(fleet_package.FleetError):
            network_lock.NetworkLock("127.91.3", tmp_path).acquire(_SHORT)
        process.kill()
    network_lock.NetworkLock("127.91.3", tmp_path).acquire(_LONG)
