"""Tests with late, repeated and lost messages and with a change of owner.

The state of a cell is soft state: a new owner rebuilds it from the heartbeats
of the entries.
"""

import datetime

from mustardwood import configuration
from mustardwood import messages
from mustardwood import scheduling
from mustardwood.scheduling.tests import harness as harness_module


def _make_harness(**options):
    classes = [configuration.RequestClass("t0", 0, 1.0)]
    return harness_module.SchedulerHarness(
        harness_module.make_document(classes, **options))


def _make_learnt_harness(**options):
    harness = _make_harness(**options)
    harness.send_heartbeat(0)
    harness.advance(scheduling.LEARNING_TIME)
    return harness


def _count_running(harness) -> int:
    return harness.scheduler.describe(harness.now).running


def test_new_owner_counts_running_attempts_before_it_grants():
    old = _make_learnt_harness(concurrency=4)
    for _ in range(10):
        old.ask("t0")
    running = [old.make_running(each) for each in old.grants.values()]
    new = _make_harness(concurrency=4)
    new.asks = old.asks
    waiting = [ask for ask, _ in old.waiting.values()]
    outgoing = new.send_heartbeat(1, waiting, running)
    assert outgoing[-1].message.learning
    new.advance(scheduling.LEARNING_TIME)
    assert len(running) == 4
    assert not new.grants
    report = messages.AttemptReport(running[0].request_id, 1, new.cell.name,
                                    "e0", messages.Outcome.WHOLE)
    new.deliver(
        new.scheduler.handle_attempt_report(harness_module.make_peer(), report,
                                            new.now))
    assert len(new.grants) == 1


def test_new_owner_grants_one_request_per_endpoint_while_learning():
    harness = _make_harness(concurrency=4)
    for _ in range(3):
        harness.ask("t0")
    assert len(harness.grants) == 1
    harness.advance(scheduling.LEARNING_TIME)
    assert len(harness.grants) == 3


def _make_unknown_attempt(number) -> messages.RunningAttempt:
    return messages.RunningAttempt(f"x{number}", 1, "e0", "t0", "o", 10, 1)


def test_first_heartbeat_with_unknown_attempts_restarts_learning():
    harness = _make_learnt_harness(concurrency=8)
    harness.send_heartbeat(1, running=[_make_unknown_attempt(1)], sender=2)
    asks = [harness.ask("t0") for _ in range(3)]
    assert not harness.grants
    harness.advance(scheduling.LEARNING_TIME)
    assert {each.request_id for each in asks} == set(harness.grants)


def test_unknown_attempt_of_a_known_entry_does_not_restart_learning():
    harness = _make_learnt_harness(concurrency=8)
    for number in range(1, 4):
        harness.send_heartbeat(number, running=[_make_unknown_attempt(number)])
        ask = harness.ask("t0")
        assert ask.request_id in harness.grants


def test_repeated_ask_gets_the_same_grant():
    harness = _make_learnt_harness(concurrency=1)
    ask = harness.ask("t0")
    outgoing = harness.scheduler.handle_ask(harness_module.make_peer(), ask,
                                            harness.now)
    assert [each.message for each in outgoing
           ] == [harness.grants[ask.request_id]]
    outgoing = harness.send_heartbeat(5, [ask])
    assert outgoing[0].message == harness.grants[ask.request_id]
    assert _count_running(harness) == 1


def test_repeated_ask_gets_the_same_refusal():
    harness = _make_learnt_harness()
    ask = harness.ask("t0", excluded=("e0",))
    first = harness.refusals.pop(ask.request_id)
    harness.send(ask)
    assert harness.refusals[ask.request_id] == first


def test_ask_after_its_withdrawal_is_ignored():
    harness = _make_learnt_harness()
    ask = harness.make_ask("t0")
    harness.withdraw(ask)
    harness.send(ask)
    assert not harness.grants
    assert not harness.scheduler.has_work


def test_late_ask_of_an_ended_attempt_is_not_granted_again():
    harness = _make_learnt_harness()
    ask = harness.ask("t0")
    harness.report(ask.request_id)
    harness.send(ask)
    assert _count_running(harness) == 0


def test_late_heartbeat_does_not_restore_an_ended_attempt():
    harness = _make_learnt_harness()
    ask = harness.ask("t0")
    running = harness.make_running(harness.grants[ask.request_id])
    harness.report(ask.request_id)
    harness.send_heartbeat(7, running=[running])
    assert _count_running(harness) == 0


def test_heartbeat_with_older_sequence_number_is_ignored():
    harness = _make_learnt_harness()
    harness.send_heartbeat(9)
    harness.send_heartbeat(8, [harness.make_ask("t0")])
    assert not harness.scheduler.has_work


def test_report_of_an_unknown_attempt_is_ignored():
    harness = _make_learnt_harness()
    report = messages.AttemptReport("x", 1, harness.cell.name, "none",
                                    messages.Outcome.BROKEN)
    assert not harness.scheduler.handle_attempt_report(
        harness_module.make_peer(), report, harness.now)


def test_attempt_missing_from_heartbeats_is_removed_after_grace():
    harness = _make_learnt_harness()
    harness.ask("t0")
    harness.send_heartbeat(2)
    assert _count_running(harness) == 1
    harness.advance(datetime.timedelta(seconds=1.1))
    harness.send_heartbeat(3)
    assert _count_running(harness) == 0


def test_attempts_of_an_entry_without_heartbeats_are_removed():
    harness = _make_learnt_harness(concurrency=1)
    harness.ask("t0", sender=2)
    other = harness.ask("t0", sender=1)
    for sequence in range(1, 5):
        harness.send_heartbeat(sequence, [other])
        harness.advance(datetime.timedelta(seconds=1))
    assert other.request_id in harness.grants


def test_attempts_of_a_removed_entry_are_removed():
    harness = _make_learnt_harness()
    harness.ask("t0")
    harness.scheduler.remove_entry(harness_module.make_peer(), harness.now)
    assert not harness.scheduler.has_work


def test_waiting_request_is_refused_at_its_deadline():
    harness = _make_learnt_harness(concurrency=1)
    harness.ask("t0")
    ask = harness.ask("t0", remaining=1.0)
    harness.advance(datetime.timedelta(seconds=1))
    assert (harness.refusals[ask.request_id].reason
            is messages.RefusalReason.DEADLINE)


def test_planned_stop_refuses_waiting_requests():
    harness = _make_learnt_harness(concurrency=1)
    harness.ask("t0")
    ask = harness.ask("t0")
    harness.deliver(harness.scheduler.stop(harness.now))
    assert (harness.refusals[ask.request_id].reason
            is messages.RefusalReason.STOPPING)


def test_changed_class_applies_to_waiting_requests():
    harness = _make_learnt_harness(concurrency=1)
    harness.ask("t0")
    ask = harness.ask("t0")
    document = harness_module.make_document(
        [configuration.RequestClass("t0", 3, 1.0)], concurrency=2)
    cell = harness.cell
    cell = type(cell)(cell.name, cell.serves, cell.region, document.endpoints)
    harness.deliver(harness.scheduler.update_cell(cell, document, harness.now))
    assert harness.grants[ask.request_id].priority == 3


def test_explain_returns_the_decisions_about_a_request():
    harness = _make_learnt_harness()
    ask = harness.ask("t0")
    texts = [each.text for each in harness.scheduler.explain(ask.request_id)]
    assert len(texts) == 2
    assert texts[1].startswith("Granted endpoint e0")
