"""Tests that the real process orders endpoints at a fake API."""

import json
import os
import subprocess
import sys
import time

import pytest

from mustardwood.platform import scaling_settings
from mustardwood.platform import settings
from mustardwood.platform import store_watcher
from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_duty_api
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import port_block

pytestmark = pytest.mark.processes

_TIMEOUT_SECONDS = 20.0
"""Time after which a test stops waiting for an order."""
_QUIET_SECONDS = 6.0
"""Time in which no order may arrive; a term begins within about 4 s."""
_SCALING = {
    "min_replicas": 1,
    "max_replicas": 20,
    "boot_time_s": 4.0,
    "preemptible_price": 0.22,
    "zone_pricing": {
        "a": 0.85,
        "b": 1.2
    }
}


class _Vm:

    def __init__(self, tmp_path, store, api, **environment):
        host, port = api.address
        callers, ready, peers = port_block.find_free_ports(3)
        path = tmp_path / "settings.toml"
        path.write_text(f"""
node_name = "vm-1"
zone = "a"
ip = "127.0.0.1"
[listen]
front_addr = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
control_plane = "127.0.0.1:{peers}"
[platform]
address = "{store.address}"
[cloud_api]
address = "{host}:{port}"
duties = ["autoscale"]
""",
                        encoding="utf-8")
        self._log_path = tmp_path / "vm.log"
        with open(self._log_path, "wb") as log:
            self._process = subprocess.Popen(  # pylint: disable=consider-using-with
                [sys.executable, "-m", "mustardwood.platform"],
                env={
                    **os.environ, settings.PATH_VARIABLE: str(path),
                    **environment
                },
                stdout=log)

    def stop(self):
        """Kills the process."""
        self._process.kill()
        self._process.wait()

    def read_events(self, event):
        """Returns the log lines of an event."""
        lines = self._log_path.read_text(encoding="utf-8").splitlines()
        return [
            each for each in map(json.loads, lines) if each["event"] == event
        ]


@pytest.fixture(name="store")
def _make_store():
    store = fake_servers.FakeStore()
    store.put(
        store_watcher.CONFIGURATION_KEY,
        documents.make_document(services=[{
            "name": "engine",
            "scaling": _SCALING
        }, {
            "name": "api",
            "scaling": {
                "max_replicas": -1
            }
        }]))
    for number in range(12):
        store.put(
            f"servers/e{number}",
            documents.make_registration(service="engine",
                                        zone="ab"[number % 2],
                                        address=f"192.0.2.5:{8000 + number}"))
    return store


@pytest.fixture(name="api")
def _make_api():
    api = fake_duty_api.FakeDutyApi()
    yield api
    api.stop()


def test_holder_orders_preemptible_endpoints_soon(tmp_path, store, api):
    vm = _Vm(tmp_path, store, api)
    try:
        deadline = time.monotonic() + _TIMEOUT_SECONDS
        while len(api.calls) < 2 and time.monotonic() < deadline:
            time.sleep(0.05)
        assert len(api.calls) >= 2
        for path, headers, body in api.calls:
            assert path == "/scale"
            assert headers["mustardwood-duty-holder"] == "vm-1"
            assert body["service"] == "engine"
            assert body["preemptible"] is True
        assert {body["zone"] for _, _, body in api.calls} == {"a", "b"}
        assert vm.read_events("endpoint_order")[0]["reason"] == "reserve"
        rejected, = vm.read_events("configuration_part_rejected")
        assert "'api'" in rejected["error"]
    finally:
        vm.stop()


def test_switched_off_process_orders_nothing(tmp_path, store, api):
    vm = _Vm(tmp_path, store, api, **{scaling_settings.ORDERS_VARIABLE: "0"})
    try:
        deadline = time.monotonic() + _TIMEOUT_SECONDS
        while (not vm.read_events("scaling_settings") and
               time.monotonic() < deadline):
            time.sleep(0.05)
        time.sleep(_QUIET_SECONDS)
        assert vm.read_events("scaling_settings")
        assert not api.calls
    finally:
        vm.stop()
