"""Tests of the updates that VMs exchange with their peers."""

import datetime
import random

import msgspec
import pytest

from mustardwood import dispatch
from mustardwood import peers
from mustardwood import profiles
from mustardwood import timing
from mustardwood import usage as usage_module
from mustardwood.dispatch.tests import harness as harness_module

_KEY_REMOVAL_TIME = datetime.timedelta(seconds=5)
_MARGIN = datetime.timedelta(milliseconds=500)


def _ms(count):
    return datetime.timedelta(milliseconds=count)


_STREAM = b"a stream"
"""Key of a stream."""
_USAGE_INDEX = 9
"""Index of the field of an update for usage; that of the format follows."""


class _Vm:

    def __init__(self, name, seed=1, usage=None):
        self.name = name
        self.clock = timing.ManualClock()
        self.loads = dispatch.LoadTable(self.clock)
        self.proof = dispatch.FreshnessProof(self.clock, _KEY_REMOVAL_TIME,
                                             _MARGIN)
        self.prefix_caches = dispatch.PrefixCacheIndex(self.clock)
        self.crashes = dispatch.CrashRecord(self.clock)
        self.part_crashes = dispatch.PromptPartCrashes(self.clock,
                                                       random.Random(name))
        self.streams = dispatch.StreamVersionTable(self.clock)
        self.rate_limits = dispatch.EndpointRateLimits(name, self.clock, lambda:
                                                       ())
        self.notices = dispatch.EndpointNotices(name, self.clock)
        self.admission = dispatch.TierAdmission(self.clock, self.loads,
                                                self.rate_limits,
                                                dispatch.PlacementSettings())
        self.profile_problems = []
        self.profiles = profiles.EngineProfiles(
            self.clock,
            handle_rejection=lambda *problem: self.profile_problems.append(
                problem))
        self.protocol = peers.PeerProtocol(name, self.clock, self.loads,
                                           self.prefix_caches, self.crashes,
                                           self.part_crashes, self.proof,
                                           random.Random(seed), self.streams,
                                           self.rate_limits, self.notices,
                                           self.admission, self.profiles, usage)
        self.configuration = peers.ConfigurationPosition(7, 0, 10)

    def build_update(self, other):
        """Returns an update for another VM."""
        return self.protocol.build_updates([other.name],
                                           self.configuration)[0][1]

    def receive(self, data):
        """Processes an update."""
        return self.protocol.receive_update(data, self.configuration)


def _advance(duration, *vms):
    for each in vms:
        each.clock.advance(duration)


def test_proof_of_a_peer_is_adopted():
    isolated, connected = _Vm("isolated"), _Vm("connected", 2)
    echoed = isolated.build_update(connected)
    _advance(_ms(100), isolated, connected)
    connected.proof.record(connected.clock.monotonic())
    connected.receive(echoed)
    _advance(_ms(100), isolated, connected)
    isolated.receive(connected.build_update(isolated))
    # The adopted proof is dated at the send time of the echoed message.
    assert isolated.proof.get_age() == _ms(200)


def test_old_proof_of_a_peer_keeps_its_age():
    isolated, connected = _Vm("isolated"), _Vm("connected", 2)
    connected.proof.record(connected.clock.monotonic())
    _advance(_ms(3000), isolated, connected)
    connected.receive(isolated.build_update(connected))
    isolated.receive(connected.build_update(isolated))
    assert isolated.proof.get_age() == _ms(3000)


def test_update_delayed_by_a_suspension_does_not_renew_the_proof():
    suspended, connected = _Vm("suspended"), _Vm("connected", 2)
    connected.receive(suspended.build_update(connected))
    connected.proof.record(connected.clock.monotonic())
    delayed = connected.build_update(suspended)
    _advance(_ms(8000), suspended, connected)
    suspended.receive(delayed)
    assert suspended.proof.get_age() == _ms(8000)
    assert not suspended.proof.is_current()


def test_proof_for_a_newer_configuration_is_not_adopted():
    outdated, updated = _Vm("outdated"), _Vm("updated", 2)
    updated.configuration = peers.ConfigurationPosition(7, 0, 11)
    updated.receive(outdated.build_update(updated))
    updated.proof.record(updated.clock.monotonic())
    outdated.receive(updated.build_update(outdated))
    assert outdated.proof.get_age() is None


