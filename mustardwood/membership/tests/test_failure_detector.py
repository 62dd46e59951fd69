"""Tests of failure detection on a simulated network, in virtual time."""

import datetime

import msgspec
import pytest

from mustardwood import messages
from mustardwood.membership.tests import network

ALIVE = messages.MemberState.ALIVE
SUSPECT = messages.MemberState.SUSPECT
LEAVING = messages.MemberState.LEAVING
DEAD = messages.MemberState.DEAD


def _are_all_alive(fleet: network.Network) -> bool:
    return all(each.state is ALIVE
               for detector in fleet.detectors.values()
               for each in detector.members())


def _find_refuting_vms(fleet: network.Network) -> set[str]:
    return {
        each.vm
        for detector in fleet.detectors.values()
        for each in detector.members()
        if each.incarnation > 1
    }


@pytest.mark.parametrize("seed", range(10))
def test_failed_vm_is_dead_on_all_9_vms_within_2_s(seed):
    fleet = network.Network(9, seed)
    fleet.run(3)
    del fleet.detectors["vm4"]
    fleet.run_until(lambda: fleet.states("vm4") == {DEAD}, 2.0)


def test_failed_vm_is_dead_on_all_400_vms_within_20_s():
    fleet = network.Network(400, 1, loss=0.01)
    fleet.run(5)
    before = sum(fleet.sent_count.values())
    del fleet.detectors["vm77"]
    fleet.run_until(lambda: fleet.states("vm77") == {DEAD}, 20.0)
    fleet.run(1)
    assert before > 0
    others = {
        each.state
        for detector in list(fleet.detectors.values())[::40]
        for each in detector.members()
        if each.vm != "vm77"
    }
    assert DEAD not in others


def test_message_rate_of_a_vm_is_bounded_at_400_vms():
    fleet = network.Network(400, 2)
    fleet.run(4)
    before = dict(fleet.sent_count)
    fleet.run(5)
    per_second = [
        (fleet.sent_count[vm] - before[vm]) / 5 for vm in fleet.detectors
    ]
    assert sum(per_second) / len(per_second) <= 3
    assert max(per_second) <= 12


@pytest.mark.parametrize("seed", range(3))
def test_false_positives_at_5_percent_loss_end_within_3_s(seed):
    fleet = network.Network(9, seed, loss=0.05)
    for _ in range(20):
        fleet.run(5)
        fleet.run_until(lambda: _are_all_alive(fleet), 3.0)


def test_suspected_vm_refutes_with_a_higher_incarnation():
    fleet = network.Network(9, 3)
    fleet.run(2)
    first = fleet.detectors["vm0"]
    known = next(each for each in first.members() if each.vm == "vm5")
    suspicion = msgspec.structs.replace(known, state=SUSPECT)
    ping = messages.Ping(10**6, 0, (suspicion,))
    peer = messages.Peer("127.9.0.2", messages.Role.AGENT)
    fleet.send("vm0", first.handle_ping(peer, ping, fleet.now))
    assert network.find_state(first, "vm5") is SUSPECT
    fleet.run(0.5)
    assert fleet.states("vm5") == {ALIVE}
    found = next(each for each in first.members() if each.vm == "vm5")
    assert found.incarnation > known.incarnation


def test_restarted_vm_is_alive_again_with_a_higher_incarnation():
    fleet = network.Network(9, 4)
    fleet.run(2)
    del fleet.detectors["vm2"]
    fleet.run_until(lambda: fleet.states("vm2") == {DEAD}, 3.0)
    fleet.start("vm2", incarnation=1000)
    fleet.run_until(lambda: fleet.states("vm2") == {ALIVE}, 2.0)
    fleet.run(5)
    assert _are_all_alive(fleet)


