"""What the stand-ins' HTTP needs besides its routes."""

import http
import json
import typing

from twisted.web import server


def read_body(request: server.Request) -> bytes:
    """Returns the body of a request."""
    content: typing.Any = request.content
    return content.read()


def reset_connection(request: server.Request) -> None:
    """Resets the connection that a request came by."""
    transport: typing.Any = request.transport
    transport.abortConnection()


def read_json(request: server.Request) -> typing.Any:
    """Returns the decoded body of a request; an empty one as ``{}``."""
    text = read_body(request)
    return json.loads(text) if text else {}


def answer_json(request: server.Request,
                body: typing.Any,
                status: int = http.HTTPStatus.OK) -> bytes:
    """Sets status and content type, and returns the encoded body."""
    request.setResponseCode(int(status))
    request.setHeader("content-type", "application/json")
    return json.dumps(body).encode()
