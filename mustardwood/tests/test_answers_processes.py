"""Tests that answers are complete, not mixed up and truthful about runs.

Faulty engines repeat, delay, truncate or mix up the events of streams. A caller
must get the complete answer to its own request or an error, and an error may
say `not_run` only if no endpoint ran the request. Uses real processes.
"""

import contextlib
import functools
import http
import http.client
import json
import socket
import urllib.parse

import pytest

from mustardwood.tests import callers

pytestmark = pytest.mark.processes

_ENGINES = ("engine-1", "engine-2", "engine-3")
_FIRST_BYTE_TIMEOUT_SECONDS = 30.0
"""Timeout for the first byte of an answer."""

_ENDPOINT_DOWN_SECONDS = 20.0
"""Time for which endpoints are down. Each request is given up earlier, after
one failure at each endpoint with backoff of up to 0.5 + 1 + 2 + 4 s."""

_NO_FAULTS = {
    "straggle_factor": 1.0,
    "truncate_streams": 0,
    "truncate_after": 3,
    "reset_streams": 0,
    "refuse_requests": 0,
    "resumes": True,
    "cross_events": 0,
    "cross_ids": 0,
    "late_events": 0,
    "repeat_events": 0,
}
_EVENTS_OF_OTHER_ANSWERS = {"cross_events": 1}
_WRONG_IDS = {"cross_ids": 1}
_LATE_EVENTS = {"late_events": 1}
_REPEATED_EVENTS = {"repeat_events": 1}
_TRUNCATED = {"truncate_streams": 1, "truncate_after": 4}
_RESET = {"reset_streams": 1, "truncate_after": 4}
_FAULT_COUNTERS = ("cross_events", "cross_ids", "late_events", "repeat_events",
                   "truncate_streams", "reset_streams")


@pytest.fixture(scope="module", name="fleet")
def run_fleet():
    """Runs two VMs, three engines and two services for all tests."""
    with callers.run_fleet("127.82.1", vms=2, engines=3, services=2) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def _reset_faults(fleet):
    yield
    for name in _ENGINES:
        fleet.wait_until_healthy(name)
        fleet.set_faults(name, **_NO_FAULTS)
    for name in ("service-1", "service-2"):
        fleet.set_faults(name, lose_answers=0, crash_answers=0, refuse_calls=0)


def _send_completions(fleet, name, count=12):
    """Sends completions concurrently to both entries; every third unstreamed.

    Returns:
        The completions and their replies, in the same order.
    """
    completions = [
        callers.make_completion(f"{name} {number}", stream=number % 3 > 0)
        for number in range(count)
    ]
    replies = callers.run_concurrently([
        functools.partial(each.send, fleet.find_callers_url(1 + number % 2))
        for number, each in enumerate(completions)
    ])
    return completions, replies


def _is_complete(completion, reply):
    """Returns whether a reply is complete.

    Checks that a complete reply has the expected text, and that any other one
    has an error whose status and code fit its run state.
    """
    if reply.is_marked_complete:
        assert reply.text == completion.expected
        assert not reply.error
        return True
    assert reply.error, reply
    if not reply.is_stream and reply.error["ran"] != "not_run":
        assert (reply.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR or
                reply.error["code"] == "poison_request")
    return False


def test_repeated_event_is_never_part_of_a_complete_answer(fleet):
    for name in _ENGINES:
        fleet.set_faults(name, repeat_events=1)
    completions = [
        callers.make_completion(f"repeat {stream}", stream=stream)
        for stream in (True, False)
    ]
    replies = [each.send(fleet.find_callers_url(1)) for each in completions]
    assert not _is_complete(completions[0], replies[0])
    assert replies[0].error["code"] == "incomplete_answer"
    assert _is_complete(completions[1], replies[1])


def test_answer_resumes_on_another_engine_after_a_crash(fleet):
    completion = callers.make_completion("crash", min_tokens=60)
    with callers.run_in_background(
            functools.partial(completion.send,
                              fleet.find_callers_url(2))) as pending:
        running = _wait_for_running_engine(fleet)
        with contextlib.suppress(ConnectionError):
            fleet.set_faults(running, crash=True)
        reply = pending.result()
    assert _is_complete(completion, reply), reply
    fleet.wait_until_healthy(running)
    request_id = reply.headers["x-request-id"]
    states = [
        each["state"]
        for name in _ENGINES
        for each in fleet.read_json(name, "/log")
        if each["request_id"] == request_id
    ]
    assert sorted(states) == ["crashed", "finished"]