def test_update_without_echo_carries_no_proof():
    new, connected = _Vm("new"), _Vm("connected", 2)
    connected.proof.record(connected.clock.monotonic())
    new.receive(connected.build_update(new))
    assert new.proof.get_age() is None


def test_echo_of_a_message_from_before_a_restart_carries_no_proof():
    old, connected = _Vm("vm"), _Vm("connected", 2)
    connected.receive(old.build_update(connected))
    connected.proof.record(connected.clock.monotonic())
    restarted = _Vm("vm", 3)
    restarted.build_update(connected)
    restarted.receive(connected.build_update(old))
    assert restarted.proof.get_age() is None


def test_duplicate_and_reordered_updates_are_dropped():
    local, remote = _Vm("local"), _Vm("remote", 2)
    local.receive(remote.build_update(local))
    remote.receive(local.build_update(remote))
    remote.loads.add("engine-1", dispatch.EndpointLoad(requests=1))
    first = remote.build_update(local)
    remote.loads.add("engine-1", dispatch.EndpointLoad(requests=1))
    second = remote.build_update(local)
    assert local.receive(second) is not None
    assert local.receive(first) is None
    assert local.receive(second) is None
    assert local.loads.find_load("engine-1").requests == 2


def test_updates_of_a_restarted_peer_are_accepted():
    local, remote = _Vm("local"), _Vm("remote", 2)
    local.receive(remote.build_update(local))
    restarted = _Vm("remote", 4)
    restarted.loads.add("engine-1", dispatch.EndpointLoad(requests=3))
    assert local.receive(restarted.build_update(local)) is not None
    assert local.loads.find_load("engine-1").requests == 3


def test_prefix_sent_to_another_than_its_preferred_endpoint_is_reported():
    local, remote = _Vm("local"), _Vm("remote", 2)
    request = harness_module.make_long_request(harness_module.Harness(),
                                               "subject")
    remote.prefix_caches.record_request("engine-1", request, is_preferred=True)
    remote.prefix_caches.record_request("engine-2", request, is_preferred=False)
    local.receive(remote.build_update(local))
    assert "engine-2" in local.prefix_caches.list_holders(request)
    assert "engine-1" not in local.prefix_caches.list_holders(request)
    _advance(_ms(1100), local, remote)
    assert not remote.prefix_caches.list_moves()


def test_malformed_datagram_is_ignored():
    local = _Vm("local")
    assert local.receive(b"\xc1garbage") is None
    assert local.receive(b"") is None


def test_unchanged_load_stays_valid_while_updates_arrive():
    local, remote = _Vm("local"), _Vm("remote", 2)
    remote.loads.add("engine-1", dispatch.EndpointLoad(requests=3))
    for _ in range(5):
        local.receive(remote.build_update(local))
        assert local.loads.find_load("engine-1").requests == 3
        _advance(_ms(800), local, remote)


def test_unchanged_load_is_valid_again_after_it_expired():
    local, remote = _Vm("local"), _Vm("remote", 2)
    remote.loads.add("engine-1", dispatch.EndpointLoad(requests=3))
    local.receive(remote.build_update(local))
    _advance(_ms(3000), local, remote)
    assert local.loads.find_load("engine-1").requests == 0
    local.receive(remote.build_update(local))
    assert local.loads.find_load("engine-1").requests == 3


def test_update_with_a_malformed_report_is_dropped():
    local, remote = _Vm("local"), _Vm("remote", 2)
    message = remote.build_update(local)
    assert local.receive(message[:-1] + b"\xc1") is None
    update = msgspec.msgpack.decode(message)
    update[5] = [3]
    assert local.receive(msgspec.msgpack.encode(update)) is None
    update[5] = [{}, [], []]
    assert local.receive(msgspec.msgpack.encode(update)) is not None


