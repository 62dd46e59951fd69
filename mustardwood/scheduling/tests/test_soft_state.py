"""Late, repeated and lost messages, and the change of owners."""

import datetime

from mustardwood import configuration
from mustardwood import messages
from mustardwood import scheduling
from mustardwood.scheduling.tests import bench as bench_module


def _make_bench(**options):
    classes = [configuration.RequestClass("t0", 0, 1.0)]
    return bench_module.Bench(bench_module.make_document(classes, **options))


def _make_learnt(**options):
    bench = _make_bench(**options)
    bench.heartbeat(0)
    bench.advance(scheduling.LEARNING_TIME)
    return bench


def _count_running(bench) -> int:
    return bench.scheduler.describe(bench.now).running


def test_new_owner_takes_running_work_over_before_it_grants():
    old = _make_learnt(concurrency=4)
    for _ in range(10):
        old.ask("t0")
    running = [old.make_running(each) for each in old.grants.values()]
    new = _make_bench(concurrency=4)
    new.asks = old.asks
    waiting = [ask for ask, _ in old.waiting.values()]
    answers = new.heartbeat(1, waiting, running)
    assert answers[-1].message.learning
    new.advance(scheduling.LEARNING_TIME)
    assert len(running) == 4
    assert not new.grants
    report = messages.AttemptReport(running[0].request_id, 1, new.cell.name,
                                    "e0", messages.Outcome.WHOLE)
    new.take(
        new.scheduler.handle_attempt_report(bench_module.make_peer(), report,
                                            new.now))
    assert len(new.grants) == 1


def test_new_owner_grants_little_while_it_learns():
    bench = _make_bench(concurrency=4)
    for _ in range(3):
        bench.ask("t0")
    assert len(bench.grants) == 1
    bench.advance(scheduling.LEARNING_TIME)
    assert len(bench.grants) == 3


def _make_foreign(number) -> messages.RunningAttempt:
    return messages.RunningAttempt(f"x{number}", 1, "e0", "t0", "o", 10, 1)


def test_first_heartbeat_with_unknown_work_starts_learning_again():
    bench = _make_learnt(concurrency=8)
    bench.heartbeat(1, running=[_make_foreign(1)], sender=2)
    asks = [bench.ask("t0") for _ in range(3)]
    assert not bench.grants
    bench.advance(scheduling.LEARNING_TIME)
    assert {each.request_id for each in asks} == set(bench.grants)


def test_unknown_work_of_a_known_entry_delays_nobody():
    bench = _make_learnt(concurrency=8)
    for number in range(1, 4):
        bench.heartbeat(number, running=[_make_foreign(number)])
        ask = bench.ask("t0")
        assert ask.request_id in bench.grants


def test_repeated_ask_gets_the_same_grant():
    bench = _make_learnt(concurrency=1)
    ask = bench.ask("t0")
    answers = bench.scheduler.handle_ask(bench_module.make_peer(), ask,
                                         bench.now)
    assert [each.message for each in answers] == [bench.grants[ask.request_id]]
    answers = bench.heartbeat(5, [ask])
    assert answers[0].message == bench.grants[ask.request_id]
    assert _count_running(bench) == 1


def test_repeated_ask_gets_the_same_refusal():
    bench = _make_learnt()
    ask = bench.ask("t0", excluded=("e0",))
    first = bench.refusals.pop(ask.request_id)
    bench.send(ask)
    assert bench.refusals[ask.request_id] == first


def test_withdrawal_before_its_ask():
    bench = _make_learnt()
    ask = bench.make_ask("t0")
    bench.withdraw(ask)
    bench.send(ask)
    assert not bench.grants
    assert not bench.scheduler.has_work


def test_late_ask_of_an_ended_attempt_is_not_granted_again():
    bench = _make_learnt()
    ask = bench.ask("t0")
    bench.report(ask.request_id)
    bench.send(ask)
    assert _count_running(bench) == 0


def test_late_heartbeat_does_not_revive_ended_work():
    bench = _make_learnt()
    ask = bench.ask("t0")
    running = bench.make_running(bench.grants[ask.request_id])
    bench.report(ask.request_id)
    bench.heartbeat(7, running=[running])
    assert _count_running(bench) == 0


def test_older_heartbeat_changes_nothing():
    bench = _make_learnt()
    bench.heartbeat(9)
    bench.heartbeat(8, [bench.make_ask("t0")])
    assert not bench.scheduler.has_work


def test_report_of_an_unknown_attempt_is_harmless():
    bench = _make_learnt()
    report = messages.AttemptReport("x", 1, bench.cell.name, "none",
                                    messages.Outcome.BROKEN)
    assert not bench.scheduler.handle_attempt_report(bench_module.make_peer(),
                                                     report, bench.now)


def test_work_missing_from_heartbeats_ends():
    bench = _make_learnt()
    bench.ask("t0")
    bench.heartbeat(2)
    assert _count_running(bench) == 1
    bench.advance(datetime.timedelta(seconds=1.1))
    bench.heartbeat(3)
    assert _count_running(bench) == 0


def test_work_of_a_silent_entry_is_forgotten():
    bench = _make_learnt(concurrency=1)
    bench.ask("t0", sender=2)
    other = bench.ask("t0", sender=1)
    for sequence in range(1, 5):
        bench.heartbeat(sequence, [other])
        bench.advance(datetime.timedelta(seconds=1))
    assert other.request_id in bench.grants


def test_restarted_entry_is_forgotten():
    bench = _make_learnt()
    bench.ask("t0")
    bench.scheduler.remove_entry(bench_module.make_peer(), bench.now)
    assert not bench.scheduler.has_work


def test_expired_request_is_refused():
    bench = _make_learnt(concurrency=1)
    bench.ask("t0")
    ask = bench.ask("t0", remaining=1.0)
    bench.advance(datetime.timedelta(seconds=1))
    assert (bench.refusals[ask.request_id].reason
            is messages.RefusalReason.DEADLINE)


def test_planned_stop_refuses_what_waits():
    bench = _make_learnt(concurrency=1)
    bench.ask("t0")
    ask = bench.ask("t0")
    bench.take(bench.scheduler.stop(bench.now))
    assert (bench.refusals[ask.request_id].reason
            is messages.RefusalReason.STOPPING)


def test_changed_class_applies_to_what_waits():
    bench = _make_learnt(concurrency=1)
    bench.ask("t0")
    ask = bench.ask("t0")
    document = bench_module.make_document(
        [configuration.RequestClass("t0", 3, 1.0)], concurrency=2)
    cell = bench.cell
    cell = type(cell)(cell.name, cell.serves, cell.region, document.endpoints)
    bench.take(bench.scheduler.update_cell(cell, document, bench.now))
    assert bench.grants[ask.request_id].priority == 3


def test_decisions_are_explained():
    bench = _make_learnt()
    ask = bench.ask("t0")
    texts = [each.text for each in bench.scheduler.explain(ask.request_id)]
    assert len(texts) == 2
    assert texts[1].startswith("Granted endpoint e0")