def test_answer_resumes_on_another_engine_when_one_freezes(fleet):
    completion = callers.make_completion("freeze", min_tokens=60)
    with callers.run_in_background(
            functools.partial(completion.send,
                              fleet.find_callers_url(1))) as pending:
        running = _wait_for_running_engine(fleet)
        fleet.children[running].freeze()
        try:
            reply = pending.result()
        finally:
            fleet.children[running].resume()
    assert _is_complete(completion, reply), reply


def test_disconnected_callers_do_not_affect_other_answers(fleet):
    for name in _ENGINES:
        fleet.set_faults(name, late_events=2)
    abandoned = [
        callers.make_completion(f"leave {number}", min_tokens=300)
        for number in range(6)
    ]
    for number, each in enumerate(abandoned):
        _disconnect_after_first_byte(fleet.find_callers_url(1 + number % 2),
                                     each)
    completions, replies = _send_completions(fleet, "stay")
    for pair in zip(completions, replies):
        _is_complete(*pair)
    callers.wait_until(
        lambda: _count_states(fleet, "cancelled") >= len(abandoned),
        "the engines cancelled the requests")


@pytest.mark.parametrize(
    "faults", [
        _EVENTS_OF_OTHER_ANSWERS, _WRONG_IDS, _LATE_EVENTS, _TRUNCATED, {
            **_EVENTS_OF_OTHER_ANSWERS,
            **_TRUNCATED
        }, {
            **_LATE_EVENTS,
            **_WRONG_IDS
        }
    ],
    ids=lambda faults: "+".join(sorted(set(faults) & set(_FAULT_COUNTERS))))
def test_answers_are_complete_and_correct_while_one_engine_is_healthy(
        fleet, faults):
    for name in _ENGINES[:2]:
        fleet.set_faults(name, **faults)
    completions, replies = _send_completions(fleet, "-".join(sorted(faults)))
    for each, reply in zip(completions, replies):
        assert _is_complete(each, reply), reply
    remaining = [callers.read_faults(fleet, name) for name in _ENGINES[:2]]
    assert any(fault[key] < faults[key]
               for fault in remaining
               for key in set(faults) & set(_FAULT_COUNTERS))


@pytest.mark.parametrize(
    "faults", [
        _REPEATED_EVENTS, _RESET, {
            **_REPEATED_EVENTS,
            **_TRUNCATED
        }, {
            **_RESET,
            **_LATE_EVENTS
        }, {
            **_EVENTS_OF_OTHER_ANSWERS,
            **_LATE_EVENTS,
            **_WRONG_IDS,
            **_REPEATED_EVENTS,
            **_TRUNCATED,
            **_RESET
        }
    ],
    ids=lambda faults: "+".join(sorted(set(faults) & set(_FAULT_COUNTERS))))
def test_answers_are_complete_and_correct_or_errors(fleet, faults):
    for name in _ENGINES:
        fleet.set_faults(name, **faults)
    completions, replies = _send_completions(fleet, "-".join(sorted(faults)))
    are_complete = [_is_complete(*pair) for pair in zip(completions, replies)]
    assert any(are_complete)
    callers.check_run_states(fleet, replies)


@pytest.mark.parametrize("fault", ["truncate_streams", "reset_streams"])
def test_truncated_answer_is_not_marked_as_complete(fleet, fault):
    for name in _ENGINES:
        fleet.set_faults(name, resumes=False, truncate_after=2, **{fault: 100})
    completions, replies = _send_completions(fleet, f"cut {fault}", count=4)
    for each, reply in zip(completions, replies):
        assert not _is_complete(each, reply)
        assert reply.error["ran"] == "outcome_unknown"


def test_not_run_is_true_while_endpoints_refuse(fleet):
    for name in _ENGINES:
        fleet.set_faults(name, refuse_requests=100)
    for name in ("service-1", "service-2"):
        fleet.set_faults(name, refuse_calls=100)
    _, replies = _send_completions(fleet, "refuse", count=4)
    replies.append(callers.call_service(fleet.find_callers_url(1)))
    assert {reply.error["ran"] for reply in replies} == {"not_run"}
    callers.check_run_states(fleet, replies)


