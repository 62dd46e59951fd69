"""Tests of the client of duty calls, against a fake API on loopback."""

import datetime

import pytest
from twisted.internet import defer

from mustardwood import http1
from mustardwood import leadership
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import duty_client
from mustardwood.platform.tests import fake_duty_api
from mustardwood.standins.tests import reactor_runner

_TERM = leadership.Term("vm-1", 2**40 + 7, datetime.timedelta(hours=1))
_OUTCOME = leadership.CallOutcome


@pytest.fixture(name="api")
def _serve():
    api = fake_duty_api.FakeDutyApi()
    yield api
    api.stop()


class _Client:
    """A client whose calls return their results as deferreds.

    Attributes:
        is_proven: Whether the term counts as proven.
    """

    def __init__(self, address):
        self.is_proven = True
        self.journal = harness_module.FakeJournal()
        scheduler = http1.ReactorScheduler(reactor_runner.reactor)
        self.client = duty_client.DutyClient(
            address,
            http1.ConnectionPool(reactor_runner.reactor, timing.SystemClock(),
                                 scheduler), scheduler, self.journal,
            lambda term: self.is_proven)

    def report(self, window=12, counts=None, term=_TERM):
        """Reports the usage of a window."""
        done = defer.Deferred()
        self.client.report_usage(term, window, counts or {"hule930": 412},
                                 done.callback)
        assert not done.called
        return done

    def order(self, term=_TERM, count=6, is_preemptible=False):
        """Orders endpoints."""
        done = defer.Deferred()
        self.client.order_endpoints(
            term,
            leadership.EndpointOrder("huvo11a", "pa-nord", count,
                                     is_preemptible), done.callback)
        return done


def _run(api, test):
    reactor_runner.run_coroutine(lambda: test(_Client(api.address)))


def test_calls_have_the_platforms_form(api):
    """Failure: the platform rejects or misunderstands what a VM sends."""

    async def test(client):
        first = await client.report(353445120, {"hule930": 412, "fida11": 3})
        second = await client.order()
        third = await client.order(count=0, is_preemptible=True)
        assert {first.outcome, second.outcome,
                third.outcome} == {_OUTCOME.ACCEPTED}

    _run(api, test)
    path, headers, body = api.calls[0]
    assert path == "/usage"
    assert body == {
        "window_id": 353445120,
        "counts": {
            "hule930": 412,
            "fida11": 3
        }
    }
    assert headers["mustardwood-duty-holder"] == "vm-1"
    assert headers["mustardwood-fencing-token"] == str(2**40 + 7)
    order = {"service": "huvo11a", "zone": "pa-nord", "desired_count": 6}
    assert api.calls[1][::2] == ("/scale", order)
    assert api.calls[2][2] == {**order, "desired_count": 0, "preemptible": True}


def test_refused_token_is_not_used_again(api):
    """Failure: a VM that lost its term keeps calling with its own token."""
    newer = leadership.Term("vm-1", _TERM.token + 1, _TERM.expires_at)

    async def test(client):
        api.responses = [(409, [])]
        assert (await client.report()).outcome is _OUTCOME.TOKEN_REFUSED
        assert (await client.report()).outcome is _OUTCOME.TOKEN_REFUSED
        assert (await client.order()).outcome is _OUTCOME.TOKEN_REFUSED
        assert len(api.calls) == 1
        assert (await client.report(term=newer)).outcome is _OUTCOME.ACCEPTED

    _run(api, test)


def test_conflict_of_an_order_in_a_proven_term_means_not_available(api):
    """Failure: a term is ended because an availability zone is sold out."""

    async def test(client):
        api.responses = [(409, [])]
        assert (await client.order()).outcome is _OUTCOME.NOT_AVAILABLE
        assert (await client.order()).outcome is _OUTCOME.ACCEPTED

    _run(api, test)


def test_conflict_of_an_order_in_an_unproven_term_is_a_refused_token(api):
    """Failure: a VM that was frozen goes on ordering after its successor."""

    async def test(client):
        api.responses = [(409, [])]
        client.is_proven = False
        assert (await client.order()).outcome is _OUTCOME.TOKEN_REFUSED

    _run(api, test)


def test_conflict_of_a_report_is_a_refused_token_in_any_term(api):
    """Failure: a report that a successor has overtaken is sent on and on."""

    async def test(client):
        api.responses = [(409, [])]
        assert (await client.report()).outcome is _OUTCOME.TOKEN_REFUSED

    _run(api, test)


@pytest.mark.parametrize("value, seconds", [("0.25", 0.25), ("7", 7),
                                            ("1e9", 60), ("-1", None),
                                            ("soon", None), ("nan", None)])
def test_rate_limited_call_names_the_delay(api, value, seconds):
    """Failure: calls beyond the rate limit are repeated at once, or never."""

    async def test(client):
        api.responses = [(429, [("Retry-After", value)])]
        result = await client.report()
        assert result.outcome is _OUTCOME.RATE_LIMITED
        assert result.retry_after == (None if seconds is None else
                                      datetime.timedelta(seconds=seconds))

    _run(api, test)


@pytest.mark.parametrize("status", [400, 500, 503])
def test_call_that_got_an_error_has_failed(api, status):
    """Failure: an error of the API counts as accepted."""

    async def test(client):
        api.responses = [(status, [])]
        assert (await client.report()).outcome is _OUTCOME.FAILED
        event, fields = client.journal.lines[-1]
        assert event == "duty_call_failed"
        assert fields["window_id"] == 12
        assert fields["reason"] == f"status {status}"

    _run(api, test)


def test_lost_response_is_no_response(api):
    """Failure: a call that may be executed later counts as not executed."""

    async def test(client):
        api.responses = [(0, [])]
        assert (await client.report()).outcome is _OUTCOME.NO_RESPONSE

    _run(api, test)


def test_slow_call_ends_at_its_timeout(api, monkeypatch):
    """Failure: a silent API blocks the reports of all later windows."""
    monkeypatch.setattr(duty_client, "CALL_TIMEOUT",
                        datetime.timedelta(milliseconds=200))

    async def test(client):
        api.delay_s = 1.0
        assert (await client.report()).outcome is _OUTCOME.NO_RESPONSE
        api.delay_s = 0.0
        assert (await client.report()).outcome is _OUTCOME.ACCEPTED

    _run(api, test)


def test_call_without_a_connection_was_not_executed(api):
    """Failure: an unreachable API leaves calls open that were never sent."""
    api.stop()

    async def test(client):
        assert (await client.report()).outcome is _OUTCOME.FAILED

    reactor_runner.run_coroutine(lambda: test(_Client(api.address)))
