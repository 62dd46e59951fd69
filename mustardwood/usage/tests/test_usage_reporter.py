"""Tests of single decisions of `UsageReporter`."""

import pytest

from mustardwood import leadership
from mustardwood import timing
from mustardwood import usage
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_WINDOWS = usage.UsageWindows(ms(5000), ms(10_000))
_ACCEPTED = leadership.CallResult(leadership.CallOutcome.ACCEPTED)


class _Vm:
    """A reporter of a single VM, whose actions the test carries out."""

    def __init__(self, era=0, record=None, revision=0):
        self.clock = timing.ManualClock()
        self.journal = harness_module.FakeJournal()
        self.true_time = usage.TrueTime(self.clock, lambda: 0)
        self.ledger = usage.UsageLedger(_WINDOWS)
        self.reporter = usage.UsageReporter("vm-1", _WINDOWS, self.true_time,
                                            self.ledger, self.clock,
                                            self.journal)
        self.first = _WINDOWS.find_window(self.clock.now())
        self.reporter.handle_listing(era, record, revision)

    def count(self, window, count):
        """Counts requests in a window."""
        self.ledger.record("vm-1", 1, self.first, True,
                           {window: {
                               "tatra": count
                           }}, self.clock.now())

    def decide(self, token: int | None = 7, after=ms(0)):
        """Returns the actions after some time.

        The VM's own counts are recorded before, as in the process.
        """
        self.clock.advance(after)
        self.ledger.record("vm-1", 1, self.first, True, {}, self.clock.now())
        term = None if token is None else leadership.Term(
            "vm-1", token,
            self.clock.monotonic() + ms(2500))
        return self.reporter.decide(term, ["vm-1"])

    def decide_write(self, **arguments):
        """Returns the only action, a write."""
        return self._decide_one(usage.RecordWrite, arguments)

    def decide_send(self, **arguments):
        """Returns the only action, a report."""
        return self._decide_one(usage.WindowSend, arguments)

    def _decide_one(self, kind, arguments):
        actions = self.decide(**arguments)
        assert [type(each) for each in actions] == [kind]
        return actions[0]


def _start(**arguments):
    vm = _Vm(**arguments)
    vm.count(vm.first, 3)
    vm.count(vm.first + 1, 4)
    return vm


def test_window_is_sent_only_after_it_was_finalized():
    """Failure: a report is sent that a successor does not know."""
    vm = _start()
    write = vm.decide_write(after=ms(13_000))
    assert write.record.windows == {
        vm.first: {
            "tatra": 3
        },
        vm.first + 1: {
            "tatra": 4
        }
    }
    assert (write.expected_revision, write.token, write.era) == (0, 7, 0)
    assert not vm.decide()
    vm.reporter.handle_written(write, 12)
    send = vm.decide_send()
    assert (send.window, send.counts) == (vm.first, {"tatra": 3})
    assert not vm.reporter.handle_call_result(send, _ACCEPTED)
    send = vm.decide_send()
    assert send.window == vm.first + 1


def test_write_without_a_response_is_repeated_unchanged():
    """Failure: two tries of a write hold different counts."""
    vm = _start()
    first = vm.decide_write(after=ms(13_000))
    vm.reporter.handle_store_failure("no response")
    vm.count(vm.first, 9)
    assert not vm.decide()
    second = vm.decide_write(after=ms(400))
    assert second is first


def test_write_holds_the_token_of_its_term():
    """Failure: a late write takes effect in the term of another VM."""
    vm = _start()
    assert vm.decide_write(token=9, after=ms(13_000)).token == 9


def test_write_of_an_ended_term_is_not_repeated():
    """Failure: a VM without a term goes on writing."""
    vm = _start()
    vm.decide_write(after=ms(13_000))
    vm.reporter.handle_store_failure("no response")
    assert not vm.decide(token=None, after=ms(1000))


