"""Tests that calls with an idempotency key run at most once.

Entries are killed or frozen and the platform loses, delays or refuses calls,
before, during and after the service call. Uses real processes.
"""

import collections
import functools
import http
import time

import pytest

from mustardwood.tests import callers

pytestmark = pytest.mark.processes

_SERVICE = "service-1"
_NO_FAULTS = {
    "outage": False,
    "hang": False,
    "delay_seconds": 0.0,
    "lost_answers": 0,
}
_NOT_COMPLETED_CODES = ("in_progress", "outcome_unknown")
_RETRYABLE_CODES = ("in_progress", "claim_unavailable")
_SLOW_SECONDS = 1.5


@pytest.fixture(scope="module", name="fleet")
def run_fleet():
    """Runs three VMs and a service with a concurrency of one."""
    with callers.run_fleet("127.82.2", vms=3, services=1,
                           concurrency=1) as fleet:
        for number in (1, 2, 3):
            _post(fleet, number, f"warm {number}")
        yield fleet


@pytest.fixture(autouse=True)
def _reset_faults(fleet):
    yield
    fleet.set_faults("platform", **_NO_FAULTS)
    fleet.set_faults(_SERVICE,
                     slow_seconds=0.0,
                     lose_answers=0,
                     crash_answers=0)
    _restore_entry(fleet)


def _restore_entry(fleet):
    entry = fleet.children["vm-1/entry"]
    if entry.is_running:
        entry.resume()
    else:
        fleet.restart("vm-1/entry")
    fleet.wait_until_ready("vm-1/entry")


def _post(fleet, number, key, **options):
    return callers.call_service(fleet.find_callers_url(number), key, **options)


def _start_post(fleet, number, key, **options):
    return callers.run_in_background(
        functools.partial(_post, fleet, number, key, **options))


def _count_runs(fleet, key):
    return collections.Counter(
        each["idempotency_key"]
        for each in fleet.read_json(_SERVICE, "/log"))[key]


def _wait_for_run(fleet, key):
    callers.wait_until(lambda: _count_runs(fleet, key) == 1,
                       f"the call {key} runs")


def _retry_until(fleet, number, key, is_final, **options):
    """Retries after each `Retry-After` until a reply is final; returns it."""
    replies = []

    def send():
        replies.append(_post(fleet, number, key, **options))
        if is_final(replies[-1]):
            return True
        assert replies[-1].error["code"] in _RETRYABLE_CODES, replies[-1]
        time.sleep(float(replies[-1].headers["retry-after"]))
        return False

    callers.wait_until(send, f"the call {key} has its final answer")
    return replies[-1]


def _is_success(reply):
    return reply.status == http.HTTPStatus.OK


def _is_outcome_unknown(reply):
    return reply.error.get("code") == "outcome_unknown"


def test_concurrent_calls_with_one_key_run_once(fleet):
    for round_number in range(5):
        key = f"two entries {round_number}"
        replies = callers.run_concurrently([
            functools.partial(_post, fleet, 1 + number % 3, key)
            for number in range(9)
        ])
        for reply in replies:
            assert _is_success(reply) or reply.error["code"] == "in_progress"
        assert any(map(_is_success, replies))
        bodies = {reply.body for reply in replies if _is_success(reply)}
        assert len(bodies) == 1
        again = _post(fleet, 1 + round_number % 3, key)
        assert _is_success(again) and again.body in bodies
        assert again.headers["x-idempotent-replay"] == "1"
        assert _count_runs(fleet, key) == 1


