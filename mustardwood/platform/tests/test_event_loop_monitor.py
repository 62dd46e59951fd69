"""Tests of the measurement of late timers."""

from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import event_loop_monitor

ms = harness_module.ms


def test_process_that_stands_still_is_logged_once():
    clock = timing.ManualClock()
    scheduler = harness_module.FakeScheduler(clock)
    journal = harness_module.FakeJournal()
    monitor = event_loop_monitor.EventLoopMonitor(clock, scheduler, journal)
    monitor.start()
    scheduler.advance(ms(1000))
    assert not journal.lines
    clock.advance(ms(400))
    scheduler.advance(ms(1000))
    assert journal.lines == [("event_loop_late", {"late_ms": 200})]
    assert monitor.total_delay == ms(200)
