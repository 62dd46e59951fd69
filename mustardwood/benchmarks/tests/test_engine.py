"""Tests of the modelled inference engine."""

import pytest

from mustardwood.benchmarks import engine
from mustardwood.benchmarks import engine_settings
from mustardwood.benchmarks import sequence
from mustardwood.benchmarks import timeline

_SETTINGS = engine_settings.EngineSettings(base_seconds=0.01,
                                           seconds_per_sequence=0.0,
                                           chunk_tokens=100,
                                           chunk_seconds=0.01,
                                           batch_limit=2)


def _run(sequences, end=100.0, crash_at=None):
    clock = timeline.Timeline()
    model = engine.Engine("e", _SETTINGS, clock)
    events = []
    for name, prompt, output, priority in sequences:
        model.submit(
            sequence.Sequence(name,
                              priority,
                              prompt,
                              output,
                              0,
                              lambda name=name: events.append(
                                  (name, "first", clock.seconds)),
                              lambda is_complete, name=name: events.append(
                                  (name, is_complete, clock.seconds))))
    if crash_at is not None:
        clock.call_at(crash_at, model.crash)
    clock.run_until(end)
    return model, {event[:2]: event[2] for event in events}


def test_prefill_and_decoding_take_the_modelled_time():
    model, events = _run([("a", 200, 11, 0)])
    assert events["a", "first"] == pytest.approx(2 * 0.02)
    assert events["a", True] == pytest.approx(2 * 0.02 + 10 * 0.01)
    assert model.generated_tokens == pytest.approx(11)


def test_sequences_beyond_the_batch_limit_start_by_priority():
    _, events = _run([("a", 1, 50, 1), ("b", 1, 100, 1), ("c", 1, 10, 2),
                      ("d", 1, 10, 0)])
    assert events["d", "first"] < events["c", "first"]
    assert events["d", "first"] >= events["a", True]


def test_crash_interrupts_running_sequences():
    model, events = _run([("a", 100, 1000, 0)], crash_at=1.0)
    assert events["a", False] == 1.0
    assert model.running == 0
