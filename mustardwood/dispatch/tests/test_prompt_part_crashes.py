"""Tests of the record of prompt parts that crash engines."""

import random
import time

import pytest

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch import prompt_part_crashes
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_MAX_SECONDS = 2.0
"""Time for 100 crashes and 10,000 checks; a check then takes under 0.2 ms."""


class _Record:

    def __init__(self):
        self.clock = timing.ManualClock()
        self.changes = []
        self.crashes = dispatch.PromptPartCrashes(
            self.clock, random.Random(1),
            lambda part, change: self.changes.append((part, change)))
        self.clock.advance(ms(1000))

    def crash(self, *parts, engine=None, has_begun=True, delay=ms(600)):
        """Records a crash at an engine of its own, and advances the clock."""
        name = engine or f"engine-{self.clock.monotonic()}"
        self.crashes.record_crash(parts, name, has_begun)
        self.clock.advance(delay)

    def succeed(self, *parts, began=ms(0)):
        """Records a success that began the given time ago."""
        self.crashes.record_success(parts, self.clock.monotonic() - began)

    def blocks(self, *parts):
        """Returns whether a request with these parts is refused."""
        return bool(self.crashes.find_blocked_part(parts))


def _report(sender, receiver):
    """Passes the news of one record on to another one."""
    crashes, successes = sender.crashes.list_news()
    for crash in crashes:
        receiver.crashes.record_peer_crash(crash)
    for success in successes:
        receiver.crashes.record_peer_success(success)
    return len(crashes), len(successes)


def test_part_is_blocked_at_the_third_crash():
    record = _Record()
    for _ in range(2):
        record.crash("bad")
    assert not record.blocks("bad")
    record.crash("bad")
    assert record.blocks("other", "bad")
    assert not record.blocks("other")
    assert record.changes == [("bad", "blocked")]
    assert record.crashes.blocked_count == 1


def test_crashes_of_one_engine_count_once_until_it_has_started_again():
    record = _Record()
    for _ in range(8):
        record.crash("bad", engine="engine/1")
    assert not record.blocks("bad")
    for started in (2, 3):
        record.crash("bad", engine=f"engine/{started}")
    assert record.blocks("bad")


def test_requests_that_were_probably_waiting_count_less():
    record = _Record()
    for _ in range(5):
        record.crash("waiting", has_begun=False)
    assert not record.blocks("waiting")
    record.crash("waiting", has_begun=False)
    assert record.blocks("waiting")


def test_unrelated_part_does_not_explain_crashes_without_a_response():
    record = _Record()
    for _ in range(6):
        record.crash("headless", has_begun=False)
        record.crash("other")
    assert record.blocks("headless")
    assert record.blocks("other")


def test_simultaneous_crashes_count_once():
    record = _Record()
    for _ in range(50):
        record.crash("part", delay=ms(9))
    assert not record.blocks("part")


def test_old_crashes_do_not_count():
    record = _Record()
    for _ in range(6):
        record.crash("part", delay=ms(40_000))
    assert not record.blocks("part")


def test_success_clears_a_part_of_earlier_crashes_only():
    record = _Record()
    for _ in range(2):
        record.crash("part")
    record.succeed("part", began=ms(100))
    record.crash("part")
    record.succeed("part", began=ms(5000))
    for _ in range(2):
        assert not record.blocks("part")
        record.crash("part")
    assert record.blocks("part")


def test_success_of_a_blocked_part_ends_its_block():
    record = _Record()
    for _ in range(3):
        record.crash("part")
    record.succeed("part")
    assert not record.blocks("part")
    assert record.changes == [("part", "blocked"), ("part", "cleared")]


def test_crash_without_the_suspected_part_shows_the_true_cause():
    """The subject is the cause, and the part was there at first by chance."""
    record = _Record()
    for _ in range(3):
        record.crash("subject", "part")
    assert record.blocks("subject", "part")
    assert not record.blocks("subject")
    record.crash("subject")
    assert record.blocks("subject")


