"""Tests of whole, own answers and of "not run" with real processes."""

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
_LEAVE_SECONDS = 30.0
"""Bound on the wait for the first bytes of an answer."""

_DOWN_SECONDS = 20.0
"""Time for which endpoints are down; each request is given up sooner, after one
failure at each endpoint with back-off of up to 0.5 + 1 + 2 + 4 s."""

_SOUND = {
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
_CROSSED = {"cross_events": 1}
_WRONG_IDS = {"cross_ids": 1}
_LATE = {"late_events": 1}
_REPEATED = {"repeat_events": 1}
_TRUNCATED = {"truncate_streams": 1, "truncate_after": 4}
_RESET = {"reset_streams": 1, "truncate_after": 4}
_COUNTED = ("cross_events", "cross_ids", "late_events", "repeat_events",
            "truncate_streams", "reset_streams")


@pytest.fixture(scope="module", name="fleet")
def run_fleet():
    """Runs two VMs and three engines for the whole file."""
    with callers.run_fleet("127.82.1", vms=2, engines=3, services=2) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def _mend_engines(fleet):
    yield
    for name in _ENGINES:
        fleet.wait_until_healthy(name)
        fleet.set_faults(name, **_SOUND)
    for name in ("service-1", "service-2"):
        fleet.set_faults(name, lose_answers=0, crash_answers=0, refuse_calls=0)


def _send_load(fleet, name, count=12):
    """Sends completions, streamed and not, over both entries at once."""
    asked = [
        callers.make_completion(f"{name} {number}", stream=number % 3 > 0)
        for number in range(count)
    ]
    replies = callers.run_together([
        functools.partial(each.send, fleet.find_callers_url(1 + number % 2))
        for number, each in enumerate(asked)
    ])
    return asked, replies


def _is_whole(asked, reply):
    """Checks that a reply is whole or truthful; returns whether it is whole."""
    if reply.is_marked_whole:
        assert reply.text == asked.expected
        assert not reply.error
        return True
    assert reply.error, reply
    if not reply.is_stream and reply.error["ran"] != "not_run":
        assert (reply.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR or
                reply.error["code"] == "poison_request")
    return False


def test_repeated_event_is_never_part_of_a_whole_answer(fleet):
    for name in _ENGINES:
        fleet.set_faults(name, repeat_events=1)
    asked = [
        callers.make_completion(f"repeat {stream}", stream=stream)
        for stream in (True, False)
    ]
    replies = [each.send(fleet.find_callers_url(1)) for each in asked]
    assert not _is_whole(asked[0], replies[0])
    assert replies[0].error["code"] == "incomplete_answer"
    assert _is_whole(asked[1], replies[1])


def test_answer_goes_on_elsewhere_after_a_crash(fleet):
    asked = callers.make_completion("crash", shortest=60)
    with callers.start_call(
            functools.partial(asked.send,
                              fleet.find_callers_url(2))) as pending:
        running = _wait_for_work(fleet)
        with contextlib.suppress(ConnectionError):
            fleet.set_faults(running, crash=True)
        reply = pending.result()
    assert _is_whole(asked, reply), reply
    fleet.wait_until_healthy(running)
    request_id = reply.headers["x-request-id"]
    states = [
        each["state"]
        for name in _ENGINES
        for each in fleet.read_json(name, "/log")
        if each["request_id"] == request_id
    ]
    assert sorted(states) == ["crashed", "finished"]


def test_answer_goes_on_elsewhere_when_an_engine_freezes(fleet):
    asked = callers.make_completion("freeze", shortest=60)
    with callers.start_call(
            functools.partial(asked.send,
                              fleet.find_callers_url(1))) as pending:
        running = _wait_for_work(fleet)
        fleet.children[running].freeze()
        try:
            reply = pending.result()
        finally:
            fleet.children[running].resume()
    assert _is_whole(asked, reply), reply


def test_callers_that_leave_do_not_touch_the_answers_of_others(fleet):
    for name in _ENGINES:
        fleet.set_faults(name, late_events=2)
    left = [
        callers.make_completion(f"leave {number}", shortest=300)
        for number in range(6)
    ]
    for number, each in enumerate(left):
        _leave_after_first_bytes(fleet.find_callers_url(1 + number % 2), each)
    asked, replies = _send_load(fleet, "stay")
    for pair in zip(asked, replies):
        _is_whole(*pair)
    callers.wait_until(lambda: _count_states(fleet, "cancelled") >= len(left),
                       "the engines' work is cancelled")


@pytest.mark.parametrize(
    "faults", [
        _CROSSED, _WRONG_IDS, _LATE, _TRUNCATED, {
            **_CROSSED,
            **_TRUNCATED
        }, {
            **_LATE,
            **_WRONG_IDS
        }
    ],
    ids=lambda faults: "+".join(sorted(set(faults) & set(_COUNTED))))
def test_answers_are_whole_and_own_while_one_engine_is_sound(fleet, faults):
    for name in _ENGINES[:2]:
        fleet.set_faults(name, **faults)
    asked, replies = _send_load(fleet, "-".join(sorted(faults)))
    for each, reply in zip(asked, replies):
        assert _is_whole(each, reply), reply
    left = [callers.show_faults(fleet, name) for name in _ENGINES[:2]]
    assert any(fault[key] < faults[key]
               for fault in left
               for key in set(faults) & set(_COUNTED))


@pytest.mark.parametrize(
    "faults", [
        _REPEATED, _RESET, {
            **_REPEATED,
            **_TRUNCATED
        }, {
            **_RESET,
            **_LATE
        }, {
            **_CROSSED,
            **_LATE,
            **_WRONG_IDS,
            **_REPEATED,
            **_TRUNCATED,
            **_RESET
        }
    ],
    ids=lambda faults: "+".join(sorted(set(faults) & set(_COUNTED))))
def test_answers_are_whole_and_own_or_errors(fleet, faults):
    for name in _ENGINES:
        fleet.set_faults(name, **faults)
    asked, replies = _send_load(fleet, "-".join(sorted(faults)))
    whole = [_is_whole(*pair) for pair in zip(asked, replies)]
    assert any(whole)
    callers.check_run_states(fleet, replies)


@pytest.mark.parametrize("fault", ["truncate_streams", "reset_streams"])
def test_cut_answer_is_not_dressed_as_complete(fleet, fault):
    for name in _ENGINES:
        fleet.set_faults(name, resumes=False, truncate_after=2, **{fault: 100})
    asked, replies = _send_load(fleet, f"cut {fault}", count=4)
    for each, reply in zip(asked, replies):
        assert not _is_whole(each, reply)
        assert reply.error["ran"] == "outcome_unknown"


def test_not_run_is_true_while_endpoints_refuse(fleet):
    for name in _ENGINES:
        fleet.set_faults(name, refuse_requests=100)
    for name in ("service-1", "service-2"):
        fleet.set_faults(name, refuse_calls=100)
    _, replies = _send_load(fleet, "refuse", count=4)
    replies.append(callers.post_call(fleet.find_callers_url(1)))
    assert {reply.error["ran"] for reply in replies} == {"not_run"}
    callers.check_run_states(fleet, replies)


def test_not_run_is_true_while_endpoints_are_down(fleet):
    for name in _ENGINES:
        fleet.set_faults(name, refuse_seconds=_DOWN_SECONDS)
    _, replies = _send_load(fleet, "down", count=4)
    assert {reply.error["ran"] for reply in replies} == {"not_run"}
    for name in _ENGINES:
        fleet.wait_until_healthy(name)
    callers.check_run_states(fleet, replies)


@pytest.mark.parametrize("fault", ["lose_answers", "crash_answers"])
def test_lost_answer_of_a_service_is_not_called_not_run(fleet, fault):
    for name in ("service-1", "service-2"):
        fleet.set_faults(name, **{fault: 1})
    reply = callers.post_call(fleet.find_callers_url(2))
    assert reply.error["code"] == "outcome_unknown"
    assert reply.error["ran"] == "outcome_unknown"
    assert callers.list_run(fleet)[reply.error["request_id"]] == 1


@pytest.mark.parametrize("fault", ["truncate_streams", "reset_streams"])
def test_request_that_may_not_repeat_runs_once(fleet, fault):
    for name in _ENGINES:
        fleet.set_faults(name, truncate_after=1, **{fault: 100})
    asked = callers.make_completion(f"once {fault}", request_class="once")
    reply = asked.send(fleet.find_callers_url(1))
    assert not _is_whole(asked, reply)
    assert reply.error["code"] == "outcome_unknown"
    assert callers.list_run(fleet)[reply.error["request_id"]] == 1


def test_silence_after_the_send_is_not_called_not_run(fleet):
    with _freeze(fleet, _ENGINES):
        asked = callers.make_completion("silent", request_class="short")
        reply = asked.send(fleet.find_callers_url(1))
    assert reply.error["code"] == "deadline_exceeded"
    assert reply.error["ran"] == "outcome_unknown"


def test_connection_that_is_never_accepted_is_called_not_run(fleet):
    services = ("service-1", "service-2")
    with _freeze(fleet, services), _fill_backlogs(fleet, services):
        reply = callers.post_call(fleet.find_callers_url(1))
    assert reply.error["ran"] == "not_run", reply
    callers.check_run_states(fleet, [reply])


def test_not_run_is_true_for_shed_requests(fleet):
    asked = [
        callers.make_completion(f"crowd {number}",
                                shortest=60,
                                request_class="crowded") for number in range(80)
    ]
    replies = callers.run_together([
        functools.partial(each.send, fleet.find_callers_url(1 + number % 2))
        for number, each in enumerate(asked)
    ])
    shed = [reply for reply in replies if reply.error]
    assert shed
    assert all(
        _is_whole(*pair) or pair[1].error["ran"] == "not_run"
        for pair in zip(asked, replies))
    callers.check_run_states(fleet, replies)


def _wait_for_work(fleet):
    """Returns the engine that answers the only open request."""
    found = []

    def look():
        found[:] = [
            name for name in _ENGINES
            if any(each["state"] == "started"
                   for each in fleet.read_json(name, "/log"))
        ]
        return bool(found)

    callers.wait_until(look, "an engine has work")
    return found[0]


def _count_states(fleet, state):
    return sum(each["state"] == state
               for name in _ENGINES
               for each in fleet.read_json(name, "/log"))


def _leave_after_first_bytes(url, asked):
    host = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(host.hostname,
                                            host.port,
                                            timeout=_LEAVE_SECONDS)
    body = {
        "model": callers.MODEL,
        "messages": [{
            "role": "user",
            "content": asked.prompt
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
    """Connects to frozen listeners until they accept no further connection."""
    with contextlib.ExitStack() as stack:
        for name in names:
            host = urllib.parse.urlsplit(fleet.children[name].url)
            with contextlib.suppress(TimeoutError):
                for _ in range(1000):
                    stack.enter_context(
                        socket.create_connection((host.hostname, host.port),
                                                 timeout=0.5))
        yield