def test_stream_of_one_vm_can_be_resumed_at_another():
    local, remote = _Vm("local"), _Vm("remote", 2)
    remote.streams.record(_STREAM, "v1.1")
    assert remote.protocol.has_new_streams
    local.receive(remote.build_update(local))
    assert local.streams.find(_STREAM) == "v1.1"
    assert not remote.protocol.has_new_streams


def test_stream_in_a_late_update_is_recorded():
    local, remote = _Vm("local"), _Vm("remote", 2)
    local.receive(remote.build_update(local))
    remote.receive(local.build_update(remote))
    remote.streams.record(_STREAM, "v1.1")
    late = remote.build_update(local)
    local.receive(remote.build_update(local))
    assert local.receive(late) is None
    assert local.streams.find(_STREAM) == "v1.1"


def test_restarted_vm_learns_the_version_of_a_stream_from_a_peer():
    restarted, peer = _Vm("restarted"), _Vm("peer", 2)
    peer.streams.record_peer_streams({"v1.1": _STREAM})
    restarted.streams.ask_peers(_STREAM)
    restarted.streams.ask_peers(b"unknown!")
    question = restarted.protocol.build_questions(["peer"],
                                                  restarted.configuration)[0][1]
    update = peer.receive(question)
    answers = peer.protocol.build_answers(update, peer.configuration)
    assert [name for name, _ in answers] == ["restarted"]
    restarted.receive(answers[0][1])
    assert restarted.streams.find(_STREAM) == "v1.1"
    assert restarted.streams.find(b"unknown!") is None
    assert not restarted.protocol.has_questions


def test_question_about_unknown_streams_gets_no_answer():
    local, remote = _Vm("local"), _Vm("remote", 2)
    remote.streams.ask_peers(_STREAM)
    question = remote.protocol.build_questions(["local"],
                                               remote.configuration)[0][1]
    assert not local.protocol.build_answers(local.receive(question), 10)


@pytest.mark.parametrize("streams", [3, {"v1": "text"}, {1: b"12345678"}])
def test_update_with_malformed_streams_is_dropped(streams):
    local, remote = _Vm("local"), _Vm("remote", 2)
    update = msgspec.msgpack.decode(remote.build_update(local))
    update[6] = streams
    assert local.receive(msgspec.msgpack.encode(update)) is None


def test_update_of_a_release_without_streams_is_accepted():
    local, remote = _Vm("local"), _Vm("remote", 2)
    update = msgspec.msgpack.decode(remote.build_update(local))
    assert local.receive(msgspec.msgpack.encode(update[:6])) is not None


def test_update_with_many_streams_and_loads_fits_in_a_datagram():
    """It must not be fragmented, so that it is lost as seldom as others."""
    local, remote = _Vm("local"), _Vm("remote", 2)
    for number in range(20):
        remote.loads.add(
            f"i-{number:010x}",
            dispatch.EndpointLoad(prefill_tokens=20_000,
                                  requests=12,
                                  interactive_streams=12,
                                  held_tokens=400_000))
    for number in range(200):
        remote.streams.record(number.to_bytes(8), f"v1.{number % 3}")
    assert len(remote.build_update(local)) <= 1472


def test_request_that_crashes_endpoints_is_blocked_on_all_vms():
    vms = [_Vm(name, seed) for seed, name in enumerate("abc")]
    for number, vm in enumerate(vms):
        vm.crashes.record_crash("poison", f"engine-{number}")
        for other in vms:
            if other is not vm:
                other.receive(vm.build_update(other))
    assert all(vm.crashes.is_blocked("poison") for vm in vms)


def _exchange_proof(sender, receiver):
    sender.receive(receiver.build_update(sender))
    sender.proof.record(sender.clock.monotonic())
    receiver.receive(sender.build_update(receiver))
    return receiver.proof.get_age() is not None


def _make_vms_around_a_restore():
    updated, restored = _Vm("updated"), _Vm("restored", 2)
    updated.configuration = peers.ConfigurationPosition(8, 1, 50)
    restored.configuration = peers.ConfigurationPosition(7, 2, 3)
    return updated, restored


def test_proof_for_an_older_version_of_a_later_era_is_not_adopted():
    """A restored store that shows an older version says nothing of newer ones.
    """
    updated, restored = _make_vms_around_a_restore()
    assert not _exchange_proof(restored, updated)


