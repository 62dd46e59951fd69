"""Tests of the start of requests and of errors in their handling."""

import json

import pytest

from mustardwood import http1
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.http1.tests import fake_transport
from mustardwood.platform import configuration_decoder
from mustardwood.platform import request_server
from mustardwood.platform.tests import documents

_HEAD = (f"POST /stream/1 HTTP/1.1\r\nHost: {documents.HOST}\r\n"
         "Authorization: Bearer key-1\r\nMustardwood-Attempt-Id: id-1\r\n"
         "Content-Length: 0\r\n").encode()


class _Watcher:

    def __init__(self):
        self.configuration = configuration_decoder.decode_configuration(
            json.dumps(documents.make_document()).encode())


class _Server:

    def __init__(self):
        self.harness = harness_module.Harness()
        self.server = request_server.RequestServer(self.harness.context,
                                                   _Watcher(),
                                                   http1.BodyBudget(1000),
                                                   lambda refusal: refusal)

    def call(self, data):
        """Sends bytes on a new connection and returns the response's."""
        connection = http1.CallerConnection(self.server, self.harness.scheduler)
        transport = fake_transport.FakeTransport()
        connection.makeConnection(transport)
        connection.dataReceived(data)
        return transport.value()


def _raise(*_):
    raise RuntimeError("unforeseen")


@pytest.mark.parametrize("part, name", [
    ("authorizer", "find_denial"),
    ("placement", "choose"),
])
def test_unexpected_error_is_answered_and_logged(part, name):
    server = _Server()
    setattr(getattr(server.harness, part), name, _raise)
    response = server.call(_HEAD + b"\r\n")
    assert response.startswith(b"HTTP/1.1 503 ")
    assert ("error",
            "unforeseen") in [(event, fields.get("error"))
                              for event, fields in server.harness.journal.lines]
    assert server.server.open_requests == 0


@pytest.mark.parametrize("header", [
    "Mustardwood-Deadline-Ms: " + "9" * 20,
    "Mustardwood-Deadline-Ms: " + "9" * 5000,
    "Mustardwood-Token-Usage: " + "9" * 5000 + ",1",
    "Last-Event-Id: " + "9" * 5000,
])
def test_number_of_any_length_is_handled(header):
    server = _Server()
    server.harness.directory.set_endpoint(
        harness_module.make_endpoint(0, service="engine"))
    server.call(_HEAD + header.encode() + b"\r\n\r\n")
    assert not [
        fields for event, fields in server.harness.journal.lines
        if event == "error"
    ]


def test_refusal_of_a_head_request_has_no_body():
    server = _Server()
    head = _HEAD.replace(b"POST /stream/", b"HEAD /unknown/")
    response = server.call(head + b"\r\n")
    assert response.startswith(b"HTTP/1.1 404 ")
    assert response.endswith(b"\r\n\r\n")
