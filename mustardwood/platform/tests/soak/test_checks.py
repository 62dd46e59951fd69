"""Tests that each check of a run finds the fault that it is for."""

import pytest

from mustardwood.platform.tests.soak import caller
from mustardwood.platform.tests.soak import checks
from mustardwood.platform.tests.soak import endpoint


def _make_run(attempt_id, began_at, ended_at, path="/stream/", stream_id=""):
    return endpoint.Run(attempt_id, "engine-1", path, stream_id or attempt_id,
                        began_at, ended_at)


def _make_outcome(attempt_id, vm="vm-1", sent_at=0.0, **fields):
    return caller.Outcome(attempt_id, attempt_id, "/stream/", vm, sent_at,
                          **fields)


def test_request_that_may_run_once_and_ran_again_is_found():
    runs = [
        _make_run("a", 0.0, 0.1, "/post/"),
        _make_run("b", 0.0, 0.1, "/post/"),
        _make_run("a", 0.2, 0.3, "/post/")
    ]
    assert checks.find_repeated_runs(runs) == ["a"]


@pytest.mark.parametrize("ended_at, found", [(1.39, 0), (1.41, 1)])
def test_two_endpoints_at_work_on_one_stream_are_found(ended_at, found):
    runs = [_make_run("a", 0.0, ended_at), _make_run("a", 1.0, 3.0)]
    assert len(checks.find_overlaps(runs, [_make_outcome("a")])) == found


@pytest.mark.parametrize("disturbances, found", [((), 1),
                                                 ((("vm-1", 0.0, 0.5),), 0),
                                                 ((("vm-2", 0.0, 0.5),), 1)])
def test_run_for_a_caller_that_went_on_elsewhere_is_found(disturbances, found):
    runs = [
        _make_run("a", 0.0, 2.0),
        _make_run("b", 1.0, 3.0, stream_id="a"),
    ]
    outcomes = [_make_outcome("a"), _make_outcome("b", "vm-2")]
    assert len(checks.find_overlaps(runs, outcomes, disturbances)) == found


def test_refusal_of_a_request_that_ran_is_found():
    runs = [_make_run("a", 0.0, 0.1, "/post/")]
    outcomes = [_make_outcome("a", status=503), _make_outcome("b", status=503)]
    assert checks.find_broken_promises(runs, outcomes) == ["a"]


@pytest.mark.parametrize("began_at, found", [(0.5, ["a"]), (2.5, [])])
def test_run_belongs_to_the_last_time_at_which_its_caller_asked(
        began_at, found):
    runs = [_make_run("a", began_at, 3.0, "/post/")]
    outcomes = [
        _make_outcome("a", status=503, sent_at=0.0),
        _make_outcome("a", status=503, sent_at=1.0),
        _make_outcome("a", status=200, sent_at=2.0)
    ]
    assert checks.find_broken_promises(runs, outcomes) == found


@pytest.mark.parametrize("event_ids, last_id, found", [([1, 2, 3], 0, 0),
                                                       ([2, 3], 0, 1),
                                                       ([1, 3], 0, 1),
                                                       ([1, 1, 2], 0, 1),
                                                       ([4, 5], 4, 0),
                                                       ([4, 6], 4, 1)])
def test_gaps_and_repetitions_of_events_are_found(event_ids, last_id, found):
    outcome = _make_outcome("a", event_ids=event_ids, last_id=last_id)
    assert len(checks.find_disordered_streams([outcome])) == found


@pytest.mark.parametrize("ended_at, is_complete, found", [(3.1, False, 1),
                                                          (2.9, False, 0),
                                                          (3.1, True, 0)])
def test_request_that_waits_after_its_endpoint_has_left_it_is_found(
        ended_at, is_complete, found):
    runs = [_make_run("a", 0.0, 0.5), _make_run("a", 0.6, 1.0)]
    outcome = _make_outcome("a", ended_at=ended_at, is_complete=is_complete)
    assert len(checks.find_waiting_requests(runs, [outcome])) == found


@pytest.mark.parametrize("served, sent_at, found", [(10, 4.0, 1), (25, 4.0, 0),
                                                    (10, 2.0, 0), (10, 9.0, 0)])
def test_vm_that_serves_far_less_while_it_is_cut_is_found(
        served, sent_at, found):
    outcomes = [
        _make_outcome(str(number),
                      "vm-1",
                      sent_at,
                      status=200 if number < served else 503)
        for number in range(30)
    ]
    outcomes += [
        _make_outcome(f"other-{number}", "vm-2", sent_at, status=200)
        for number in range(30)
    ]
    cuts = [(frozenset({"vm-1"}), 0.5, 8.0)]
    assert len(checks.find_unserved_cuts(outcomes, cuts)) == found


@pytest.mark.parametrize("last, is_complete, found", [(20, True, 0),
                                                      (19, True, 1),
                                                      (19, False, 0)])
def test_stream_that_looks_complete_before_its_last_event_is_found(
        last, is_complete, found):
    outcome = _make_outcome("a",
                            status=200,
                            event_ids=list(range(1, last + 1)),
                            is_complete=is_complete)
    run = _make_run("a", 0.0, 1.0)
    assert len(checks.find_cut_off_streams([run], [outcome])) == found


def test_stream_of_a_killed_endpoint_may_look_complete():
    outcome = _make_outcome("a", status=200, event_ids=[1], is_complete=True)
    run = _make_run("a", 0.0, 1.0)
    run.was_killed = True
    assert not checks.find_cut_off_streams([run], [outcome])


@pytest.mark.parametrize("sent_at, status, found",
                         [(2.9, 404, 0), (3.1, 404, 1), (3.1, 401, 1),
                          (3.1, 503, 0), (3.1, 200, 0)])
def test_denial_of_a_route_that_was_added_in_time_is_found(
        sent_at, status, found):
    outcome = _make_outcome("a", sent_at=sent_at, status=status)
    outcome.route_since = 0.0
    assert len(checks.find_unapplied_changes([outcome])) == found


@pytest.mark.parametrize("served, found", [(4, 1), (5, 0)])
def test_vm_that_hardly_serves_new_routes_is_found(served, found):
    outcomes = []
    for number in range(20):
        outcomes.append(
            _make_outcome(f"a-{number}",
                          sent_at=4.0,
                          status=200 if number < served else 503))
        outcomes[-1].route_since = 0.0
    assert len(checks.find_unapplied_changes(outcomes)) == found


@pytest.mark.parametrize("name", ["vm-1", checks.STORE])
def test_denial_beside_a_disturbance_is_excused(name):
    outcome = _make_outcome("a", sent_at=4.0, status=404)
    outcome.route_since = 0.0
    assert not checks.find_unapplied_changes([outcome], [(name, 0.0, 1.5)])
