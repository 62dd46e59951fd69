"""Tests of the collection of service-level counts, in simulated time."""

import msgspec
from twisted.internet import defer

from mustardwood import fleetstatus
from mustardwood import messages
from mustardwood import reports
from mustardwood.agent import burn_store
from mustardwood.agent import fleet_counts_reader
from mustardwood.agent import fleet_query
from mustardwood.agent import stored_record
from mustardwood.agent import vm_report
from mustardwood.agent.tests import fleet as fleet_module

_ENTRY = messages.Role.ENTRY


def _make_record(vm, minute, **fields):
    row = reports.LevelRow(minute, "tag", "acme", asked=2, met=1)
    return reports.LevelRecord(rows=(row,), vms=(vm,), source=vm, **fields)


def _set_counts(fleet, vm, minute):
    process = fleet.find_process(vm, _ENTRY)
    process.body = msgspec.to_builtins(_make_record(vm, minute))


def _read_record(fleet, key):
    value = fleet.platform.values[key].value
    return msgspec.json.decode(value, type=stored_record.StoredRecord).record


def test_each_minute_is_written_once_and_lists_the_missing_vm():
    fleet = fleet_module.Fleet(5)
    minute = reports.compute_minute(fleet.clock.now())
    for vm in fleet.agents:
        _set_counts(fleet, vm, minute)
    fleet.run(20)
    fleet.kill_vm("vm3")
    fleet.run(80)
    record = _read_record(fleet, f"{burn_store.MINUTE_PREFIX}{minute}")
    assert sum(row.asked for row in record.rows) == 8
    assert record.missing == ("vm3",)
    calls = fleet.platform.calls
    assert calls["put"] == 2
    assert calls["grant_lease"] <= 2


def test_minutes_of_an_outage_are_written_after_it():
    fleet = fleet_module.Fleet(3)
    minute = reports.compute_minute(fleet.clock.now())
    fleet.run(2)
    fleet.platform.start_outage()
    fleet.run(150)
    fleet.platform.down = False
    fleet.run(60)
    for number in (minute, minute + 1):
        assert f"{burn_store.MINUTE_PREFIX}{number}" in fleet.platform.values


def test_hour_is_merged_from_its_minutes():
    fleet = fleet_module.Fleet(1)
    hour = reports.compute_minute(fleet.clock.now()) // 60
    store = burn_store.BurnStore(fleet.platform)
    for minute in range(hour * 60 - 60, hour * 60):
        defer.ensureDeferred(
            store.write_minute(minute, _make_record("vm0", minute)))
    fleet.run(180)
    record = _read_record(fleet, f"{burn_store.HOUR_PREFIX}{hour - 1}")
    assert [row.asked for row in record.rows] == [120]
    assert record.rows[0].minute == hour * 60 - 60
    assert not record.absent_minutes


def test_handed_over_counts_are_counted_once():
    body = msgspec.to_builtins(_make_record("vm1", 7))
    versions = fleetstatus.Versions()
    handed = (_make_record("vm1", 7), _make_record("vm2", 7))
    fleet_report = fleet_query.FleetReport(
        {
            "vm1": vm_report.VmReport(versions, body),
            "vm3": vm_report.VmReport(versions, None, None, handed)
        }, ("vm2", "vm4"))
    merged = fleet_counts_reader.merge_fleet_report(fleet_report,
                                                    reports.MinuteRange(7, 7))
    assert [row.asked for row in merged.rows] == [4]
    assert merged.missing == ("vm3", "vm4")


def test_agent_stores_counts_handed_over_by_a_stopping_entry():
    fleet = fleet_module.Fleet(3)
    minute = reports.compute_minute(fleet.clock.now())
    fleet.run(20)
    record = _make_record("vm2", minute)
    receiver = messages.Peer(fleet.find_record("vm0").ip, messages.Role.AGENT)
    fleet.find_process("vm2", _ENTRY).send(
        receiver,
        messages.LevelHandover("vm2",
                               reports.encode_record(record).encode()))
    fleet.run(0.5)
    fleet.kill_vm("vm2")
    fleet.run(80)
    stored = _read_record(fleet, f"{burn_store.MINUTE_PREFIX}{minute}")
    assert sum(row.asked for row in stored.rows) == 2
    assert "vm2" not in stored.missing
