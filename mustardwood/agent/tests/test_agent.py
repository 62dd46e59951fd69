"""Tests of agents in virtual time."""

import msgspec
from twisted.internet import defer

from mustardwood import messages
from mustardwood.agent import apply_request
from mustardwood.agent import configuration_keeper
from mustardwood.agent.tests import fleet as fleet_module

KEY = configuration_keeper.KEY
ENTRY = messages.Role.ENTRY


def _settle(fleet: fleet_module.Fleet, deferred):
    results = []
    deferred.addBoth(results.append)
    fleet.run_until(lambda: bool(results), 15)
    return results[0]


def test_configuration_of_the_platform_is_in_force_on_all_processes():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    assert fleet.versions() == {0}
    fleet.platform.write(KEY, fleet_module.make_stored(1))
    fleet.run_until(lambda: fleet.versions() == {1}, 5)
    fleet.run(5)
    assert all(each.whole_views <= 2 for each in fleet.processes.values())


def test_apply_is_in_force_everywhere_within_5_s_in_spite_of_loss():
    fleet = fleet_module.Fleet(9)
    fleet.loss = 0.1
    fleet.run(2)
    outcome = fleet.apply("vm3", "first")
    fleet.run_until(lambda: fleet.versions() == {1}, 5)
    assert _settle(fleet, outcome) == apply_request.Applied(1)


def test_restarted_process_gets_the_whole_configuration():
    fleet = fleet_module.Fleet(2)
    fleet.platform.write(KEY, fleet_module.make_stored(1))
    fleet.run(3)
    peer = messages.Peer(fleet.find_record("vm0").ip, ENTRY)
    fleet.processes[peer].close()
    fleet.processes[peer] = fleet_module.FakeProcess(fleet, peer)
    fleet.highest.clear()
    fleet.run(1.5)
    assert fleet.processes[peer].version == 1


def test_leaving_endpoint_is_in_all_views_within_3_s():
    fleet = fleet_module.Fleet(9)
    fleet.platform.write(KEY, fleet_module.make_stored(1))
    fleet.run(5)
    fleet.platform.records = tuple(
        msgspec.structs.replace(each, leaving=each.vm == "ep")
        for each in fleet.records)
    fleet.run_until(
        lambda: all(each.view.leaving_endpoints == ("replica",)
                    for each in fleet.processes.values()), 3)


def test_leaving_endpoint_reaches_vms_that_do_not_poll_within_3_s():
    fleet = fleet_module.Fleet(15)
    fleet.platform.write(KEY, fleet_module.make_stored(1))
    fleet.run(5)
    fleet.platform.records = tuple(
        msgspec.structs.replace(each, leaving=each.vm == "ep")
        for each in fleet.records)
    fleet.run_until(
        lambda: all(each.view.leaving_endpoints == ("replica",)
                    for each in fleet.processes.values()), 3)


def test_platform_down_at_boot_is_survived():
    fleet = fleet_module.Fleet(3, start=False)
    fleet.platform.write(KEY, fleet_module.make_stored(4))
    fleet.platform.start_outage()
    for vm in ("vm0", "vm1", "vm2"):
        fleet.start_vm(vm)
    fleet.run(60)
    assert fleet.versions() == {0}
    assert fleet.platform.calls["get"] < 3 * 20
    fleet.platform.down = False
    fleet.run_until(lambda: fleet.versions() == {4}, 25)


def test_vm_restarted_in_an_outage_learns_from_its_neighbours():
    fleet = fleet_module.Fleet(9)
    fleet.platform.write(KEY, fleet_module.make_stored(4))
    fleet.run(5)
    fleet.platform.start_outage()
    fleet.kill_vm("vm5")
    fleet.run(3)
    fleet.start_vm("vm5")
    fleet.run_until(lambda: fleet.versions() == {4}, 10)


def test_platform_that_comes_back_older_is_repaired():
    fleet = fleet_module.Fleet(9)
    fleet.platform.write(KEY, fleet_module.make_stored(1))
    old = dict(fleet.platform.values)
    fleet.run(2)
    outcome = fleet.apply("vm1", "second", 1)
    fleet.run(3)
    assert _settle(fleet, outcome) == apply_request.Applied(2)
    fleet.platform.start_outage()
    fleet.run(10)
    fleet.platform.restore(old, 1)
    fleet.run(15)
    assert fleet.versions() == {2}
    assert '"second"' in fleet.platform.values[KEY].value


def test_lost_race_names_the_winner():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    outcomes = [fleet.apply("vm1", "a", 0), fleet.apply("vm2", "b", 0)]
    found = [_settle(fleet, each) for each in outcomes]
    assert found[0] == apply_request.Applied(1)
    assert isinstance(found[1], apply_request.Beaten)
    assert found[1].winner.apply_id == "a"
    assert _settle(fleet, fleet.apply("vm7", "b",
                                      1)) == (apply_request.Applied(2))


def test_apply_is_idempotent_by_its_id():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    assert _settle(fleet, fleet.apply("vm1", "a", 0)).version == 1
    assert _settle(fleet, fleet.apply("vm5", "a", 0)).version == 1
    assert fleet.platform.calls["put"] == 1