def test_two_crashing_parts_are_both_blocked():
    record = _Record()
    for _ in range(3):
        record.crash("common", "first")
        record.crash("common", "second")
    assert record.blocks("common", "first")
    assert record.blocks("common", "second")
    record.succeed("common")
    assert not record.blocks("common", "third")
    assert record.blocks("common", "first")


def test_block_that_has_ended_is_renewed_by_one_crash():
    record = _Record()
    for _ in range(3):
        record.crash("bad")
    record.clock.advance(ms(121_000))
    assert not record.blocks("bad")
    record.crash("bad")
    assert record.blocks("bad")
    record.clock.advance(ms(119_000))
    assert record.blocks("bad")


def test_peers_block_together():
    first, second = _Record(), _Record()
    for index in range(3):
        target = (first, second)[index % 2]
        target.crash("subject", "bad", engine=f"engine-{index}", delay=ms(0))
        for _ in range(3):
            _report(first, second)
            _report(second, first)
        for each in (first, second):
            each.clock.advance(ms(600))
    assert first.blocks("subject", "bad") and second.blocks("subject", "bad")
    assert not first.blocks("subject") and not second.blocks("subject")


def test_success_at_a_peer_clears_a_part():
    first, second = _Record(), _Record()
    for index in range(3):
        first.crash("subject", "bad", engine=f"engine-{index}", delay=ms(0))
        _report(first, second)
        for each in (first, second):
            each.clock.advance(ms(600))
    second.succeed("subject")
    assert _report(second, first)[1] == 1
    assert not first.blocks("subject", "other")
    assert first.blocks("bad")
    # An earlier crash that is reported again must not count again.
    _report(second, first)
    assert not first.blocks("subject", "other")


def test_vm_that_starts_later_learns_of_blocks():
    first, later = _Record(), _Record()
    for _ in range(3):
        first.crash("subject", "bad")
    reported = 0
    for _ in range(60):
        first.clock.advance(ms(100))
        later.clock.advance(ms(100))
        reported += _report(first, later)[0]
    assert later.blocks("subject", "bad")
    assert not later.blocks("subject")
    assert reported < 60, "blocks are reported too often"


def test_news_are_bounded():
    record = _Record()
    for index in range(100):
        record.crash(*(f"{index}-{part}" for part in range(64)), delay=ms(10))
    crashes, _ = record.crashes.list_news()
    assert len(crashes) <= 32


def test_hostile_requests_take_bounded_memory_and_time():
    record = _Record()
    started = time.perf_counter()
    for index in range(100):
        record.crash(*(f"{index}-{part}" for part in range(64)), "bad")
    for index in range(10_000):
        record.blocks(f"sound-{index}")
    assert time.perf_counter() - started < _MAX_SECONDS
    assert len(record.crashes) <= 1024
    assert record.blocks("bad"), "a block must not be evicted"


def test_names_of_parts_are_bounded_and_without_the_last_part():
    harness = harness_module.Harness()
    keys = [
        "ab", "AB", "", "x" * 5000, *(str(each) for each in range(99)), "own"
    ]
    parts = tuple(dispatch.PromptPart(each, 1) for each in keys)
    names = prompt_part_crashes.find_parts(
        harness_module.make_request(harness,
                                    prompt=dispatch.Prompt(parts, 9, 9)))
    assert names[0] == "engine/ab"
    assert len(set(names)) == len(names) <= 64
    assert max(map(len, names)) <= 40
    assert "engine/own" not in names


@pytest.mark.parametrize("parts", [(), (dispatch.PromptPart("own", 1),)])
def test_prompt_without_shared_parts_has_no_names(parts):
    harness = harness_module.Harness()
    assert not prompt_part_crashes.find_parts(
        harness_module.make_request(harness,
                                    prompt=dispatch.Prompt(parts, 9, 9)))
