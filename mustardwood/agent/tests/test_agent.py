"""Tests of a fleet of agents in simulated time."""

import msgspec
from twisted.internet import defer

from mustardwood import messages
from mustardwood.agent import apply_request
from mustardwood.agent import configuration_synchronizer
from mustardwood.agent.tests import fleet as fleet_module

CONFIGURATION_KEY = configuration_synchronizer.CONFIGURATION_KEY
ENTRY = messages.Role.ENTRY


def _wait_for_result(fleet: fleet_module.Fleet, started):
    results = []
    started.addBoth(results.append)
    fleet.run_until(lambda: bool(results), 15)
    return results[0]


def test_platform_configuration_comes_into_force_on_all_processes():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    assert fleet.list_versions() == {0}
    fleet.platform.write(CONFIGURATION_KEY, fleet_module.make_stored(1))
    fleet.run_until(lambda: fleet.list_versions() == {1}, 5)
    fleet.run(5)
    assert all(
        each.configuration_views <= 2 for each in fleet.processes.values())


def test_apply_comes_into_force_everywhere_within_5_s_despite_message_loss():
    fleet = fleet_module.Fleet(9)
    fleet.loss_rate = 0.1
    fleet.run(2)
    outcome = fleet.apply("vm3", "first")
    fleet.run_until(lambda: fleet.list_versions() == {1}, 5)
    assert _wait_for_result(fleet, outcome) == apply_request.Applied(1)


def test_restarted_process_receives_the_configuration_again():
    fleet = fleet_module.Fleet(2)
    fleet.platform.write(CONFIGURATION_KEY, fleet_module.make_stored(1))
    fleet.run(3)
    peer = messages.Peer(fleet.find_record("vm0").ip, ENTRY)
    fleet.processes[peer].close()
    fleet.processes[peer] = fleet_module.FakeProcess(fleet, peer)
    fleet.highest_versions.clear()
    fleet.run(1.5)
    assert fleet.processes[peer].version == 1


def test_leaving_endpoint_is_in_all_views_within_3_s():
    fleet = fleet_module.Fleet(9)
    fleet.platform.write(CONFIGURATION_KEY, fleet_module.make_stored(1))
    fleet.run(5)
    fleet.platform.records = tuple(
        msgspec.structs.replace(each, leaving=each.vm == "ep")
        for each in fleet.records)
    fleet.run_until(
        lambda: all(each.view.leaving_endpoints == ("replica",)
                    for each in fleet.processes.values()), 3)


def test_leaving_endpoint_is_in_views_of_vms_that_are_not_watchers_within_3_s():
    fleet = fleet_module.Fleet(15)
    fleet.platform.write(CONFIGURATION_KEY, fleet_module.make_stored(1))
    fleet.run(5)
    fleet.platform.records = tuple(
        msgspec.structs.replace(each, leaving=each.vm == "ep")
        for each in fleet.records)
    fleet.run_until(
        lambda: all(each.view.leaving_endpoints == ("replica",)
                    for each in fleet.processes.values()), 3)


def test_agents_retry_until_a_platform_down_at_boot_returns():
    fleet = fleet_module.Fleet(3, start=False)
    fleet.platform.write(CONFIGURATION_KEY, fleet_module.make_stored(4))
    fleet.platform.start_outage()
    for vm in ("vm0", "vm1", "vm2"):
        fleet.start_vm(vm)
    fleet.run(60)
    assert fleet.list_versions() == {0}
    assert fleet.platform.calls["get"] < 3 * 20
    fleet.platform.down = False
    fleet.run_until(lambda: fleet.list_versions() == {4}, 25)


def test_vm_restarted_during_outage_receives_configuration_from_neighbours():
    fleet = fleet_module.Fleet(9)
    fleet.platform.write(CONFIGURATION_KEY, fleet_module.make_stored(4))
    fleet.run(5)
    fleet.platform.start_outage()
    fleet.kill_vm("vm5")
    fleet.run(3)
    fleet.start_vm("vm5")
    fleet.run_until(lambda: fleet.list_versions() == {4}, 10)


def test_platform_restored_to_an_older_state_is_repaired():
    fleet = fleet_module.Fleet(9)
    fleet.platform.write(CONFIGURATION_KEY, fleet_module.make_stored(1))
    old = dict(fleet.platform.values)
    fleet.run(2)
    outcome = fleet.apply("vm1", "second", 1)
    fleet.run(3)
    assert _wait_for_result(fleet, outcome) == apply_request.Applied(2)
    fleet.platform.start_outage()
    fleet.run(10)
    fleet.platform.restore(old, 1)
    fleet.run(15)
    assert fleet.list_versions() == {2}
    assert '"second"' in fleet.platform.values[CONFIGURATION_KEY].value


def test_conflicting_apply_returns_the_winning_document():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    outcomes = [fleet.apply("vm1", "a", 0), fleet.apply("vm2", "b", 0)]
    found = [_wait_for_result(fleet, each) for each in outcomes]
    assert found[0] == apply_request.Applied(1)
    assert isinstance(found[1], apply_request.Conflict)
    assert found[1].winner.apply_id == "a"
    assert _wait_for_result(fleet, fleet.apply("vm7", "b",
                                               1)) == (apply_request.Applied(2))