def test_call_whose_entry_was_killed_does_not_run_again(fleet):
    key = "killed"
    fleet.set_faults(_SERVICE, slow_seconds=_SLOW_SECONDS)
    with _start_post(fleet, 1, key, request_class="posting-short") as pending:
        _wait_for_run(fleet, key)
        fleet.children["vm-1/entry"].kill()
        assert pending.result().is_truncated
        early_reply = _post(fleet, 2, key, request_class="posting-short")
        assert early_reply.error["code"] in _NOT_COMPLETED_CODES
        assert early_reply.error["ran"] == "outcome_unknown"
    final = _retry_until(fleet,
                         3,
                         key,
                         _is_outcome_unknown,
                         request_class="posting-short")
    assert final.error["ran"] == "outcome_unknown"
    _restore_entry(fleet)
    assert _is_outcome_unknown(
        _post(fleet, 1, key, request_class="posting-short"))
    assert _count_runs(fleet, key) == 1


def test_call_whose_entry_was_killed_in_an_outage_does_not_run_again(fleet):
    key = "killed in an outage"
    fleet.set_faults(_SERVICE, slow_seconds=_SLOW_SECONDS)
    with _start_post(fleet, 1, key, request_class="posting-short") as pending:
        _wait_for_run(fleet, key)
        fleet.set_faults("platform", outage=True)
        fleet.children["vm-1/entry"].kill()
        assert pending.result().is_truncated
    reply = _post(fleet, 2, key, request_class="posting-short")
    assert reply.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    assert reply.error["code"] == "claim_unavailable"
    fleet.set_faults("platform", outage=False)
    later = _post(fleet, 3, key, request_class="posting-short")
    assert later.error["code"] in _NOT_COMPLETED_CODES
    assert _count_runs(fleet, key) == 1


def test_stored_answer_is_returned_after_its_entry_was_killed(fleet):
    key = "stored"
    first = _post(fleet, 1, key)
    assert _is_success(first)
    fleet.children["vm-1/entry"].kill()
    again = _post(fleet, 2, key)
    assert _is_success(again) and again.body == first.body
    assert again.headers["x-idempotent-replay"] == "1"
    _restore_entry(fleet)
    assert _count_runs(fleet, key) == 1


@pytest.mark.parametrize("lost", [1, 2])
def test_call_runs_once_when_the_reply_to_its_claim_is_lost(fleet, lost):
    key = f"lost claim {lost}"
    fleet.set_faults("platform", lost_answers=lost)
    replies = callers.run_concurrently(
        [functools.partial(_post, fleet, number, key) for number in (1, 2)])
    assert any(map(_is_success, replies)) or all(
        reply.error["ran"] == "not_run" for reply in replies)
    assert _is_success(_retry_until(fleet, 3, key, _is_success))
    assert _count_runs(fleet, key) == 1


def test_answer_is_kept_when_the_reply_to_settling_its_claim_is_lost(fleet):
    key = "lost end"
    fleet.set_faults(_SERVICE, slow_seconds=_SLOW_SECONDS)
    with _start_post(fleet, 1, key) as pending:
        _wait_for_run(fleet, key)
        fleet.set_faults("platform", lost_answers=1)
        first = pending.result()
    assert _is_success(first)
    again = _retry_until(fleet, 2, key, _is_success)
    assert again.body == first.body
    assert _count_runs(fleet, key) == 1


def test_claim_that_takes_effect_after_it_was_given_up_is_never_used(fleet):
    """Covers a platform so slow that the claim is written after the timeout."""
    key = "late claim"
    fleet.set_faults("platform", delay_seconds=3.0)
    given_up = _post(fleet, 1, key)
    assert given_up.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    assert given_up.error["ran"] == "not_run"
    assert _count_runs(fleet, key) == 0
    fleet.set_faults("platform", delay_seconds=0.0)
    assert _is_success(_retry_until(fleet, 2, key, _is_success))
    assert _count_runs(fleet, key) == 1


@pytest.mark.parametrize("fault", ["outage", "hang"])
def test_claim_in_an_outage_is_refused_and_runs_later(fleet, fault):
    key = f"refused in {fault}"
    fleet.set_faults("platform", **{fault: True})
    replies = callers.run_concurrently(
        [functools.partial(_post, fleet, number, key) for number in (1, 2)])
    for reply in replies:
        assert reply.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        assert reply.error["code"] == "claim_unavailable"
        assert reply.error["ran"] == "not_run"
        assert "retry-after" in reply.headers
    assert _count_runs(fleet, key) == 0
    fleet.set_faults("platform", **_NO_FAULTS)
    assert _is_success(_retry_until(fleet, 3, key, _is_success))
    assert _count_runs(fleet, key) == 1


