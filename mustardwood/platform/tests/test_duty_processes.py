"""Tests of the election with real processes."""

import base64
import json
import time

import pytest

from mustardwood.platform import duty_leadership
from mustardwood.platform.tests import documents
from mustardwood.platform.tests import earlier_builds
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

pytestmark = pytest.mark.processes

_CLOUD_API = """
[cloud_api]
address = "127.0.0.1:9"
duties = ["usage_report", "compact"]
"""
_MAX_TAKEOVER_SECONDS = 5.0
"""Time within which a killed holder must be replaced."""


class _Fleet:
    """A store, an endpoint, and three VMs with duties."""

    def __init__(self, folder):
        self.store = fake_servers.FakeStore()
        self.store.put("op/config", documents.make_document())
        endpoint = fake_servers.FakeEndpoint()
        self.store.put("servers/i-1",
                       documents.make_registration(address=endpoint.address))
        self.vms = {
            name: process_fleet.Vm(folder, name, self.store, _CLOUD_API)
            for name in ("vm-1", "vm-2", "vm-3")
        }

    def find_holder(self):
        """Returns the VM that the key names; None if there is none."""
        item = self.store.find(duty_leadership.LEADER_KEY)
        if item is None:
            return None
        value = json.loads(base64.b64decode(item["value"]))
        return self.vms[value["holder"]]

    def wait_for_successor(self, previous):
        """Waits until all VMs know another holder; returns it."""
        process_fleet.wait_until(lambda: self.find_holder() not in
                                 (None, previous))
        holder = self.find_holder()
        process_fleet.wait_until(lambda: all(
            self._find_known_holder(vm) == holder.name for vm in self.vms.
            values() if vm is not previous))
        return holder

    def _find_known_holder(self, vm):
        """Returns the holder that a VM knows; None before it knows one."""
        known = vm.find_events("duty_holder")
        return known[-1]["holder"] if known else None

    def find_token(self, holder):
        """Returns the token of the present term, from the holder's log."""
        return holder.find_events("duty_holder")[-1]["token"]


@pytest.fixture(name="fleet")
def _make_fleet(tmp_path):
    fleet = _Fleet(tmp_path)
    for vm in fleet.vms.values():
        vm.start()
    yield fleet
    for vm in fleet.vms.values():
        vm.kill()


def test_term_moves_when_its_holder_is_terminated_frozen_or_killed(fleet):
    """Real clocks, leases and signals; tokens increase with each holder."""
    first = fleet.wait_for_successor(None)
    token = fleet.find_token(first)
    assert first.find_events("duties_unknown")[0]["duties"] == ["compact"]

    first.suspend()
    second = fleet.wait_for_successor(first)
    assert fleet.find_token(second) > token
    first.resume()
    process_fleet.wait_until(lambda: first.find_events("term_ended"))
    assert first.find_events("term_ended")[0]["reason"] == "expired"
    process_fleet.wait_until(
        lambda: first.find_events("duty_holder")[-1]["holder"] == second.name)
    assert fleet.find_holder() is second

    token = fleet.find_token(second)
    killed_at = time.monotonic()
    second.kill()
    third = fleet.wait_for_successor(second)
    assert time.monotonic() - killed_at < _MAX_TAKEOVER_SECONDS
    assert fleet.find_token(third) > token

    token = fleet.find_token(third)
    third.stop()
    process_fleet.wait_until(lambda: third.find_events("term_ended"))
    assert third.find_events("term_ended")[-1]["reason"] == "stopped"
    process_fleet.wait_until(lambda: fleet.find_holder() not in (None, third))
    assert fleet.find_holder() is first
    assert third.wait() == 0


def test_term_ends_while_the_store_is_away_and_is_acquired_again(fleet):
    """Nobody can renew the lease, and another VM could get it afterwards."""
    holder = fleet.wait_for_successor(None)
    token = fleet.find_token(holder)
    fleet.store.is_unavailable = True
    process_fleet.wait_until(lambda: holder.find_events("term_ended"))
    assert holder.find_events("term_ended")[0]["reason"] == "expired"
    time.sleep(1.0)
    fleet.store.is_unavailable = False
    process_fleet.wait_until(lambda: fleet.find_holder() is not None and fleet.
                             find_token(fleet.find_holder()) > token)
    successor = fleet.find_holder()
    time.sleep(2.0)
    assert fleet.find_holder() is successor
    assert not any(vm.find_events("error") for vm in fleet.vms.values())


@pytest.mark.parametrize("commit", ["aad01d3", "97eff80"])
def test_duties_are_handed_over_to_another_build_and_back(tmp_path, commit):
    """VMs are replaced one after the other; the key is read by both builds."""
    source = None
    try:
        source = earlier_builds.extract_build(commit, tmp_path / commit)
    except earlier_builds.BuildError as error:
        pytest.skip(str(error))
    fleet = _Fleet(tmp_path)
    try:
        for vm in fleet.vms.values():
            vm.source = source
            vm.start()
        holder = fleet.wait_for_successor(None)
        for build in (None, None, source):
            token = fleet.find_token(holder)
            holder.stop()
            successor = fleet.wait_for_successor(holder)
            assert holder.wait() == 0
            assert fleet.find_token(successor) > token
            holder.source = build
            holder.start()
            holder = successor
        assert not any(vm.find_events("error") for vm in fleet.vms.values())
    finally:
        for vm in fleet.vms.values():
            vm.kill()
