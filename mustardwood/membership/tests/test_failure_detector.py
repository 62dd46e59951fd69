"""Tests of failure detection in virtual time."""

import datetime

import msgspec
import pytest

from mustardwood import messages
from mustardwood.membership.tests import network

ALIVE = messages.MemberState.ALIVE
SUSPECT = messages.MemberState.SUSPECT
LEAVING = messages.MemberState.LEAVING
DEAD = messages.MemberState.DEAD


def _all_alive(fleet: network.Network) -> bool:
    return all(each.state is ALIVE
               for detector in fleet.detectors.values()
               for each in detector.members())


def _had_to_refute(fleet: network.Network) -> set[str]:
    return {
        each.vm
        for detector in fleet.detectors.values()
        for each in detector.members()
        if each.incarnation > 1
    }


@pytest.mark.parametrize("seed", range(10))
def test_lost_vm_is_dead_everywhere_within_2_s_at_9_vms(seed):
    fleet = network.Network(9, seed)
    fleet.run(3)
    del fleet.detectors["vm4"]
    fleet.run_until(lambda: fleet.states("vm4") == {DEAD}, 2.0)


def test_lost_vm_is_dead_everywhere_within_20_s_at_400_vms():
    fleet = network.Network(400, 1, loss=0.01)
    fleet.run(5)
    before = sum(fleet.sent.values())
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


def test_messages_of_a_vm_are_bounded_at_400_vms():
    fleet = network.Network(400, 2)
    fleet.run(4)
    before = dict(fleet.sent)
    fleet.run(5)
    per_second = [(fleet.sent[vm] - before[vm]) / 5 for vm in fleet.detectors]
    assert sum(per_second) / len(per_second) <= 3
    assert max(per_second) <= 12


@pytest.mark.parametrize("seed", range(3))
def test_loss_of_5_percent_leaves_no_lasting_false_positive(seed):
    fleet = network.Network(9, seed, loss=0.05)
    for _ in range(20):
        fleet.run(5)
        fleet.run_until(lambda: _all_alive(fleet), 3.0)


def test_suspected_vm_refutes():
    fleet = network.Network(9, 3)
    fleet.run(2)
    first = fleet.detectors["vm0"]
    held = next(each for each in first.members() if each.vm == "vm5")
    wrong = msgspec.structs.replace(held, state=SUSPECT)
    ping = messages.Ping(10**6, 0, (wrong,))
    peer = messages.Peer("127.9.0.2", messages.Role.AGENT)
    fleet.send("vm0", first.accept_ping(peer, ping, fleet.now))
    assert network.find_state(first, "vm5") is SUSPECT
    fleet.run(0.5)
    assert fleet.states("vm5") == {ALIVE}
    found = next(each for each in first.members() if each.vm == "vm5")
    assert found.incarnation > held.incarnation


def test_restarted_vm_is_alive_again_with_a_higher_incarnation():
    fleet = network.Network(9, 4)
    fleet.run(2)
    del fleet.detectors["vm2"]
    fleet.run_until(lambda: fleet.states("vm2") == {DEAD}, 3.0)
    fleet.start("vm2", incarnation=1000)
    fleet.run_until(lambda: fleet.states("vm2") == {ALIVE}, 2.0)
    fleet.run(5)
    assert _all_alive(fleet)


def test_partition_is_seen_and_heals():
    fleet = network.Network(9, 5)
    fleet.run(2)
    left = {"vm0", "vm1", "vm2", "vm3"}
    fleet.cut = lambda a, b: (a in left) != (b in left)
    fleet.run(5)
    assert network.find_state(fleet.detectors["vm0"], "vm8") is DEAD
    assert network.find_state(fleet.detectors["vm8"], "vm0") is DEAD
    assert network.find_state(fleet.detectors["vm0"], "vm1") is ALIVE
    fleet.cut = lambda *_: False
    fleet.run_until(lambda: _all_alive(fleet), 15.0)


def test_one_cut_link_makes_nobody_suspected():
    fleet = network.Network(9, 6)
    fleet.run(2)
    fleet.cut = lambda a, b: {a, b} == {"vm0", "vm1"}
    for _ in range(100):
        fleet.run(0.1)
        assert fleet.states("vm0") | fleet.states("vm1") == {ALIVE}
    assert _had_to_refute(fleet) == set()


@pytest.mark.parametrize("seed", range(5))
def test_woken_vm_suspects_nobody_and_is_alive_again(seed):
    fleet = network.Network(9, seed)
    fleet.run(2)
    fleet.frozen.add("vm3")
    fleet.run(10)
    assert fleet.states("vm3") == {DEAD}
    fleet.frozen.clear()
    for _ in range(50):
        fleet.run(0.1)
        for vm in fleet.detectors.keys() - {"vm3"}:
            assert fleet.states(vm) == {ALIVE}
    fleet.run_until(lambda: _all_alive(fleet), 10.0)
    assert _had_to_refute(fleet) == {"vm3"}


def test_vm_that_was_paused_does_not_count_the_silence_of_that_time():
    fleet = network.Network(9, 13)
    detector = fleet.detectors["vm0"]
    assert detector.tick(fleet.now)
    later = fleet.now + datetime.timedelta(seconds=10)
    detector.tick(later)
    detector.tick(later + datetime.timedelta(seconds=0.1))
    assert all(each.state is ALIVE for each in detector.members())


def test_planned_stop_is_leaving_everywhere_at_once():
    fleet = network.Network(9, 8)
    fleet.run(2)
    fleet.send("vm1", fleet.detectors["vm1"].announce_leaving(fleet.now))
    fleet.run(0.1)
    assert fleet.states("vm1") == {LEAVING}


def test_silence_brings_the_probe_forward():
    fleet = network.Network(400, 9)
    detector = fleet.detectors["vm0"]
    fleet.run(1)
    out = detector.probe_now("vm9", fleet.now)
    assert [each.peer.ip for each in out] == ["127.9.0.10"]
    assert detector.probe_now("vm9", fleet.now) == ()


def test_vm_that_the_list_lost_stays_while_it_answers():
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


def test_listed_vm_that_never_answers_is_dead_and_stays_listed():
    fleet = network.Network(9, 11)
    del fleet.detectors["vm6"]
    fleet.run(100)
    assert fleet.states("vm6") == {DEAD}


def test_vm_marked_as_leaving_in_one_list_is_leaving_everywhere():
    fleet = network.Network(9, 12)
    fleet.run(2)
    marked = tuple(
        msgspec.structs.replace(each, leaving=each.vm == "vm7")
        for each in fleet.records)
    watcher = fleet.detectors["vm0"]
    fleet.send("vm0", watcher.update_list(marked, fleet.now))
    fleet.run_until(lambda: fleet.states("vm7") == {LEAVING}, 3.0)