def test_answer_of_a_call_during_an_outage_is_kept_for_retries(fleet):
    key = "outage in the call"
    fleet.set_faults(_SERVICE, slow_seconds=_SLOW_SECONDS)
    with _start_post(fleet, 1, key) as pending:
        _wait_for_run(fleet, key)
        fleet.set_faults("platform", outage=True)
        first = pending.result()
    assert _is_success(first)
    refused = _post(fleet, 2, key)
    assert refused.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    fleet.set_faults("platform", outage=False)
    again = _retry_until(fleet, 2, key, _is_success)
    assert again.body == first.body
    assert _count_runs(fleet, key) == 1


def test_holder_frozen_in_the_call_past_its_deadline_runs_once(fleet):
    key = "frozen in the call"
    fleet.set_faults(_SERVICE, slow_seconds=_SLOW_SECONDS)
    with _start_post(fleet, 1, key, request_class="posting-short") as pending:
        _wait_for_run(fleet, key)
        fleet.children["vm-1/entry"].freeze()
        _retry_until(fleet,
                     2,
                     key,
                     _is_outcome_unknown,
                     request_class="posting-short")
        fleet.children["vm-1/entry"].resume()
        reply = pending.result()
    assert _is_success(reply) or _is_outcome_unknown(reply) or (
        reply.error["ran"] == "outcome_unknown"), reply
    assert _count_runs(fleet, key) == 1


def test_holder_frozen_before_its_grant_sends_nothing_after_its_deadline(fleet):
    """Covers an entry that holds a claim while its call waits in the queue.

    It is frozen before the grant and resumes after the deadline, when the
    other entries already report the outcome as unknown.
    """
    key = "frozen before the grant"
    fleet.set_faults(_SERVICE, slow_seconds=_SLOW_SECONDS)
    with _start_post(fleet, 3, "busy") as busy:
        _wait_for_run(fleet, "busy")
        with _start_post(fleet, 1, key,
                         request_class="posting-short") as pending:
            callers.wait_until(lambda: _is_waiting(fleet),
                               "the call waits in the queue")
            fleet.children["vm-1/entry"].freeze()
            assert _is_success(busy.result())
            _retry_until(fleet,
                         2,
                         key,
                         _is_outcome_unknown,
                         request_class="posting-short")
            fleet.children["vm-1/entry"].resume()
            reply = pending.result()
    assert reply.error["ran"] == "not_run", reply
    assert _count_runs(fleet, key) == 0


@pytest.mark.parametrize("fault", ["lose_answers", "crash_answers"])
def test_call_without_a_key_is_sent_once(fleet, fault):
    fleet.set_faults(_SERVICE, **{fault: 1})
    body = f'{{"without a key": "{fault}"}}'
    reply = _post(fleet, 1, "", body=body)
    assert _is_outcome_unknown(reply)
    log = fleet.read_json(_SERVICE, "/log")
    assert [each["body"] for each in log].count(body) == 1


def test_claimed_call_with_a_lost_answer_is_never_sent_again(fleet):
    key = "lost answer"
    fleet.set_faults(_SERVICE, lose_answers=1)
    assert _is_outcome_unknown(_post(fleet, 1, key))
    assert _is_outcome_unknown(_retry_until(fleet, 2, key, _is_outcome_unknown))
    assert _count_runs(fleet, key) == 1


def _is_waiting(fleet):
    """Returns whether a scheduler has a request in its queue."""
    status = fleet.read_json("vm-2/agent", "/v1/status")
    return any(seen["queued"]
               for cell in status["cells"]
               for seen in cell["schedulers"].values())
