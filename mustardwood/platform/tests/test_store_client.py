"""Tests of the store's eras, which begin when it is restored from a copy."""

import datetime
import json

import pytest
from twisted.internet import defer

from mustardwood import errors
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import store_client

ms = harness_module.ms
_WAIT = datetime.timedelta(seconds=3)
_AFTER = store_client.Position(1, 40)


class _Exchange:

    def __init__(self):
        self.is_aborted = False

    def abort(self):
        """Records that the call was aborted."""
        self.is_aborted = True


class _Call:

    def __init__(self, request, listener):
        self.request = request
        self.exchange = _Exchange()
        self._listener = listener

    def answer(self, status, body=None, era=None, headers=()):
        """Completes the call with a response."""
        self.begin(body, era, status, headers)
        self.end()

    def begin(self, body=None, era=None, status=200, headers=()):
        """Begins a response."""
        headers = list(headers)
        if era is not None:
            headers.append((b"store-era", str(era).encode()))
        self._listener.receive_head(status, headers)
        self.go_on(json.dumps(body or {}).encode())

    def go_on(self, data):
        """Sends another part of the response."""
        if data and not self.exchange.is_aborted:
            self._listener.receive_data(data)

    def end(self):
        """Ends the response."""
        self._listener.receive_end()


class _Pool:

    def __init__(self):
        self.calls = []

    def send(self, address, request, listener, **limits):
        """Records a call, which the test answers."""
        del address, limits
        self.calls.append(_Call(request, listener))
        return self.calls[-1].exchange


class _Harness:

    def __init__(self, era=1):
        self.pool = _Pool()
        self.scheduler = harness_module.FakeScheduler(timing.ManualClock())
        self.client = store_client.StoreClient(("192.0.2.1", 1), self.pool,
                                               self.scheduler)
        self.changes = []
        self.client.add_era_listener(lambda: self.changes.append("changed"))
        if era is not None:
            self.read(era)

    def start(self, coroutine):
        """Starts a call; returns its deferred and the call."""
        return defer.Deferred.fromCoroutine(coroutine), self.pool.calls[-1]

    def read(self, era, status=404):
        """Reads a key; the response is of the given era."""
        waiting, call = self.start(self.client.read_key("op/config"))
        call.answer(status, {"at": 40}, era)
        return waiting

    def start_watch(self):
        """Starts a watch from a position of the era 1."""
        return self.start(self.client.watch("", _AFTER, _WAIT))


def _get_error(deferred):
    found = []
    deferred.addErrback(lambda reason: found.append(reason.value))
    return found[0]


def test_store_without_eras_is_in_era_zero():
    harness = _Harness(era=None)
    waiting, call = harness.start(harness.client.read_key("op/config"))
    call.answer(200, {"key": "op/config", "revision": 5, "at": 9})
    item, position = waiting.result
    assert position == (0, 9)
    assert item.position == (0, 5)
    assert not harness.changes


def test_items_of_a_watch_are_of_its_era():
    harness = _Harness()
    waiting, call = harness.start_watch()
    assert "after=40" in call.request.target
    call.answer(200, {"events": [{"key": "a", "revision": 41}], "at": 43}, 1)
    (item,), position = waiting.result
    assert item.position == (1, 41)
    assert position == (1, 43)


@pytest.mark.parametrize("status", [200, 410, 503])
def test_watch_answered_in_a_new_era_does_not_continue(status):
    """The revisions between the copy's and the watch's would be skipped."""
    harness = _Harness()
    waiting, call = harness.start_watch()
    call.answer(status, {"events": [], "at": 40}, 2)
    assert isinstance(_get_error(waiting), store_client.EraChangedError)
    assert harness.changes == ["changed"]


@pytest.mark.parametrize("status", [200, 404, 429, 503])
def test_new_era_in_another_answer_ends_the_pending_watch(status):
    harness = _Harness()
    waiting, call = harness.start_watch()
    harness.read(2, status).addErrback(lambda _: None)
    assert isinstance(_get_error(waiting), store_client.EraChangedError)
    assert call.exchange.is_aborted


def test_position_of_an_earlier_era_is_not_watched():
    harness = _Harness(era=2)
    waiting = defer.Deferred.fromCoroutine(
        harness.client.watch("", _AFTER, _WAIT))
    assert isinstance(_get_error(waiting), store_client.EraChangedError)
    assert len(harness.pool.calls) == 1


def test_late_answer_of_an_earlier_era_is_a_failure():
    harness = _Harness()
    waiting, late = harness.start(harness.client.read_key("op/config"))
    harness.read(2)
    late.answer(200, {"key": "op/config", "revision": 5, "at": 40}, 1)
    assert isinstance(_get_error(waiting), errors.UnavailableError)


def test_range_whose_pages_are_of_two_eras_is_not_used():
    harness = _Harness()
    waiting, call = harness.start(harness.client.read_range("servers/", 1))
    call.answer(200, {"entries": [{"key": "servers/i-1"}], "has_more": True}, 1)
    harness.pool.calls[-1].answer(200, {"entries": []}, 2)
    assert isinstance(_get_error(waiting), store_client.EraChangedError)


@pytest.mark.parametrize("era", [b"x", b"-1", b"9" * 40, b""])
def test_malformed_era_is_that_of_a_store_without_eras(era):
    harness = _Harness(era=None)
    waiting, call = harness.start(harness.client.read_key("op/config"))
    call.answer(404, {"at": 9}, era.decode())
    assert waiting.result[1] == (0, 9)


