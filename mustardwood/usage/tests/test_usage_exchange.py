"""Tests of the counts that VMs send, and of their cost."""

import random

import msgspec
import pytest

from mustardwood import timing
from mustardwood import usage
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.usage import usage_exchange

ms = harness_module.ms
_WINDOWS = usage.UsageWindows(ms(5000), ms(10_000))
_MAX_REPORT_BYTES = 1200
"""Size at which a report with the load of an update fits into one packet."""


class _Vm:

    def __init__(self, keepers, name="vm-0", peers=8):
        self.clock = timing.ManualClock()
        self.true_time = usage.TrueTime(self.clock, lambda: peers)
        self.counter = usage.UsageCounter(_WINDOWS, self.true_time, self.clock)
        self.ledger = usage.UsageLedger(_WINDOWS)
        self.left_out = []
        self.exchange = usage.UsageExchange(
            name, self.clock, self.true_time, self.counter, self.ledger,
            lambda: keepers, lambda *found: self.left_out.append(found),
            random.Random(name))

    def begin(self, organisations, count=1):
        """Counts requests."""
        for number in range(organisations):
            for _ in range(count):
                self.counter.record_begin(f"hule{number:03}",
                                          self.clock.monotonic())


@pytest.mark.parametrize("vms", [9, 83, 195, 400])
def test_cost_of_reports(vms):
    """Failure: counts sent to all peers would be megabytes per second.

    In one minute, with 20 organisations, a VM sends its clock once a second to
    each peer and its counts to the three keepers only, in no further messages.
    """
    peers = [f"vm-{number}" for number in range(1, vms)]
    vm = _Vm(tuple(peers[:3]), peers=vms - 1)
    interval = min(ms(20) + ms(5) * max(0, vms - 9), ms(1000))
    sizes = {True: [], False: []}
    steps = ms(60_000) // interval
    for _ in range(steps):
        vm.clock.advance(interval)
        vm.begin(20)
        vm.counter.close_windows(_WINDOWS.find_window(vm.clock.now()) - 3)
        for peer in peers:
            report = vm.exchange.build_report(peer)
            if report is not None:
                sizes[bool(report.incarnation)].append(
                    len(msgspec.msgpack.encode(report)))
    assert 3 * 45 <= len(sizes[True]) <= 3 * 67
    assert len(sizes[True]) + len(sizes[False]) <= 67 * len(peers)
    assert max(sizes[True]) <= _MAX_REPORT_BYTES
    assert max(sizes[False]) <= 16
    per_second = (sum(sizes[True]) + sum(sizes[False])) / 60
    assert per_second <= 1.1 * (3 * _MAX_REPORT_BYTES + 16 * len(peers))


def test_counts_go_to_the_keepers_only():
    """Failure: each VM gets the counts of all others."""
    vm = _Vm(("vm-1", "vm-2"))
    vm.clock.advance(ms(3000))
    vm.begin(2)
    assert vm.exchange.build_report("vm-1").counts
    assert not vm.exchange.build_report("vm-3").counts


def test_counts_are_not_sent_before_true_time_is_known():
    """Failure: counts of a VM that has just started are in wrong windows."""
    vm = _Vm(("vm-1",))
    vm.begin(1)
    report = vm.exchange.build_report("vm-1")
    assert report.clock_ms and not report.incarnation
    vm.clock.advance(ms(3000))
    report = vm.exchange.build_report("vm-1")
    assert sum(sum(each.values()) for each in report.counts.values()) == 1


def test_more_organisations_than_fit_are_sent_in_turns():
    """Failure: a datagram is too long, or some organisations never arrive."""
    sender, receiver = _Vm(("vm-1",)), _Vm((), "vm-1")
    for vm in (sender, receiver):
        vm.clock.advance(ms(3000))
    sender.begin(1300)
    for _ in range(3):
        report = sender.exchange.build_report("vm-1")
        assert not report.is_whole
        assert sum(map(len,
                       report.counts.values())) <= (usage_exchange.MAX_ENTRIES)
        receiver.exchange.receive_report("vm-0", report)
        sender.clock.advance(ms(1000))
    window = _WINDOWS.find_window(receiver.clock.now())
    assert len(receiver.ledger.find_total(window)) == 1300
    assert receiver.ledger.count_reports(window - 5, ["vm-0"]) == 0


def test_reports_that_arrive_twice_or_in_another_order_change_nothing():
    """Failure: counts are added up although they are totals."""
    sender, receiver = _Vm(("vm-1",)), _Vm((), "vm-1")
    for vm in (sender, receiver):
        vm.clock.advance(ms(3000))
    reports = []
    for _ in range(3):
        sender.begin(1, count=5)
        reports.append(sender.exchange.build_report("vm-1"))
        sender.clock.advance(ms(500))
        sender.clock.advance(ms(500))
    for report in (reports[2], reports[2], reports[1], reports[0]):
        receiver.exchange.receive_report("vm-0", report)
    totals = [
        receiver.ledger.find_total(window).get("hule000", 0)
        for window in reports[2].counts
    ]
    assert sum(totals) == 15


@pytest.mark.parametrize("holder, keepers", [
    ("", ("a", "b", "c")),
    ("a", ("a", "b", "c")),
    ("c", ("c", "a", "b")),
    ("gone", ("gone", "a", "b")),
])
def test_keepers_are_the_holder_and_the_next_two(holder, keepers):
    """Failure: VMs send their counts to different standbys."""
    assert usage.choose_keepers(holder, ("a", "b", "c", "d")) == keepers


def test_keepers_of_a_single_vm():
    """Failure: a deployment with one VM has nobody to keep its counts."""
    assert usage.choose_keepers("a", ("a",)) == ("a",)


def test_ledger_stays_small_while_nothing_is_finalized():
    """Failure: the counts of an hour without the store fill the memory."""
    sender, receiver = _Vm(("vm-1",)), _Vm((), "vm-1")
    first = _WINDOWS.find_window(receiver.clock.now()) + 1
    for _ in range(720):
        for vm in (sender, receiver):
            vm.clock.advance(ms(5000))
        sender.begin(3)
        receiver.exchange.receive_report("vm-0",
                                         sender.exchange.build_report("vm-1"))
    kept = [
        window for window in range(first, first + 720)
        if receiver.ledger.find_total(window)
    ]
    assert 10 <= len(kept) <= 13
