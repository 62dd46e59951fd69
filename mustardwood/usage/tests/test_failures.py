"""Tests of usage reports under the failures that deployments have."""

import pytest

from mustardwood.usage.tests import fleet as fleet_module

ms = fleet_module.ms
_DUE = fleet_module.WINDOWS.report_delay
_TOLERANCE = 0.05


def _start(**settings):
    fleet = fleet_module.Fleet(**settings)
    fleet.run(ms(500))
    fleet.elect("vm-0")
    return fleet


def _check(fleet, windows, tolerance=_TOLERANCE):
    for window in windows:
        assert window in fleet.platform.accepted, window
        assert fleet.find_error(window) <= tolerance
        assert fleet.find_delay(window) <= _DUE


def test_windows_are_reported_in_time():
    """Failure: reports are missing, late or wrong on a day without failures."""
    fleet = _start()
    first = fleet.window
    fleet.run_to(first + 9, ms(500))
    _check(fleet, range(first, first + 8))
    # Two windows share a write.
    assert fleet.store.writes == 4


@pytest.mark.parametrize("victim", ["vm-0", "vm-1", "vm-5"])
def test_counts_of_a_killed_vm_are_kept(victim):
    """Failure: what a killed VM counted in the window is missing.

    The last second of one of nine VMs may be lost: 1/45 of the window.
    """
    fleet = _start(vms=9, rate=40.0)
    window = fleet.window + 3
    fleet.run_to(window, ms(-300))
    fleet.kill(victim)
    if victim == "vm-0":
        fleet.run(ms(3300))
        fleet.elect("vm-1")
    fleet.run_to(window + 3)
    _check(fleet, [window], tolerance=0.03)


def test_restarted_vm_adds_to_its_earlier_counts():
    """Failure: a VM counts from 0 after a restart, and its first count wins."""
    fleet = _start(rate=40.0)
    window = fleet.window + 3
    fleet.run_to(window, ms(-2500))
    fleet.kill("vm-5")
    fleet.start("vm-5")
    fleet.run_to(window + 3)
    _check(fleet, [window], tolerance=0.03)


def test_holder_killed_between_finalizing_and_sending():
    """Failure: a successor counts a finalized window anew, or loses it."""
    fleet = _start()
    window = fleet.window + 2
    fleet.run_to(window + 1)
    fleet.platform.fate = "error"
    writes = fleet.store.writes
    while fleet.store.writes == writes:
        fleet.run(fleet_module.STEP)
    finalized = dict(fleet.store.value.windows)
    assert window in finalized and window not in fleet.platform.accepted
    fleet.kill("vm-0")
    fleet.platform.fate = "ok"
    fleet.run(ms(500))
    fleet.elect("vm-1")
    # The successor counts more than the holder knew.
    fleet.find("vm-1").ledger.record("vm-9", 1, 0, True,
                                     {window: {
                                         "tatra": 99
                                     }}, fleet.clock.now())
    fleet.run(ms(8000))
    assert fleet.platform.accepted[window] == finalized[window]
    assert fleet.platform.accepted[window + 1] == finalized[window + 1]


@pytest.mark.parametrize("fate", ["lost response", "late"])
def test_holder_killed_between_sending_and_the_answer(fate):
    """Failure: a report that took effect is followed by a different one."""
    fleet = _start()
    window = fleet.window + 2
    fleet.run_to(window + 1)
    fleet.platform.fate = fate
    calls = len(fleet.platform.calls)
    while len(fleet.platform.calls) == calls:
        fleet.run(fleet_module.STEP)
    fleet.kill("vm-0")
    fleet.platform.fate = "ok"
    fleet.run(ms(3300))
    fleet.elect("vm-1")
    fleet.run_to(window + 6)
    assert {window, window + 1, window + 2} <= set(fleet.platform.accepted)
    _check(fleet, [window + 2])


def test_call_that_is_executed_late_changes_nothing():
    """Failure: a call without response is executed after newer ones."""
    fleet = _start()
    window = fleet.window
    for fate in ("late", "ok", "late", "lost response", "ok"):
        fleet.platform.fate = fate
        fleet.run(ms(4000))
    fleet.run_to(window + 8)
    assert set(range(window, window + 4)) <= set(fleet.platform.accepted)


