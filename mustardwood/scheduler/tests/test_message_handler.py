"""Tests of `MessageHandler`, without I/O."""

import datetime
import json

import msgspec
import prometheus_client
import pytest

from mustardwood import configuration
from mustardwood import messages
from mustardwood import settings
from mustardwood import timing
from mustardwood.scheduler import cell_table
from mustardwood.scheduler import message_handler
from mustardwood.scheduler import metrics

_IP = "127.77.2.1"
_AGENT = messages.Peer(_IP, messages.Role.AGENT)
_ENTRY = messages.Peer(_IP, messages.Role.ENTRY)
_CELL = "m/r/0"


def _make_document(tier=0, model="m") -> str:
    return msgspec.json.encode(
        configuration.Document(
            classes=(configuration.RequestClass("tag", tier, 1.0),),
            default_class="tag",
            organisations=(),
            models=(configuration.Model(model),),
            endpoints=(configuration.Endpoint("e0",
                                              model,
                                              "http://127.0.0.2:1",
                                              "z",
                                              "r",
                                              concurrency=1),))).decode()


class _Harness:
    """A message handler with its clock, cell table and metrics."""

    def __init__(self) -> None:
        self.clock = timing.ManualClock()
        self.registry = prometheus_client.CollectorRegistry()
        self.table = cell_table.CellTable(
            metrics.SchedulerMetrics(self.registry))
        vm_settings = settings.Settings(_IP, _IP, "z", "r",
                                        "http://127.0.0.1:1")
        self.handler = message_handler.MessageHandler(vm_settings, self.clock,
                                                      self.table)

    def send(self, sender, body, incarnation=1):
        """Handles a message; returns the messages that the handler sends."""
        replies = self.handler.handle_message(
            messages.Envelope(sender, incarnation, body))
        return [each.message for each in replies]

    def send_view(self, version, text=None, sender=_AGENT, **options):
        """Handles a view with a configuration; returns the sent messages."""
        versioned = configuration.VersionedDocument(version, "a", text or
                                                    _make_document())
        return self.send(sender,
                         messages.View(version, version, versioned, **options))

    def send_ask(self, request_id="a", incarnation=1):
        """Handles an ask; returns the sent messages."""
        ask = messages.Ask(request_id, 1, _CELL, "tag", "o", 10, 10, 0,
                           datetime.timedelta(), datetime.timedelta(seconds=60))
        return self.send(_ENTRY, ask, incarnation)


@pytest.fixture(name="harness")
def _make_harness():
    return _Harness()


def test_unknown_cell_is_refused(harness):
    refusal, = harness.send_ask()
    assert refusal.reason is messages.RefusalReason.UNKNOWN_CELL


def test_older_configuration_is_ignored(harness):
    harness.send_view(5)
    assert harness.send_view(
        4, _make_document(model="other")) == [messages.ViewAck(4, 5)]
    assert isinstance(harness.send_ask()[0], messages.Grant)


def test_view_of_another_vm_is_ignored(harness):
    other = messages.Peer("127.77.2.9", messages.Role.AGENT)
    assert not harness.send_view(5, sender=other)
    assert harness.table.version == 0


def test_malformed_configuration_keeps_the_previous_one(harness):
    harness.send_view(5)
    assert harness.send_view(6, "{") == [messages.ViewAck(6, 5)]
    assert isinstance(harness.send_ask()[0], messages.Grant)


def test_view_without_configuration_keeps_the_present_one(harness):
    harness.send_view(5)
    ack, = harness.send(_AGENT, messages.View(6, 5, None))
    assert ack == messages.ViewAck(6, 5)
    assert isinstance(harness.send_ask()[0], messages.Grant)


def test_leaving_endpoint_of_a_view_gets_no_grant(harness):
    harness.send_view(5, leaving_endpoints=("e0",))
    refusal, = harness.send_ask()
    assert refusal.reason is messages.RefusalReason.NO_ENDPOINT


def test_removed_cell_refuses_its_waiting_requests(harness):
    harness.send_view(5)
    harness.send_ask("a")
    harness.send_ask("b")
    refusal, _ = harness.send_view(6, _make_document(model="other"))
    assert refusal.request_id == "b"
    assert harness.send_ask(
        "c")[0].reason is messages.RefusalReason.UNKNOWN_CELL


def test_restart_of_an_entry_ends_its_earlier_requests(harness):
    harness.send_view(5)
    harness.send_ask("a", incarnation=1)
    assert isinstance(harness.send_ask("b", incarnation=2)[0], messages.Grant)
    assert not harness.send_ask("c", incarnation=1)


def test_graceful_shutdown_refuses_waiting_and_new_asks(harness):
    harness.send_view(5)
    harness.send_ask("a")
    harness.send_ask("b")
    waiting, = harness.handler.stop()
    assert waiting.message.reason is messages.RefusalReason.STOPPING
    refusal, = harness.send_ask("c")
    assert refusal.reason is messages.RefusalReason.STOPPING


def test_status_and_explain_queries_are_answered(harness):
    harness.send_view(5)
    harness.send_ask("a")
    reply, = harness.send(_AGENT, messages.Query(1, messages.QueryKind.STATUS))
    cell, = json.loads(reply.body)["cells"]
    assert (cell["cell"], cell["running"]) == (_CELL, 1)
    assert cell["endpoints"][0]["state"] == "active"
    reply, = harness.send(_AGENT,
                          messages.Query(2, messages.QueryKind.EXPLAIN, "a"))
    event = json.loads(reply.body)["events"][0]
    assert event["time"].startswith("2026-01-01T00:00:00")
    assert event["part"] == "scheduler"


def test_grants_and_refusals_are_counted(harness):
    harness.send_view(5, leaving_endpoints=())
    harness.send_ask("a")
    harness.send_view(6, leaving_endpoints=("e0",))
    harness.send_ask("b")
    prefix = "mustardwood_scheduler"
    assert harness.registry.get_sample_value(f"{prefix}_grants_total",
                                             {"request_class": "tag"}) == 1
    assert harness.registry.get_sample_value(f"{prefix}_refusals_total", {
        "request_class": "tag",
        "reason": "no_endpoint"
    }) == 1