def test_write_whose_answer_was_lost_counts_once():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    fleet.platform.lost_writes = 1
    assert _settle(fleet, fleet.apply("vm1", "a", 0)).version == 1
    assert fleet.platform.calls["put"] == 1


def test_write_that_was_lost_is_sent_again():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    fleet.platform.dropped_writes = 2
    assert _settle(fleet, fleet.apply("vm1", "a", 0)).version == 1
    assert fleet.platform.puts[KEY] == 3


def test_apply_in_an_outage_writes_nothing_and_says_so():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    fleet.platform.start_outage()
    found = _settle(fleet, fleet.apply("vm1", "a", 0))
    assert isinstance(found, apply_request.NotWritten)


def test_outage_after_an_unsure_write_is_told_as_unknown():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    fleet.platform.lost_writes = 1
    found = fleet.apply("vm1", "a", 0)
    fleet.platform.start_outage()
    assert isinstance(_settle(fleet, found), apply_request.Unknown)


def test_second_crash_convicts_on_all_vms_and_in_the_platform():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    agent = messages.Peer(fleet.find_record("vm4").ip, messages.Role.AGENT)
    entry = fleet.find_process("vm4", ENTRY)
    entry.send(agent, messages.CrashReport("e1", "c1", ("poison", "innocent")))
    fleet.run(0.3)
    for each in fleet.processes.values():
        assert set(each.view.suspects) == {"poison", "innocent"}
    entry.send(agent, messages.CrashReport("e2", "c2", ("poison",)))
    fleet.run(0.3)
    for each in fleet.processes.values():
        assert [held.fingerprint for held in each.view.convictions
               ] == ["poison"]
    fleet.run(3)
    assert "mustardwood/convictions/poison" in fleet.platform.values
    assert fleet.platform.calls["put"] <= 2


def test_calls_to_the_platform_are_few():
    fleet = fleet_module.Fleet(15)
    fleet.platform.write(KEY, fleet_module.make_stored(1))
    fleet.run(10)
    before = dict(fleet.platform.calls)
    fleet.run(60)
    calls = fleet.platform.calls
    assert calls["watch"] - before["watch"] <= 9 * 3
    assert calls["get"] - before["get"] <= 9 * 3
    assert calls["fetch"] - before["fetch"] <= 9 * 31 + 6 * 3


def test_survey_names_vms_without_answer():
    fleet = fleet_module.Fleet(9)
    fleet.platform.write(KEY, fleet_module.make_stored(1))
    fleet.run(5)
    surveyor = fleet.agents["vm0"]._surveyor  # pylint: disable=protected-access
    fleet.links[messages.Peer(fleet.find_record("vm6").ip,
                              messages.Role.AGENT)].close()
    fleet.find_process("vm5", ENTRY).close()
    survey = _settle(
        fleet,
        defer.ensureDeferred(surveyor.ask_fleet(messages.QueryKind.STATUS, "")))
    assert survey.unanswered == ("vm6",)
    assert len(survey.reports) == 8
    assert survey.reports["vm5"].entry is None
    assert survey.reports["vm1"].versions.lowest() == 1


def test_planned_stop_is_leaving_in_all_views():
    fleet = fleet_module.Fleet(3)
    fleet.run(2)
    stopped = defer.ensureDeferred(fleet.agents["vm1"].stop())
    fleet.run(0.5)
    assert stopped.called
    for vm in ("vm0", "vm2"):
        states = {
            each.vm: each.state
            for each in fleet.find_process(vm, ENTRY).view.members
        }
        assert states["vm1"] is messages.MemberState.LEAVING


def test_unusable_value_of_the_platform_does_not_make_the_watch_spin():
    fleet = fleet_module.Fleet(3)
    fleet.platform.write(KEY, "not a document")
    fleet.platform.budget = 200
    fleet.run(5)
    assert fleet.platform.calls["watch"] <= 3 * 2
    assert fleet.versions() == {0}


def test_apply_over_an_unreadable_configuration_writes_nothing():
    fleet = fleet_module.Fleet(3)
    newer = msgspec.json.encode({
        "version": 9,
        "apply_id": "newer",
        "text": '{"later": 1}'
    }).decode()
    fleet.platform.write(KEY, newer)
    fleet.run(3)
    outcome = _settle(fleet, fleet.apply("vm1", "mine", 0))
    assert isinstance(outcome, apply_request.NotWritten)
    assert fleet.platform.values[KEY].value == newer


def test_vm_that_boots_with_an_older_platform_repairs_it():
    fleet = fleet_module.Fleet(3)
    fleet.platform.write(KEY, fleet_module.make_stored(1))
    old = dict(fleet.platform.values)
    fleet.run(2)
    _settle(fleet, fleet.apply("vm1", "second", 1))
    fleet.run(2)
    fleet.platform.restore(old, 1)
    fleet.kill_vm("vm2")
    fleet.run(1)
    fleet.start_vm("vm2")
    fleet.run(5)
    assert fleet.versions() == {2}
    assert '"second"' in fleet.platform.values[KEY].value