def test_proof_for_a_higher_version_of_an_earlier_era_is_not_adopted():
    """A VM that knows only the copy's version must not accept keys for it."""
    updated, restored = _make_vms_around_a_restore()
    assert not _exchange_proof(updated, restored)


def test_proof_for_the_same_version_of_an_earlier_era_is_adopted():
    earlier, later = _Vm("earlier"), _Vm("later", 2)
    earlier.configuration = peers.ConfigurationPosition(8, 1, 50)
    later.configuration = peers.ConfigurationPosition(8, 2, 3)
    assert _exchange_proof(earlier, later)


def test_proof_of_a_later_era_is_not_adopted_at_a_higher_revision():
    earlier, later = _Vm("earlier"), _Vm("later", 2)
    earlier.configuration = peers.ConfigurationPosition(8, 1, 50)
    later.configuration = peers.ConfigurationPosition(8, 2, 3)
    assert not _exchange_proof(later, earlier)


def test_vms_learn_of_crashing_prompt_parts_from_each_other():
    first, second = _Vm("first"), _Vm("second", 2)
    for number in range(3):
        (first,
         second)[number % 2].part_crashes.record_crash(["subject", "bad"],
                                                       f"engine-{number}",
                                                       has_begun=True)
        second.receive(first.build_update(second))
        first.receive(second.build_update(first))
        _advance(_ms(600), first, second)
    for each in (first, second):
        assert each.part_crashes.find_blocked_part(("subject", "bad"))
    second.part_crashes.record_success(["subject"], second.clock.monotonic())
    first.receive(second.build_update(first))
    assert not first.part_crashes.find_blocked_part(("subject", "other"))
    assert first.part_crashes.find_blocked_part(("bad",))


def test_report_of_prompt_parts_stays_small():
    vm, peer = _Vm("vm"), _Vm("peer", 2)
    size = len(vm.build_update(peer))
    for number in range(100):
        vm.part_crashes.record_crash(
            [f"service/part-{number}-{part}" for part in range(64)],
            f"i-0123456789abcdef-{number}/1700000000000",
            has_begun=True)
    assert len(vm.build_update(peer)) - size < 4096


@pytest.mark.parametrize(
    "news",
    [[["part", "engine", True, -1]], [["part", "engine", True, 1 << 60]],
     [["part", 7, True, 1]], [["part"]]])
def test_malformed_news_of_prompt_parts_are_ignored(news):
    vm, peer = _Vm("vm"), _Vm("peer", 2)
    update = msgspec.msgpack.decode(peer.build_update(vm))
    update[5] = [{}, [], [], news]
    assert vm.receive(msgspec.msgpack.encode(update)) is None
    assert len(vm.part_crashes) == 0


def test_blocked_requests_are_reported_with_the_time_that_is_left():
    sender, receiver = _Vm("a"), _Vm("b")
    for number in range(3):
        sender.crashes.record_crash("poison", f"engine-{number}/1")
    sender.clock.advance(datetime.timedelta(seconds=50))
    receiver.receive(sender.build_update(receiver))
    assert receiver.crashes.is_blocked("poison")
    receiver.clock.advance(datetime.timedelta(seconds=11))
    assert not receiver.crashes.is_blocked("poison")


def test_rate_limits_and_their_ends_are_reported_to_peers():
    sender, receiver = _Vm("a"), _Vm("b")
    endpoint = dispatch.Endpoint("engine", "service", "192.0.2.1", 80, "zone",
                                 8)
    for limit in (2.5, None):
        sender.clock.advance(datetime.timedelta(seconds=3))
        sender.rate_limits.record_response(endpoint,
                                           dispatch.RateStatement(limit), True)
        receiver.clock.advance(datetime.timedelta(seconds=3))
        receiver.receive(sender.build_update(receiver))
        assert receiver.rate_limits.find_limit(endpoint) == limit


