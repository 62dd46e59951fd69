"""Construction of the command that starts an attempt."""

import typing

import msgspec

from mustardwood.routing import attempt as attempt_module
from mustardwood.routing import caller_request
from mustardwood.routing import commands
from mustardwood.routing import completion_buffer
from mustardwood.routing import request_kind

_PATHS = {
    request_kind.RequestKind.CHAT: "/v1/chat/completions",
    request_kind.RequestKind.COMPLETION: "/v1/completions",
}
_ROUTER_HEADERS = ("x-request-id", "x-attempt-id", "x-priority")


def make_start_attempt(
        request: caller_request.CallerRequest, attempt: attempt_module.Attempt,
        buffer: completion_buffer.CompletionBuffer) -> commands.StartAttempt:
    """Returns the command that sends an attempt to its endpoint.

    Args:
        request: The caller's request.
        attempt: The attempt to send.
        buffer: Completion received in earlier attempts, to be resumed if it has
            any text.
    """
    router_headers = (("x-request-id", request.request_id),
                      ("x-attempt-id", attempt.attempt_id),
                      ("x-priority", str(attempt.priority)))
    if request.kind is request_kind.RequestKind.SERVICE:
        headers = tuple(
            each for each in request.headers if each[0] not in _ROUTER_HEADERS)
        path, body, expects_events = request.path, request.body, False
    else:
        headers = (("content-type", "application/json"),)
        path, expects_events = _PATHS[request.kind], True
        body = _encode_body(request, buffer)
    return commands.StartAttempt(request.request_id, attempt.number,
                                 attempt.attempt_id, attempt.endpoint,
                                 request.method, path, headers + router_headers,
                                 body, expects_events)


def _encode_body(request: caller_request.CallerRequest,
                 buffer: completion_buffer.CompletionBuffer) -> bytes:
    options: dict[str, typing.Any] = request.fields.get("stream_options") or {}
    fields = {
        **request.fields,
        "stream": True,
        "stream_options": {
            **options, "include_usage": True
        },
    }
    if buffer.text:
        fields["resume_from"] = {
            "text": buffer.text,
            "tokens": buffer.sent_tokens
        }
    return msgspec.json.encode(fields)