def test_write_that_the_watch_shows_needs_no_response():
    """Failure: a window is finalized twice since a response was lost."""
    vm = _start()
    write = vm.decide_write(after=ms(13_000))
    vm.reporter.handle_change(0, write.record, 12)
    vm.reporter.handle_store_failure("no response")
    actions = vm.decide(after=ms(400))
    assert [type(each) for each in actions] == [usage.WindowSend]


def test_conflict_with_a_known_change_costs_no_read():
    """Failure: a write that came second costs a call for each change."""
    vm = _start()
    write = vm.decide_write(after=ms(13_000))
    other = usage.UsageRecord(0, 8, vm.first, -1, {vm.first: {"tatra": 2}})
    vm.reporter.handle_change(0, other, 12)
    assert not vm.reporter.handle_written(write, None)
    assert vm.reporter.unsent_windows == [vm.first]


def test_conflict_with_an_unknown_change_is_read():
    """Failure: a write is repeated whose condition can't hold any more."""
    vm = _start()
    write = vm.decide_write(after=ms(13_000))
    assert vm.reporter.handle_written(write, None) == [usage.RecordRead()]
    assert not vm.decide(after=ms(1000))
    other = usage.UsageRecord(0, 8, vm.first, -1, {vm.first: {"tatra": 2}})
    vm.reporter.handle_read(0, other, 12)
    actions = vm.decide(after=ms(1000))
    sent = [each for each in actions if isinstance(each, usage.WindowSend)]
    assert [each.counts for each in sent] == [{"tatra": 2}]


@pytest.mark.parametrize("outcome", ["FAILED", "NO_RESPONSE", "RATE_LIMITED"])
def test_report_is_repeated_to_the_letter(outcome):
    """Failure: a repeated report has other counts than the first one."""
    vm = _start()
    vm.reporter.handle_written(vm.decide_write(after=ms(13_000)), 12)
    first = vm.decide_send()
    vm.count(vm.first, 9)
    vm.reporter.handle_call_result(
        first, leadership.CallResult(leadership.CallOutcome[outcome], ms(900)))
    assert not vm.decide(after=ms(800))
    second = vm.decide_send(after=ms(200))
    assert (second.window, second.counts) == (first.window, {"tatra": 3})


def test_refused_token_ends_the_term():
    """Failure: a VM acts on a term that another VM has succeeded."""
    vm = _start()
    vm.reporter.handle_written(vm.decide_write(after=ms(13_000)), 12)
    send = vm.decide_send()
    refused = leadership.CallResult(leadership.CallOutcome.TOKEN_REFUSED)
    assert vm.reporter.handle_call_result(
        send, refused) == [usage.TermEnd(7, "token_refused")]


def test_refusal_of_an_earlier_term_does_not_end_the_present_one():
    """Failure: each new term ends at the late refusal of a call before it.

    The VM also forgets that it knows all windows if the store is restored.
    """
    vm = _start()
    vm.reporter.handle_written(vm.decide_write(after=ms(13_000)), 12)
    send = vm.decide_send()
    vm.count(vm.first + 2, 5)
    write = vm.decide_write(token=9, after=ms(8000))
    vm.reporter.handle_written(write, 14)
    refused = leadership.CallResult(leadership.CallOutcome.TOKEN_REFUSED)
    assert not vm.reporter.handle_call_result(send, refused)
    vm.reporter.handle_restore()
    restored = [
        fields for event, fields in vm.journal.lines
        if event == "usage_store_restored"
    ]
    assert restored[0]["knows_all"]


def test_accepted_windows_are_told_to_successors():
    """Failure: a successor sends all windows of the record again."""
    vm = _start()
    vm.reporter.handle_written(vm.decide_write(after=ms(13_000)), 12)
    for _ in range(2):
        send = vm.decide_send()
        vm.reporter.handle_call_result(send, _ACCEPTED)
    vm.count(vm.first + 2, 5)
    write = vm.decide_write(after=ms(10_000))
    assert write.record.accepted == vm.first + 1
    successor = _Vm(record=write.record, revision=13)
    assert successor.reporter.unsent_windows == [vm.first + 2, vm.first + 3]


