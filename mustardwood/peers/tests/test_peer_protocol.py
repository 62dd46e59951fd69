"""What a VM concludes from its peers' messages."""

import datetime
import random

from mustardwood import dispatch
from mustardwood import peers
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module

_LONGEST = datetime.timedelta(seconds=5)
_MARGIN = datetime.timedelta(milliseconds=500)


def _ms(count):
    return datetime.timedelta(milliseconds=count)


class _Vm:

    def __init__(self, name, seed=1):
        self.name = name
        self.clock = timing.ManualClock()
        self.loads = dispatch.LoadTable(self.clock)
        self.proof = dispatch.FreshnessProof(self.clock, _LONGEST, _MARGIN)
        self.memory = dispatch.PrefixCacheIndex(self.clock)
        self.crashes = dispatch.CrashRecord(self.clock)
        self.exchange = peers.PeerProtocol(name, self.clock, self.loads,
                                           self.memory, self.crashes,
                                           self.proof, random.Random(seed))
        self.revision = 10

    def build_update(self, other):
        """Returns a message for another VM."""
        return self.exchange.build_updates([other.name], self.revision)[0][1]

    def receive(self, data):
        """Takes over a message."""
        return self.exchange.receive_update(data, self.revision)


def _advance(span, *vms):
    for each in vms:
        each.clock.advance(span)


def test_peers_proof_is_taken_over():
    cut, sound = _Vm("cut"), _Vm("sound", 2)
    question = cut.build_update(sound)
    _advance(_ms(100), cut, sound)
    sound.proof.record(sound.clock.monotonic())
    sound.receive(question)
    _advance(_ms(100), cut, sound)
    cut.receive(sound.build_update(cut))
    # The proof is at least as new as the question that the peer answered.
    assert cut.proof.get_age() == _ms(200)


def test_peers_old_proof_stays_old():
    cut, sound = _Vm("cut"), _Vm("sound", 2)
    sound.proof.record(sound.clock.monotonic())
    _advance(_ms(3000), cut, sound)
    sound.receive(cut.build_update(sound))
    cut.receive(sound.build_update(cut))
    assert cut.proof.get_age() == _ms(3000)


def test_message_that_waited_through_suspension_proves_nothing_new():
    frozen, sound = _Vm("frozen"), _Vm("sound", 2)
    sound.receive(frozen.build_update(sound))
    sound.proof.record(sound.clock.monotonic())
    late = sound.build_update(frozen)
    _advance(_ms(8000), frozen, sound)
    frozen.receive(late)
    assert frozen.proof.get_age() == _ms(8000)
    assert not frozen.proof.is_current()


def test_proof_of_newer_configuration_does_not_count_for_an_older_one():
    behind, ahead = _Vm("behind"), _Vm("ahead", 2)
    ahead.revision = 11
    ahead.receive(behind.build_update(ahead))
    ahead.proof.record(ahead.clock.monotonic())
    behind.receive(ahead.build_update(behind))
    assert behind.proof.get_age() is None


def test_message_without_echo_proves_nothing():
    new, sound = _Vm("new"), _Vm("sound", 2)
    sound.proof.record(sound.clock.monotonic())
    new.receive(sound.build_update(new))
    assert new.proof.get_age() is None


def test_echo_from_before_a_restart_names_no_message_of_the_new_process():
    old, sound = _Vm("vm"), _Vm("sound", 2)
    sound.receive(old.build_update(sound))
    sound.proof.record(sound.clock.monotonic())
    restarted = _Vm("vm", 3)
    restarted.build_update(sound)
    restarted.receive(sound.build_update(old))
    assert restarted.proof.get_age() is None


def test_repeated_and_reordered_messages_are_dropped():
    here, there = _Vm("here"), _Vm("there", 2)
    here.receive(there.build_update(here))
    there.receive(here.build_update(there))
    there.loads.add("engine-1", dispatch.EndpointLoad(requests=1))
    first = there.build_update(here)
    there.loads.add("engine-1", dispatch.EndpointLoad(requests=1))
    second = there.build_update(here)
    assert here.receive(second) is not None
    assert here.receive(first) is None
    assert here.receive(second) is None
    assert here.loads.find_load("engine-1").requests == 2


def test_restarted_peer_is_heard_again():
    here, there = _Vm("here"), _Vm("there", 2)
    here.receive(there.build_update(here))
    restarted = _Vm("there", 4)
    restarted.loads.add("engine-1", dispatch.EndpointLoad(requests=3))
    assert here.receive(restarted.build_update(here)) is not None
    assert here.loads.find_load("engine-1").requests == 3


def test_subject_that_left_its_home_is_told_to_peers():
    here, there = _Vm("here"), _Vm("there", 2)
    request = harness_module.make_long_request(harness_module.Harness(),
                                               "subject")
    there.memory.record_request("engine-1", request, is_preferred=True)
    there.memory.record_request("engine-2", request, is_preferred=False)
    here.receive(there.build_update(here))
    assert "engine-2" in here.memory.list_holders(request)
    assert "engine-1" not in here.memory.list_holders(request)
    _advance(_ms(1100), here, there)
    assert not there.memory.list_moves()


def test_unreadable_datagram_is_ignored():
    here = _Vm("here")
    assert here.receive(b"\xc1garbage") is None
    assert here.receive(b"") is None


def test_unchanged_work_counts_while_it_is_told():
    here, there = _Vm("here"), _Vm("there", 2)
    there.loads.add("engine-1", dispatch.EndpointLoad(requests=3))
    for _ in range(5):
        here.receive(there.build_update(here))
        assert here.loads.find_load("engine-1").requests == 3
        _advance(_ms(800), here, there)


def test_unchanged_work_counts_again_after_a_gap():
    here, there = _Vm("here"), _Vm("there", 2)
    there.loads.add("engine-1", dispatch.EndpointLoad(requests=3))
    here.receive(there.build_update(here))
    _advance(_ms(3000), here, there)
    assert here.loads.find_load("engine-1").requests == 0
    here.receive(there.build_update(here))
    assert here.loads.find_load("engine-1").requests == 3


def test_message_with_an_unreadable_report_is_dropped():
    here, there = _Vm("here"), _Vm("there", 2)
    message = there.build_update(here)
    assert here.receive(message[:-1] + b"\xc1") is None


def test_requests_that_crash_endpoints_are_known_to_all_vms():
    vms = [_Vm(name, seed) for seed, name in enumerate("abc")]
    for number, vm in enumerate(vms):
        vm.crashes.record_crash("poison", f"engine-{number}")
        for other in vms:
            if other is not vm:
                other.receive(vm.build_update(other))
    assert all(vm.crashes.is_blocked("poison") for vm in vms)
