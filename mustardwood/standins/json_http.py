"""Reads requests and writes JSON responses for the stand-ins' routes."""

import http
import json
import typing

from twisted.web import server


def read_body(request: server.Request) -> bytes:
    """Returns the body of a request."""
    content: typing.Any = request.content
    return content.read()


def reset_connection(request: server.Request) -> None:
    """Aborts the connection of a request without a (complete) response."""
    transport: typing.Any = request.transport
    transport.abortConnection()


def read_json(request: server.Request) -> typing.Any:
    """Returns the decoded JSON body of a request, or ``{}`` if it is empty."""
    text = read_body(request)
    return json.loads(text) if text else {}


def make_json_response(request: server.Request,
                       body: typing.Any,
                       status: int = http.HTTPStatus.OK) -> bytes:
    """Sets the response's status and content type; returns the encoded body."""
    request.setResponseCode(int(status))
    request.setHeader("content-type", "application/json")
    return json.dumps(body).encode()