@pytest.mark.parametrize("limit", [-1.0, float("nan"), float("inf"), 1e300])
def test_report_with_an_impossible_rate_limit_is_ignored(limit):
    sender, receiver = _Vm("a"), _Vm("b")
    endpoint = dispatch.Endpoint("engine", "service", "192.0.2.1", 80, "zone",
                                 8)
    sender.rate_limits.record_response(endpoint, dispatch.RateStatement(limit),
                                       True)
    receiver.receive(sender.build_update(receiver))
    assert receiver.rate_limits.find_limit(endpoint) is None


@pytest.mark.parametrize("kind", list(dispatch.NoticeKind))
def test_notice_of_an_endpoint_reaches_peers(kind):
    sender, receiver = _Vm("sender"), _Vm("receiver", 2)
    sender.notices.record("endpoint-0/5", kind, _ms(2000))
    receiver.receive(sender.build_update(receiver))
    assert receiver.notices.has("endpoint-0/5", kind)


def test_notice_of_an_unknown_kind_is_ignored():
    receiver = _Vm("receiver")
    report = peers.peer_update.Report({},
                                      notices=[("endpoint-0/5", "new", 7, 0)])
    update = peers.peer_update.PeerUpdate(
        "later", 1, 0, -1, peers.ConfigurationPosition(),
        msgspec.Raw(msgspec.msgpack.encode(report)))
    assert receiver.receive(msgspec.msgpack.encode(update)) is not None
    assert not receiver.notices.list_reports()


def test_demand_for_engines_reaches_peers_until_it_is_no_longer_confirmed():
    sender, receiver = _Vm("sender"), _Vm("receiver", 2)
    demands = (dispatch.TierDemand("engine", 0,
                                   0.5), dispatch.TierDemand("engine", 5, 2.25))
    sender.admission.list_demands = lambda: demands
    receiver.receive(sender.build_update(receiver))
    for _ in range(4):
        _advance(_ms(2000), sender, receiver)
        receiver.receive(sender.build_update(receiver))
        assert receiver.admission.find_demands("engine") == {0: 0.5, 5: 2.25}
    _advance(_ms(4000), sender, receiver)
    assert not receiver.admission.find_demands("engine")


def test_corrections_of_the_demand_reach_peers():
    sender, receiver = _Vm("sender"), _Vm("receiver", 2)
    received = []
    sender.admission.list_corrections = lambda: {"engine": 0.357}
    receiver.admission.set_peer_demands = lambda *report: received.append(report
                                                                         )
    receiver.receive(sender.build_update(receiver))
    assert received == [("sender", [], {"engine": 0.357})]


class _UsageExchange:
    """Sends fixed reports and records the received ones."""

    def __init__(self, *reports):
        self._reports = list(reports)
        self.received = []
        self.forgotten = []

    def build_report(self, receiver):
        """Returns the next report."""
        del receiver
        return self._reports.pop(0) if self._reports else None

    def receive_report(self, sender, report):
        """Records a report."""
        self.received.append((sender, report))

    def forget_peer(self, name):
        """Records the name of a peer that has left."""
        self.forgotten.append(name)


_USAGE = usage_module.UsageReport(1_700_000_000_000, 7, 100, True,
                                  {101: {
                                      "hule930": 3
                                  }})


def test_usage_reaches_peers():
    """Failure: counts of requests are lost between VMs."""
    counting, holder = _UsageExchange(_USAGE), _UsageExchange()
    sender, receiver = _Vm("vm-1", usage=counting), _Vm("vm-2", usage=holder)
    receiver.receive(sender.build_update(receiver))
    assert holder.received == [("vm-1", _USAGE)]
    receiver.receive(sender.build_update(receiver))
    assert len(holder.received) == 1
    receiver.protocol.forget_peer("vm-1")
    assert holder.forgotten == ["vm-1"]


def test_update_with_usage_is_accepted_by_older_releases():
    """Failure: VMs of two releases don't understand each other in a rollout."""
    sender, receiver = _Vm("vm-1", usage=_UsageExchange(_USAGE)), _Vm("vm-2")
    data = sender.build_update(receiver)
    older = msgspec.msgpack.decode(data, type=peers.PeerUpdate)
    assert older.sender == "vm-1"
    assert receiver.receive(data) is not None