def test_partition_is_detected_and_recovers():
    fleet = network.Network(9, 5)
    fleet.run(2)
    first_group = {"vm0", "vm1", "vm2", "vm3"}
    fleet.is_link_cut = lambda a, b: (a in first_group) != (b in first_group)
    fleet.run(5)
    assert network.find_state(fleet.detectors["vm0"], "vm8") is DEAD
    assert network.find_state(fleet.detectors["vm8"], "vm0") is DEAD
    assert network.find_state(fleet.detectors["vm0"], "vm1") is ALIVE
    fleet.is_link_cut = lambda *_: False
    fleet.run_until(lambda: _are_all_alive(fleet), 15.0)


def test_one_cut_link_causes_no_suspicion():
    fleet = network.Network(9, 6)
    fleet.run(2)
    fleet.is_link_cut = lambda a, b: {a, b} == {"vm0", "vm1"}
    for _ in range(100):
        fleet.run(0.1)
        assert fleet.states("vm0") | fleet.states("vm1") == {ALIVE}
    assert _find_refuting_vms(fleet) == set()


@pytest.mark.parametrize("seed", range(5))
def test_resumed_vm_suspects_nobody_and_is_alive_again(seed):
    """Guards against false suspicions by a VM that was suspended for 10 s.

    It sees that its probes had no response, which is due to its own pause.
    """
    fleet = network.Network(9, seed)
    fleet.run(2)
    fleet.suspended.add("vm3")
    fleet.run(10)
    assert fleet.states("vm3") == {DEAD}
    fleet.suspended.clear()
    for _ in range(50):
        fleet.run(0.1)
        for vm in fleet.detectors.keys() - {"vm3"}:
            assert fleet.states(vm) == {ALIVE}
    fleet.run_until(lambda: _are_all_alive(fleet), 10.0)
    assert _find_refuting_vms(fleet) == {"vm3"}


def test_paused_vm_ignores_responses_missing_during_the_pause():
    fleet = network.Network(9, 13)
    detector = fleet.detectors["vm0"]
    assert detector.tick(fleet.now)
    later = fleet.now + datetime.timedelta(seconds=10)
    detector.tick(later)
    detector.tick(later + datetime.timedelta(seconds=0.1))
    assert all(each.state is ALIVE for each in detector.members())


def test_announced_leaving_reaches_all_vms_within_100_ms():
    fleet = network.Network(9, 8)
    fleet.run(2)
    fleet.send("vm1", fleet.detectors["vm1"].announce_leaving(fleet.now))
    fleet.run(0.1)
    assert fleet.states("vm1") == {LEAVING}


def test_unresponsive_vm_is_probed_at_once_and_only_once():
    fleet = network.Network(400, 9)
    detector = fleet.detectors["vm0"]
    fleet.run(1)
    out = detector.probe_now("vm9", fleet.now)
    assert [each.peer.ip for each in out] == ["127.9.0.10"]
    assert detector.probe_now("vm9", fleet.now) == ()


def test_vm_missing_from_the_list_stays_while_it_responds():
    fleet = network.Network(9, 10)
    fleet.run(2)
    shorter = fleet.records[:-1]
    for _ in range(30):
        for vm, detector in fleet.detectors.items():
            fleet.send(vm, detector.update_list(shorter, fleet.now))
        fleet.run(5)
    assert fleet.states("vm8") == {ALIVE}
    del fleet.detectors["vm8"]
    fleet.run(70)
    assert fleet.states("vm8") == {None}


def test_listed_vm_that_never_responds_is_dead_and_stays_in_the_table():
    fleet = network.Network(9, 11)
    del fleet.detectors["vm6"]
    fleet.run(100)
    assert fleet.states("vm6") == {DEAD}


def test_leaving_mark_read_by_one_vm_reaches_all_vms():
    fleet = network.Network(9, 12)
    fleet.run(2)
    marked = tuple(
        msgspec.structs.replace(each, leaving=each.vm == "vm7")
        for each in fleet.records)
    informed = fleet.detectors["vm0"]
    fleet.send("vm0", informed.update_list(marked, fleet.now))
    fleet.run_until(lambda: fleet.states("vm7") == {LEAVING}, 3.0)
