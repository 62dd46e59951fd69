"""Tests of the time in which a restored store's answers prove nothing."""

import pytest

from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import freshness_gate
from mustardwood.platform import store_client

ms = harness_module.ms
Position = store_client.Position


def _make_gate(first_era=1, is_first_start=False):
    clock = timing.ManualClock()
    gate = freshness_gate.FreshnessGate(clock, is_first_start)
    gate.start_era(Position(first_era, 20))
    gate.record_shown(8, Position(first_era, 5))
    return clock, gate


@pytest.mark.parametrize(("first_era", "is_first_start", "is_open"),
                         [(0, False, True), (3, True, True), (3, False, False)])
def test_gate_is_open_at_the_start_unless_the_store_may_have_lost_a_version(
        first_era, is_first_start, is_open):
    _, gate = _make_gate(first_era, is_first_start)
    assert gate.is_open(8) == is_open


def test_gate_is_closed_while_the_store_shows_no_or_an_older_configuration():
    clock, gate = _make_gate()
    gate.start_era(Position(2, 10))
    clock.advance(ms(10_000))
    assert not gate.is_open(8)
    gate.record_shown(7, Position(2, 4))
    assert not gate.is_open(8)
    gate.record_shown(8, Position(2, 11))
    assert gate.is_open(8)


def test_gate_opens_two_seconds_after_a_restore_that_lost_no_configuration():
    clock, gate = _make_gate()
    gate.start_era(Position(2, 10))
    gate.record_shown(8, Position(2, 5))
    clock.advance(ms(1900))
    assert not gate.is_open(8)
    clock.advance(ms(100))
    assert gate.is_open(8)


def test_gate_stays_closed_when_a_version_is_known_at_another_revision():
    """The operator may have written it twice, and the copy has the first."""
    _, gate = _make_gate()
    gate.record_shown(8, Position(1, 25))
    assert gate.is_open(8)
    gate.start_era(Position(2, 10))
    gate.record_shown(8, Position(2, 5))
    assert not gate.is_open(8)