def test_apply_repeated_with_the_same_id_is_written_once():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    assert _wait_for_result(fleet, fleet.apply("vm1", "a", 0)).version == 1
    assert _wait_for_result(fleet, fleet.apply("vm5", "a", 0)).version == 1
    assert fleet.platform.calls["put"] == 1


def test_write_with_lost_response_is_not_repeated():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    fleet.platform.unanswered_writes = 1
    assert _wait_for_result(fleet, fleet.apply("vm1", "a", 0)).version == 1
    assert fleet.platform.calls["put"] == 1


def test_lost_write_is_retried():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    fleet.platform.dropped_writes = 2
    assert _wait_for_result(fleet, fleet.apply("vm1", "a", 0)).version == 1
    assert fleet.platform.puts[CONFIGURATION_KEY] == 3


def test_apply_during_outage_returns_not_written():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    fleet.platform.start_outage()
    found = _wait_for_result(fleet, fleet.apply("vm1", "a", 0))
    assert isinstance(found, apply_request.NotWritten)


def test_outage_after_uncertain_write_returns_outcome_unknown():
    fleet = fleet_module.Fleet(9)
    fleet.run(2)
    fleet.platform.unanswered_writes = 1
    found = fleet.apply("vm1", "a", 0)
    fleet.platform.start_outage()
    assert isinstance(_wait_for_result(fleet, found),
                      apply_request.OutcomeUnknown)


def test_second_crash_blocks_request_on_all_vms_and_stores_the_block():
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
        assert [stored.fingerprint for stored in each.view.convictions
               ] == ["poison"]
    fleet.run(3)
    assert "mustardwood/convictions/poison" in fleet.platform.values
    assert fleet.platform.calls["put"] <= 2


def test_number_of_platform_calls_is_bounded():
    fleet = fleet_module.Fleet(15)
    fleet.platform.write(CONFIGURATION_KEY, fleet_module.make_stored(1))
    fleet.run(10)
    before = dict(fleet.platform.calls)
    fleet.run(60)
    calls = fleet.platform.calls
    assert calls["watch"] - before["watch"] <= 9 * 3
    assert calls["get"] - before["get"] <= 9 * 3
    assert calls["fetch"] - before["fetch"] <= 9 * 31 + 6 * 3


def test_fleet_query_lists_vms_that_did_not_answer():
    fleet = fleet_module.Fleet(9)
    fleet.platform.write(CONFIGURATION_KEY, fleet_module.make_stored(1))
    fleet.run(5)
    fleet_querier = fleet.agents["vm0"]._fleet_querier  # pylint: disable=protected-access
    fleet.links[messages.Peer(fleet.find_record("vm6").ip,
                              messages.Role.AGENT)].close()
    fleet.find_process("vm5", ENTRY).close()
    fleet_report = _wait_for_result(
        fleet,
        defer.ensureDeferred(
            fleet_querier.query_fleet(messages.QueryKind.STATUS, "")))
    assert fleet_report.unanswered == ("vm6",)
    assert len(fleet_report.reports) == 8
    assert fleet_report.reports["vm5"].entry is None
    assert fleet_report.reports["vm1"].versions.get_lowest() == 1


def test_stopping_vm_is_leaving_in_all_views():
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


def test_invalid_platform_value_does_not_cause_a_busy_watch_loop():
    fleet = fleet_module.Fleet(3)
    fleet.platform.write(CONFIGURATION_KEY, "not a document")
    fleet.platform.remaining_calls = 200
    fleet.run(5)
    assert fleet.platform.calls["watch"] <= 3 * 2
    assert fleet.list_versions() == {0}


def test_apply_over_undecodable_configuration_writes_nothing():
    fleet = fleet_module.Fleet(3)
    newer = msgspec.json.encode({
        "version": 9,
        "apply_id": "newer",
        "text": '{"later": 1}'
    }).decode()
    fleet.platform.write(CONFIGURATION_KEY, newer)
    fleet.run(3)
    outcome = _wait_for_result(fleet, fleet.apply("vm1", "mine", 0))
    assert isinstance(outcome, apply_request.NotWritten)
    assert fleet.platform.values[CONFIGURATION_KEY].value == newer


def test_vm_booting_with_an_older_platform_repairs_it():
    fleet = fleet_module.Fleet(3)
    fleet.platform.write(CONFIGURATION_KEY, fleet_module.make_stored(1))
    old = dict(fleet.platform.values)
    fleet.run(2)
    _wait_for_result(fleet, fleet.apply("vm1", "second", 1))
    fleet.run(2)
    fleet.platform.restore(old, 1)
    fleet.kill_vm("vm2")
    fleet.run(1)
    fleet.start_vm("vm2")
    fleet.run(5)
    assert fleet.list_versions() == {2}
    assert '"second"' in fleet.platform.values[CONFIGURATION_KEY].value