def test_all_windows_before_a_restore_are_decided_by_one_record():
    """Failure: a record counts as complete for its era but is not.

    Another VM would finalize windows anew that it does not mention.
    """
    record = usage.UsageRecord(0, 5, 353445119, 353445119, {})
    vm = _start(era=1, record=record, revision=9)
    vm.reporter.handle_restore()
    vm.clock.advance(ms(25_100))
    vm.reporter.handle_restore()
    vm.reporter.handle_listing(3, record, 9)
    vm.ledger.record("vm-2", 1, 0, True, {vm.first: {
        "tatra": 1
    }}, vm.clock.now())
    write = vm.decide_write()
    assert write.record.through == vm.first + 4
    assert not write.record.windows
    assert write.record.era == 3


def test_late_write_of_an_earlier_era_is_not_trusted():
    """Failure: an old write that lands in a restored store is sent."""
    vm = _start(era=1)
    late = usage.UsageRecord(0, 5, vm.first, -1, {vm.first: {"tatra": 99}})
    vm.reporter.handle_change(1, late, 12)
    assert not vm.reporter.unsent_windows
    write = vm.decide_write(after=ms(13_000))
    assert vm.first not in write.record.windows
    assert vm.first + 1 in write.record.windows
    assert write.expected_revision == 12


@pytest.mark.parametrize("event", ["handle_listing", "handle_read"])
def test_late_write_of_an_earlier_era_is_not_trusted_in_a_listing(event):
    """Failure: a VM that starts sends a window with a second count."""
    vm = _start(era=2)
    late = usage.UsageRecord(1, 2**40 + 5, vm.first, vm.first - 1, {
        vm.first - 1: {
            "tatra": 8
        },
        vm.first: {
            "tatra": 99
        }
    })
    getattr(vm.reporter, event)(2, late, 30)
    assert not vm.reporter.unsent_windows
    assert vm.reporter.finalized_through == vm.first - 1
    write = vm.decide_write(token=2 * 2**40 + 31, after=ms(13_000))
    assert vm.first not in write.record.windows
    assert vm.first + 1 in write.record.windows
    assert write.expected_revision == 30


@pytest.mark.parametrize("has_written, is_in_term",
                         [(True, True), (False, True), (True, False)])
def test_only_a_vm_that_knows_all_writes_again(has_written, is_in_term):
    """Failure: a VM declares a record complete that lacks a window."""
    vm = _start()
    if has_written:
        vm.reporter.handle_written(vm.decide_write(after=ms(13_000)), 12)
        vm.decide()
    else:
        known = usage.UsageRecord(0, 3, vm.first, vm.first, {})
        vm.reporter.handle_change(0, known, 11)
        vm.decide(after=ms(6_000))
    if not is_in_term:
        vm.clock.advance(ms(2600))
    vm.reporter.handle_restore()
    vm.reporter.handle_listing(1, None, 0)
    actions = vm.decide(token=None)
    if has_written and is_in_term:
        assert len(actions) == 1
        write = actions[0]
        assert write.record.era == 1 and write.token is None
        assert set(write.record.windows) == {vm.first, vm.first + 1}
    else:
        assert not actions


def test_api_outage_of_an_hour_keeps_the_record_small():
    """Failure: the record grows until the store rejects it."""
    record = usage.UsageRecord()
    for window in range(720):
        record = record.add_windows(0, 1, window, {window: {"tatra": 1}}, -1)
    assert sorted(record.windows) == list(range(660, 720))


def test_long_gap_is_left_out_at_once():
    """Failure: a VM finalizes each window of a day without the system."""
    record = usage.UsageRecord(0, 5, 353400000, 353400000, {})
    vm = _start(record=record, revision=9)
    write = vm.decide_write(after=ms(13_000))
    assert write.record.through == vm.first + 1
    skipped = [each for each in vm.journal.lines if each[0] == "usage_skipped"]
    assert skipped[0][1]["count"] == vm.first - 353400001
