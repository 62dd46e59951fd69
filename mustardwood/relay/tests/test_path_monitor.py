"""Tests that tell a lost path from failed endpoints."""

import datetime

from mustardwood import relay
from mustardwood import timing

_A, _B, _C = (("192.0.2.1", port) for port in (1, 2, 3))


def _make_monitor():
    clock = timing.ManualClock()
    return clock, relay.PathMonitor(clock)


def _ms(milliseconds):
    return datetime.timedelta(milliseconds=milliseconds)


def test_single_endpoint_that_fails_is_no_lost_path():
    _, monitor = _make_monitor()
    for _ in range(5):
        monitor.record_failure(_A, 3)
    assert not monitor.is_lost


def test_path_is_lost_when_two_endpoints_fail_until_one_answers():
    _, monitor = _make_monitor()
    monitor.record_failure(_A, 3)
    monitor.record_failure(_B, 3)
    assert monitor.is_lost
    monitor.record_connection()
    assert not monitor.is_lost


def test_only_endpoint_that_fails_is_a_lost_path():
    _, monitor = _make_monitor()
    monitor.record_failure(_A, 1)
    assert monitor.is_lost


def test_connection_between_two_failures_shows_that_the_path_is_there():
    _, monitor = _make_monitor()
    monitor.record_failure(_A, 3)
    monitor.record_connection()
    monitor.record_failure(_B, 3)
    assert not monitor.is_lost


def test_old_failure_does_not_count():
    clock, monitor = _make_monitor()
    monitor.record_failure(_A, 3)
    clock.advance(_ms(60_000))
    monitor.record_failure(_B, 3)
    assert not monitor.is_lost


def test_probes_are_due_when_several_endpoints_are_silent():
    clock, monitor = _make_monitor()
    monitor.record_write(_A)
    clock.advance(_ms(600))
    assert not monitor.take_probe()
    monitor.record_write(_B)
    clock.advance(_ms(600))
    assert monitor.take_probe()
    assert not monitor.take_probe()
    monitor.record_data()
    clock.advance(_ms(600))
    assert not monitor.take_probe()
    assert not monitor.needs_probes


def test_open_connections_hang_if_no_data_arrives():
    clock, monitor = _make_monitor()
    monitor.record_data()
    assert not monitor.is_silent
    clock.advance(_ms(600))
    assert monitor.is_silent


def test_lost_path_is_probed_at_intervals():
    clock, monitor = _make_monitor()
    for each in (_A, _B, _C):
        monitor.record_failure(each, 3)
    probes = 0
    for _ in range(100):
        probes += monitor.take_probe()
        clock.advance(_ms(50))
    assert probes == 10