def test_write_that_takes_effect_late_changes_nothing():
    """Failure: a window is finalized again while its first write is open."""
    fleet = _start()
    window = fleet.window
    fleet.run_to(window + 1)
    fleet.store.fate = "late"
    while not fleet.find("vm-0").list_events("usage_store_failed"):
        fleet.run(fleet_module.STEP)
    # The write is open; a successor finalizes the window before it lands.
    fleet.store.fate = "ok"
    fleet.elect("vm-1")
    fleet.find("vm-1").ledger.record("vm-9", 1, 0, True, {window: {
        "tatra": 9
    }}, fleet.clock.now())
    fleet.run_to(window + 6)
    assert set(range(window, window + 4)) <= set(fleet.platform.accepted)
    assert fleet.platform.accepted[window] == fleet.store.value.windows.get(
        window, fleet.platform.accepted[window])


def test_write_whose_response_was_lost_is_recognised():
    """Failure: the holder takes its own write for that of another VM."""
    fleet = _start()
    window = fleet.window
    fleet.store.fate = "lost response"
    fleet.run_to(window + 3)
    fleet.store.fate = "ok"
    fleet.run_to(window + 6)
    _check(fleet, range(window, window + 4))
    finalized = fleet.find("vm-0").list_events("usage_finalized")
    windows = [each["window"] for each in finalized]
    assert windows == sorted(set(windows))


def test_counts_of_a_vm_that_was_cut_off_are_left_out():
    """Failure: late counts change a window that was finalized."""
    fleet = _start(rate=10.0)
    window = fleet.window + 2
    fleet.run_to(window - 1)
    isolated = fleet.find("vm-7")
    isolated.is_cut_off = True
    fleet.run_to(window + 2)
    known = dict(fleet.platform.accepted[window])
    isolated.is_cut_off = False
    fleet.run(ms(1500))
    lines = fleet.find("vm-0").list_events("usage_left_out")
    assert lines and lines[0]["source"] == "vm-7"
    assert lines[0]["requests"][str(window)] == 50
    assert fleet.find("vm-0").reporter.left_out_count >= 50
    assert fleet.platform.accepted[window] == known
    fleet.run_to(window + 6)
    assert len(fleet.find("vm-0").list_events("usage_left_out")) == len(lines)


def test_holder_that_was_cut_off_sends_what_its_successor_finalized():
    """Failure: a VM that held the term before finalizes from its own view."""
    fleet = _start()
    window = fleet.window + 2
    fleet.run_to(window)
    former = fleet.find("vm-0")
    former.is_cut_off = True
    fleet.end_term()
    fleet.run(ms(3300))
    fleet.elect("vm-1")
    fleet.run_to(window + 3)
    assert window in fleet.platform.accepted
    former.is_cut_off = False
    fleet.find("vm-1").is_cut_off = True
    fleet.end_term()
    fleet.run(ms(3300))
    # The former holder does not know the last records yet.
    fleet.elect("vm-0")
    fleet.run(ms(12_000))
    assert {window, window + 1, window + 2} <= set(fleet.platform.accepted)


@pytest.mark.parametrize("jump_s", [-6, 3, 6])
def test_clock_jump_of_one_vm_moves_no_requests(jump_s):
    """Failure: a VM whose clock jumps counts into other windows."""
    skews = [ms(10 * number) for number in range(-4, 5)]
    fleet = _start(skews=skews, rate=20.0)
    window = fleet.window + 1
    fleet.run_to(window + 1, ms(-2500))
    fleet.find("vm-0").clock.skew += ms(1000 * jump_s)
    fleet.run_to(window + 6)
    _check(fleet, range(window, window + 5))


def test_clocks_that_differ_by_seconds_are_outvoted():
    """Failure: a VM with a wrong clock counts by it after its start."""
    skews = [
        ms(5800),
        ms(-4000),
        ms(20),
        ms(-10),
        ms(0),
        ms(15),
        ms(-5),
        ms(3),
        ms(6000)
    ]
    fleet = _start(skews=skews, rate=20.0)
    window = fleet.window + 1
    fleet.run_to(window + 4)
    _check(fleet, range(window, window + 3))
    deviation = fleet.find("vm-0").true_time.own_deviation
    assert abs(deviation - ms(5800)) < ms(30)


