"""Tests of the turns in which connections decode chunks."""

from mustardwood import http1
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


class _Connection:

    def __init__(self, turns, chunks):
        self._turns = turns
        self._chunks = chunks
        self.turns = 0
        self.is_refused = False

    def decode(self):
        """Decodes some chunks, now or in a later turn."""
        if self._turns.may_decode:
            self._turns.record(self._chunks)
            self.turns += 1
        else:
            self.is_refused = not self._turns.wait(self.decode)


def _make_turns():
    scheduler = harness_module.FakeScheduler(timing.ManualClock())
    return http1.ChunkTurns(scheduler), scheduler


def test_many_connections_with_small_chunks_do_not_decode_in_one_turn():
    """One turn of the event loop for all of them delayed other requests."""
    turns, scheduler = _make_turns()
    connections = [_Connection(turns, chunks=2000) for _ in range(9)]
    for each in connections:
        each.decode()
    done = [sum(each.turns for each in connections)]
    for _ in range(2):
        scheduler.advance(ms(0))
        done.append(sum(each.turns for each in connections))
    assert done[0] == 3
    assert done[-1] == 9


def test_connections_take_turns_in_the_order_in_which_they_wait():
    turns, scheduler = _make_turns()
    long, *others = [_Connection(turns, chunks=5000) for _ in range(3)]
    for each in (long, long, *others):
        each.decode()
    scheduler.advance(ms(0))
    assert [each.turns for each in (long, *others)] == [2, 1, 1]


def test_connection_is_not_delayed_by_few_chunks_of_others():
    turns, _ = _make_turns()
    connections = [_Connection(turns, chunks=10) for _ in range(100)]
    for each in connections:
        each.decode()
    assert all(each.turns == 1 for each in connections)


def test_connections_that_would_wait_for_long_are_refused():
    turns, scheduler = _make_turns()
    connections = [_Connection(turns, chunks=5000) for _ in range(20)]
    for each in connections:
        each.decode()
    assert [each.is_refused for each in connections
           ] == 17 * [False] + 3 * [True]
    for _ in range(20):
        scheduler.advance(ms(0))
    assert sum(each.turns for each in connections) == 17
