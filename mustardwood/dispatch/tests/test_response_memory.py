"""Tests of the bound on the buffers of all responses together."""

import dataclasses

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

_KIB = 1024
_MAX_BYTES = 1024 * _KIB


class _Holder:

    def __init__(self):
        self.is_released = False

    def release_memory(self):
        """Records the call."""
        self.is_released = True


def test_largest_buffer_is_dropped_first():
    memory = dispatch.ResponseMemory(100 * _KIB)
    small, large, last = _Holder(), _Holder(), _Holder()
    memory.hold(small, 20 * _KIB)
    memory.hold(large, 70 * _KIB)
    memory.hold(last, 30 * _KIB)
    assert [each.is_released for each in (small, large, last)
           ] == [False, True, False]
    assert memory.held_bytes == 50 * _KIB
    assert memory.drops == 1


def test_buffers_that_grow_shrink_and_end_are_counted_once():
    memory = dispatch.ResponseMemory(100 * _KIB)
    holder = _Holder()
    for count in (20, 40, 30):
        memory.hold(holder, count * _KIB)
        assert memory.held_bytes == count * _KIB
    memory.hold(holder, _KIB)
    assert memory.held_bytes == 0
    memory.hold(holder, 90 * _KIB)
    memory.release(holder)
    memory.release(holder)
    assert memory.held_bytes == 0
    assert not holder.is_released


def test_events_without_end_of_many_streams_leave_a_sound_one_alone():
    harness = harness_module.Harness()
    memory = dispatch.ResponseMemory(_MAX_BYTES)
    harness.context = dataclasses.replace(harness.context,
                                          response_memory=memory)
    _, sound = harness.start(harness_module.make_stream_request(harness))
    sound_attempt = harness.client.sent[0]
    sound_attempt.begin()
    endless = []
    for _ in range(60):
        harness.start(
            harness_module.make_request(
                harness,
                is_stream=True,
                retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE))
        endless.append(harness.client.sent[-1])
        endless[-1].begin()
    for _ in range(15):
        for each in endless:
            if not each.is_aborted:
                each.listener.receive_data(b"x" * 16 * _KIB)
            assert memory.held_bytes <= _MAX_BYTES
        sound_attempt.listener.receive_data(b"data: a\n\n")
    sound_attempt.listener.receive_end()
    assert sound.end == "complete"
    assert memory.drops >= 40
    ends = {
        each["end"] for event, line in harness.journal.lines
        if event == "request" for each in line["attempts"]
    }
    assert ends == {"complete", "no memory left for the response"}


def test_nothing_is_held_after_the_end_of_all_requests():
    harness = harness_module.Harness()
    forwarding, _ = harness.start()
    attempt = harness.client.sent[0]
    attempt.begin()
    attempt.listener.receive_data(b"x" * 100 * _KIB)
    assert harness.context.response_memory.held_bytes == 100 * _KIB
    forwarding.handle_caller_disconnect()
    assert harness.context.response_memory.held_bytes == 0