def test_not_run_is_true_while_endpoints_are_down(fleet):
    for name in _ENGINES:
        fleet.set_faults(name, refuse_seconds=_ENDPOINT_DOWN_SECONDS)
    _, replies = _send_completions(fleet, "down", count=4)
    assert {reply.error["ran"] for reply in replies} == {"not_run"}
    for name in _ENGINES:
        fleet.wait_until_healthy(name)
    callers.check_run_states(fleet, replies)


@pytest.mark.parametrize("fault", ["lose_answers", "crash_answers"])
def test_lost_answer_of_a_service_is_not_reported_as_not_run(fleet, fault):
    for name in ("service-1", "service-2"):
        fleet.set_faults(name, **{fault: 1})
    reply = callers.call_service(fleet.find_callers_url(2))
    assert reply.error["code"] == "outcome_unknown"
    assert reply.error["ran"] == "outcome_unknown"
    assert callers.count_runs_by_request(fleet)[reply.error["request_id"]] == 1


@pytest.mark.parametrize("fault", ["truncate_streams", "reset_streams"])
def test_non_idempotent_request_runs_once(fleet, fault):
    for name in _ENGINES:
        fleet.set_faults(name, truncate_after=1, **{fault: 100})
    completion = callers.make_completion(f"once {fault}", request_class="once")
    reply = completion.send(fleet.find_callers_url(1))
    assert not _is_complete(completion, reply)
    assert reply.error["code"] == "outcome_unknown"
    assert callers.count_runs_by_request(fleet)[reply.error["request_id"]] == 1


def test_silence_after_the_send_is_not_reported_as_not_run(fleet):
    with _freeze(fleet, _ENGINES):
        completion = callers.make_completion("silent", request_class="short")
        reply = completion.send(fleet.find_callers_url(1))
    assert reply.error["code"] == "deadline_exceeded"
    assert reply.error["ran"] == "outcome_unknown"


def test_connection_that_is_never_accepted_is_reported_as_not_run(fleet):
    services = ("service-1", "service-2")
    with _freeze(fleet, services), _fill_backlogs(fleet, services):
        reply = callers.call_service(fleet.find_callers_url(1))
    assert reply.error["ran"] == "not_run", reply
    callers.check_run_states(fleet, [reply])


def test_not_run_is_true_for_shed_requests(fleet):
    completions = [
        callers.make_completion(f"crowd {number}",
                                min_tokens=60,
                                request_class="crowded") for number in range(80)
    ]
    replies = callers.run_concurrently([
        functools.partial(each.send, fleet.find_callers_url(1 + number % 2))
        for number, each in enumerate(completions)
    ])
    shed = [reply for reply in replies if reply.error]
    assert shed
    assert all(
        _is_complete(*pair) or pair[1].error["ran"] == "not_run"
        for pair in zip(completions, replies))
    callers.check_run_states(fleet, replies)


def _wait_for_running_engine(fleet):
    """Waits until an engine runs the only open request; returns its name."""
    found = []

    def find_running():
        found[:] = [
            name for name in _ENGINES
            if any(each["state"] == "started"
                   for each in fleet.read_json(name, "/log"))
        ]
        return bool(found)

    callers.wait_until(find_running, "an engine runs a request")
    return found[0]


def _count_states(fleet, state):
    return sum(each["state"] == state
               for name in _ENGINES
               for each in fleet.read_json(name, "/log"))


def _disconnect_after_first_byte(url, completion):
    host = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(host.hostname,
                                            host.port,
                                            timeout=_FIRST_BYTE_TIMEOUT_SECONDS)
    body = {
        "model": callers.MODEL,
        "messages": [{
            "role": "user",
            "content": completion.prompt
        }],
        "stream": True
    }
    connection.request(
        "POST", "/v1/chat/completions", json.dumps(body), {
            "authorization": f"Bearer {callers.API_KEY}",
            "content-type": "application/json"
        })
    assert connection.getresponse().read1(1)
    connection.close()


@contextlib.contextmanager
def _freeze(fleet, names):
    for name in names:
        fleet.children[name].freeze()
    try:
        yield
    finally:
        for name in names:
            fleet.children[name].resume()


@contextlib.contextmanager
def _fill_backlogs(fleet, names):
    """Fills the listen backlogs of frozen processes with connections.

    Further connections are then not accepted by the kernel.
    """
    with contextlib.ExitStack() as stack:
        for name in names:
            host = urllib.parse.urlsplit(fleet.children[name].url)
            with contextlib.suppress(TimeoutError):
                for _ in range(1000):
                    stack.enter_context(
                        socket.create_connection((host.hostname, host.port),
                                                 timeout=0.5))
        yield