def test_update_of_a_vm_without_duties_has_no_counts():
    """Failure: deployments without duties pay for counts that they don't use.
    """
    sender, receiver = _Vm("vm-1"), _Vm("vm-2", usage=_UsageExchange())
    data = sender.build_update(receiver)
    fields = msgspec.msgpack.decode(data)
    assert fields[_USAGE_INDEX:] == [None, peers.UPDATE_FORMAT]
    assert len(data) == len(msgspec.msgpack.encode(fields[:_USAGE_INDEX])) + 2
    receiver.receive(data)
    data = _Vm("vm-3", usage=_UsageExchange()).build_update(receiver)
    assert msgspec.msgpack.decode(data)[_USAGE_INDEX] is None


@pytest.mark.parametrize("kept, number", [(_USAGE_INDEX, 0),
                                          (_USAGE_INDEX + 1, 0),
                                          (_USAGE_INDEX + 2, 1)])
def test_updates_of_earlier_and_later_builds_are_understood(kept, number):
    """Fields are only added at the end, and unknown ones are ignored."""
    sender, receiver = _Vm("vm-1"), _Vm("vm-2")
    fields = msgspec.msgpack.decode(sender.build_update(receiver))[:kept]
    if number:
        fields += ["a field of a later build", {"with": [1, 2]}]
    update = receiver.receive(msgspec.msgpack.encode(fields))
    assert (update.sender, update.format) == ("vm-1", number)


@pytest.mark.parametrize("field", [
    7, "x", [], [-1], [1_700_000_000_000, 7, 100, True, {
        101: {
            "hule930": -3
        }
    }], None
])
@pytest.mark.parametrize("counts", [True, False])
def test_malformed_usage_does_not_cost_the_update(field, counts):
    """Failure: loads and proofs of a peer of another release are dropped."""
    holder = _UsageExchange()
    sender = _Vm("vm-1", usage=_UsageExchange(_USAGE))
    receiver = _Vm("vm-2", usage=holder if counts else None)
    values = msgspec.msgpack.decode(sender.build_update(receiver))
    values[_USAGE_INDEX] = field
    update = receiver.receive(msgspec.msgpack.encode(values))
    assert update is not None and update.sender == "vm-1"
    assert not holder.received


def test_usage_of_a_late_duplicate_is_ignored():
    """Failure: the clock in a datagram that arrives late counts as new."""
    holder = _UsageExchange()
    sender = _Vm("vm-1", usage=_UsageExchange(_USAGE))
    receiver = _Vm("vm-2", usage=holder)
    sender.receive(receiver.build_update(sender))
    first = sender.build_update(receiver)
    receiver.receive(sender.build_update(receiver))
    receiver.receive(first)
    assert not holder.received


def _learn(vm):
    """Feeds a VM with engines that are three times as fast as the prior."""
    engine = profiles.ProfiledEngine("engines", "engine-0/5", "v1")
    state = profiles.EngineState(1, 0, 0, 8)
    for _ in range(100):
        vm.clock.advance(_ms(50))
        vm.profiles.record_events(engine, 9, state, False, _ms(9))
        vm.profiles.record_first_event(engine, 6_000, 0, state, _ms(40))
        vm.profiles.record_end(engine, 50, 200)


def test_vm_that_starts_learns_the_speed_of_engines_from_its_peers():
    sender, receiver = _Vm("sender"), _Vm("receiver", 2)
    _learn(sender)
    receiver.receive(sender.build_update(receiver))
    found = receiver.profiles.find_profile("engines", "engine-0/5")
    expected = sender.profiles.find_profile("engines")
    assert found.prefill_rate == pytest.approx(expected.prefill_rate, rel=0.01)
    assert found.find_step_time(1, 0) == pytest.approx(0.001, rel=0.05)
    assert found.output_share == pytest.approx(expected.output_share, abs=0.01)