def test_lease_of_an_earlier_era_is_lost_whatever_the_answer():
    """The store may have given its id to another VM."""
    harness = _Harness()
    lease = store_client.Lease(17, 1)
    for start in (lambda: harness.client.renew_lease(lease),
                  lambda: harness.client.write_key("vms/a", b"", lease),
                  lambda: harness.client.revoke_lease(lease)):
        harness = _Harness()
        waiting, call = harness.start(start())
        call.answer(200, {}, 2)
        assert isinstance(_get_error(waiting), errors.LeaseLostError)
        calls = len(harness.pool.calls)
        later = defer.Deferred.fromCoroutine(start())
        assert isinstance(_get_error(later), errors.LeaseLostError)
        assert len(harness.pool.calls) == calls


def test_lease_of_a_new_era_is_renewed():
    harness = _Harness()
    waiting, call = harness.start(harness.client.grant_lease(_WAIT))
    call.answer(200, {"lease_id": 17}, 2)
    assert waiting.result == store_client.Lease(17, 2)
    renewal, call = harness.start(harness.client.renew_lease(waiting.result))
    call.answer(200, {}, 2)
    assert renewal.result is None


@pytest.mark.parametrize("delay", [b"inf", b"nan", b"1e400", b"soon"])
def test_delay_of_any_form_is_handled_after_a_rate_limited_call(delay):
    harness = _Harness()
    waiting, call = harness.start(harness.client.read_key("op/config"))
    call.answer(429, era=1, headers=[(b"retry-after", delay)])
    reason = waiting.result
    waiting.addErrback(lambda _: None)
    assert reason.check(errors.RateLimitedError)


def test_key_written_under_a_lease_returns_its_revision():
    """The revision is the fencing token of the holder of the key."""
    harness = _Harness()
    lease = store_client.Lease(17, 1)
    waiting, call = harness.start(
        harness.client.replace_key("duties/leader", b"vm-1", 0, lease))
    sent = json.loads(call.request.body)
    assert sent["write"][0]["lease_id"] == 17
    assert sent["expected_revision"] == [{
        "key": "duties/leader",
        "revision": 0
    }]
    call.answer(200, {"revision": 41}, 1)
    assert waiting.result == 41


def test_key_is_written_on_a_condition_of_another_key():
    """Failure: a write takes effect although another VM has the term."""
    harness = _Harness()
    waiting, call = harness.start(
        harness.client.replace_key("duties/usage",
                                   b"{}",
                                   3,
                                   conditions={"duties/leader": 40},
                                   era=1))
    assert json.loads(call.request.body)["expected_revision"] == [{
        "key": "duties/usage",
        "revision": 3
    }, {
        "key": "duties/leader",
        "revision": 40
    }]
    call.answer(200, {"revision": 41}, 1)
    assert waiting.result == 41


@pytest.mark.parametrize("status", [200, 412])
def test_write_answered_in_a_new_era_is_a_failure(status):
    """Failure: revisions of an earlier era count for a restored store."""
    harness = _Harness()
    waiting, call = harness.start(
        harness.client.replace_key("duties/usage", b"{}", 3, era=1))
    call.answer(status, {"revision": 41}, 2)
    assert isinstance(_get_error(waiting), store_client.EraChangedError)


def test_key_that_has_changed_is_not_written_under_a_lease():
    """Another VM was first."""
    harness = _Harness()
    waiting, call = harness.start(
        harness.client.replace_key("duties/leader", b"vm-1", 3,
                                   store_client.Lease(17, 1)))
    call.answer(412, {}, 1)
    assert waiting.result is None


@pytest.mark.parametrize("status, era", [(404, 1), (200, 2), (412, 2)])
def test_key_is_not_written_under_a_lease_that_was_lost(status, era):
    """The lease expired, or belongs to another VM in a new era."""
    harness = _Harness()
    waiting, call = harness.start(
        harness.client.replace_key("duties/leader", b"vm-1", 0,
                                   store_client.Lease(17, 1)))
    call.answer(status, {"revision": 41}, era)
    assert isinstance(_get_error(waiting), errors.LeaseLostError)


def test_long_response_is_received_whole_over_a_slow_link():
    # A limit on the whole transfer cut it off again and again.
    harness = _Harness()
    waiting, call = harness.start_watch()
    harness.scheduler.advance(_WAIT)
    call.begin({"events": [], "at": 43}, 1)
    for _ in range(50):
        harness.scheduler.advance(ms(100))
        call.go_on(b" " * 100_000)
    call.end()
    assert not call.exchange.is_aborted
    assert waiting.result == ([], (1, 43))


@pytest.mark.parametrize("data, interval", [(b"", ms(100)), (b" ", ms(100)),
                                            (b" " * 1000, ms(500))])
def test_response_without_progress_is_cut_off(data, interval):
    harness = _Harness()
    waiting, call = harness.start_watch()
    call.begin({"events": []}, 1)
    until = harness.scheduler.clock.monotonic() + ms(1200)
    while harness.scheduler.clock.monotonic() < until:
        harness.scheduler.advance(interval)
        call.go_on(data)
    assert call.exchange.is_aborted
    assert isinstance(_get_error(waiting), errors.UnavailableError)


@pytest.mark.parametrize("headers", [[], [(b"content-length", b"5000")]])
def test_response_to_a_watch_that_is_too_long_is_not_received(headers):
    harness = _Harness()
    waiting, call = harness.start(
        harness.client.watch("", _AFTER, _WAIT, max_bytes=4000))
    call.begin({"events": []}, 1, headers=headers)
    assert call.exchange.is_aborted == bool(headers)
    call.go_on(b" " * 5000)
    assert call.exchange.is_aborted
    assert isinstance(_get_error(waiting), store_client.HistoryTooLongError)
    assert not harness.client.is_receiving
