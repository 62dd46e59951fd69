"""Tests of the log while its reader is fast, slow or gone."""

import datetime
import json
import os

from twisted.python import failure

from mustardwood import timing
from mustardwood.platform import event_journal


def _read(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            part = os.read(descriptor, 65536)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        if not part:
            return [json.loads(line) for line in data.splitlines()]
        data += part


def test_lines_are_json_objects_with_vm_and_event():
    reader, writer = os.pipe()
    journal = event_journal.EventJournal(timing.ManualClock(), "vm-1", writer)
    journal.write("endpoint", endpoint="i-1")
    line, = _read(reader)
    assert (line["vm"], line["event"], line["endpoint"]) == ("vm-1", "endpoint",
                                                             "i-1")


def test_lines_over_the_rate_limit_are_dropped_and_counted():
    reader, writer = os.pipe()
    clock = timing.ManualClock()
    journal = event_journal.EventJournal(clock, "vm-1", writer)
    for number in range(1000):
        journal.write("request", number=number)
    assert len(_read(reader)) == 200
    clock.advance(datetime.timedelta(seconds=1))
    journal.write("request", number=0)
    assert _read(reader)[0]["dropped_lines"] == 800


def test_writing_to_a_full_pipe_does_not_block():
    _, writer = os.pipe()
    clock = timing.ManualClock()
    journal = event_journal.EventJournal(clock, "vm-1", writer)
    for _ in range(20):
        clock.advance(datetime.timedelta(seconds=1))
        for _ in range(200):
            journal.write("request", text="x" * 200)
    assert journal.dropped > 0


def test_writing_to_a_closed_pipe_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    journal = event_journal.EventJournal(timing.ManualClock(), "vm-1", writer)
    journal.write("request")


def test_errors_are_logged_whichever_of_its_interfaces_twisted_uses():
    reader, writer = os.pipe()
    journal = event_journal.EventJournal(timing.ManualClock(), "vm-1", writer)
    found = failure.Failure(RuntimeError("unforeseen"))
    journal.log_twisted_error({"log_failure": found})
    journal.log_twisted_error({"failure": found, "isError": 1})
    journal.log_twisted_error({"log_text": "no error"})
    assert [each["error"] for each in _read(reader)] == ["unforeseen"] * 2