def test_refused_token_ends_the_term():
    """Failure: a VM whose token was refused calls again with it."""
    fleet = _start()
    window = fleet.window
    fleet.run_to(window + 2)
    stale = fleet.find_term(fleet.find("vm-0"))
    fleet.elect("vm-1")
    fleet.run_to(window + 4)
    fleet._term = stale  # pylint: disable=protected-access
    fleet.platform.accepted_at.clear()
    vm = fleet.find("vm-0")
    vm.reporter.unsent_windows.clear()
    calls = len(fleet.platform.calls)
    fleet.run_to(window + 7)
    # The fake platform fails the test at a second call with the token.
    assert [name for name, *_ in fleet.platform.calls[calls:]] == ["vm-0"]
    assert fleet.find_term(vm) is None


def test_rate_limited_report_waits_as_long_as_it_was_told():
    """Failure: a VM that is rate limited calls again at once."""
    fleet = _start()
    window = fleet.window
    fleet.platform.fate = "rate limited"
    fleet.run_to(window + 2)
    fleet.platform.fate = "ok"
    times = [each[2] for each in fleet.platform.calls]
    assert len(times) > 1
    assert all(
        later - earlier >= ms(700) for earlier, later in zip(times, times[1:]))
    fleet.run_to(window + 4)
    _check(fleet, [window + 2])


def test_outage_of_the_api_delays_reports_but_loses_none():
    """Failure: windows are dropped, or late ones delay those due now."""
    fleet = _start()
    window = fleet.window
    fleet.platform.fate = "error"
    fleet.run_to(window + 6)
    assert not fleet.platform.accepted
    fleet.platform.fate = "ok"
    fleet.run(ms(3500))
    order = list(fleet.platform.accepted)
    assert set(order) == set(range(window, window + 6))
    # The reports of earlier windows are late already.
    assert order[0] == window + 5


def test_outage_of_the_store_delays_windows():
    """Failure: windows that ended in an outage of the store are lost."""
    fleet = _start()
    window = fleet.window
    fleet.run_to(window + 1)
    fleet.store.fate = "down"
    fleet.run_to(window + 6)
    fleet.store.fate = "ok"
    fleet.run_to(window + 8)
    assert set(range(window, window + 6)) <= set(fleet.platform.accepted)


def test_restart_of_all_vms_reports_no_window_without_its_counts():
    """Failure: windows whose counts are lost are reported as empty."""
    fleet = _start()
    window = fleet.window
    fleet.run_to(window + 2)
    for name in fleet.order:
        fleet.kill(name)
    fleet.run_to(window + 4, begin=False)
    for name in fleet.order:
        fleet.start(name)
    fleet.run(ms(1000))
    fleet.elect("vm-1")
    restarted = fleet.window
    fleet.run_to(restarted + 4)
    assert window + 3 not in fleet.platform.accepted
    assert window + 4 not in fleet.platform.accepted
    _check(fleet, [restarted + 1, restarted + 2])
    skipped = fleet.find("vm-1").list_events("usage_skipped")
    assert sum(each["count"] for each in skipped) == 3


def test_window_without_requests_is_reported():
    """Failure: a window without requests counts as missed."""
    fleet = _start()
    window = fleet.window + 2
    fleet.run_to(window - 1, ms(-300))
    fleet.run_to(window + 3, begin=False)
    assert fleet.platform.accepted[window] == {}


@pytest.mark.parametrize("names", [(), ("vm-0",), ("vm-0", "vm-1"),
                                   ("vm-0", "vm-1", "vm-2")])
def test_loss_of_holder_and_standbys_loses_only_their_time(names):
    """Failure: later windows are not reported after the keepers are gone."""
    fleet = _start(vms=9)
    window = fleet.window + 2
    fleet.run_to(window, ms(1000))
    for name in names:
        fleet.kill(name)
    if names:
        fleet.run(ms(3300))
        fleet.elect("vm-5")
    fleet.run_to(window + 6)
    _check(fleet, [window + 2, window + 3, window + 4])


def test_delay_too_short_for_two_windows_gives_one_write_each(monkeypatch):
    """Failure: reports are late since they wait for the next window."""
    monkeypatch.setattr(fleet_module, "WINDOWS",
                        fleet_module.usage.UsageWindows(ms(5000), ms(7000)))
    fleet = _start()
    window = fleet.window
    fleet.run_to(window + 5)
    for each in range(window, window + 4):
        assert fleet.find_delay(each) <= ms(7000)
    assert fleet.store.writes >= 4