class _OldReport(msgspec.Struct, frozen=True, array_like=True):
    """The report of a VM with software from before profiles were shared."""

    loads: dict[str, tuple[int, int, int, int]]
    moves: list[tuple[str, str]] = []
    losses: list[tuple[str, str]] = []
    part_crashes: list[tuple[str, str, bool, int, str]] = []
    part_successes: list[tuple[str, int]] = []
    request_blocks: list[tuple[str, int, int]] = []
    rate_limits: list[tuple[str, float | None, int]] = []
    notices: list[tuple[str, str, int, int]] = []
    demands: dict[str, list[tuple[int, int]]] = {}


def test_old_vms_decode_reports_with_profiles():
    sender, receiver = _Vm("sender"), _Vm("receiver", 2)
    _learn(sender)
    sender.loads.add("engine-0", dispatch.EndpointLoad(5, 1, 0, 7))
    update = msgspec.msgpack.decode(sender.build_update(receiver),
                                    type=peers.peer_update.PeerUpdate)
    report = msgspec.msgpack.decode(bytes(update.report), type=_OldReport)
    assert report.loads == {"engine-0": (5, 1, 0, 7)}


def test_report_of_an_old_vm_says_nothing_of_profiles():
    receiver = _Vm("receiver")
    _receive_report(receiver, _OldReport({"engine-0": (5, 1, 0, 7)}))
    assert receiver.loads.find_load("engine-0").requests == 1
    assert receiver.profiles.find_profile("engines") == profiles.PRIOR
    assert not receiver.profile_problems


_GARBAGE_PROFILES = (
    msgspec.msgpack.encode("none"),
    msgspec.msgpack.encode([["engines", 1]]),
    msgspec.msgpack.encode([["engines", *["x"] * 10]]),
    msgspec.msgpack.encode([["engines", 0, *[1] * 9]]),
    msgspec.msgpack.encode([["engines", *[2**63] * 10]]),
    msgspec.msgpack.encode([["engines", *[-5] * 10]]),
    msgspec.msgpack.encode(["engines" * 4_000]),
)


@pytest.mark.parametrize("garbage", _GARBAGE_PROFILES)
def test_garbage_profiles_are_ignored_and_logged_once(garbage):
    # The rest of the report must count, or the peer's load would be unknown.
    receiver = _Vm("receiver")
    for sequence in (1, 2, 3):
        _receive_report(
            receiver,
            peers.peer_update.Report({"engine-0": (sequence, 1, 0, 7)},
                                     profiles=msgspec.Raw(garbage)), sequence)
    assert receiver.loads.find_load("engine-0").prefill_tokens == 3
    assert receiver.profiles.find_profile("engines") == profiles.PRIOR
    assert len(receiver.profile_problems) == 1


def _receive_report(receiver, report, sequence=1):
    update = peers.peer_update.PeerUpdate(
        "peer", sequence, 0, -1, peers.ConfigurationPosition(),
        msgspec.Raw(msgspec.msgpack.encode(report)))
    assert receiver.receive(msgspec.msgpack.encode(update)) is not None


def test_profiles_of_many_services_take_less_than_two_kilobytes():
    sender, receiver = _Vm("sender"), _Vm("receiver", 2)
    state = profiles.EngineState(1, 0, 0, 8)
    for number in range(40):
        engine = profiles.ProfiledEngine(f"service-{number}", "engine/1")
        for _ in range(30):
            sender.clock.advance(_ms(20))
            sender.profiles.record_events(engine, 9, state, False, _ms(9))
    assert len(sender.build_update(receiver)) < 2_048


def test_unchanged_profiles_are_not_decoded_with_each_update():
    """Failure: profiles in each of 200 updates a second took a tenth of the
    processor time."""
    sender, receiver = _Vm("vm-1"), _Vm("vm-2")
    calls = []
    receiver.profiles.set_peer_reports = lambda *each: calls.append(each)
    for requests in range(1, 4):
        sender.loads.add("engine-1", dispatch.EndpointLoad(requests=requests))
        receiver.receive(sender.build_update(receiver))
    assert len(calls) == 1
    _advance(datetime.timedelta(minutes=1), sender, receiver)
    sender.loads.add("engine-1", dispatch.EndpointLoad(requests=1))
    receiver.receive(sender.build_update(receiver))
    assert len(calls) == 2
