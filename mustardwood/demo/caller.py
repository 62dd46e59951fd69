"""Sends the demo's requests to one VM."""

import datetime
import http
import json
import typing

import treq
from twisted.internet import defer
from twisted.web import client as web_client

from mustardwood import timing
from mustardwood.demo import demo_request
from mustardwood.demo import outcome
from mustardwood.demo import streamed_answer
from mustardwood.standins.engine import completion_text

_SERVICE_PATH = "/disposals"
"""Path of the demo's calls, after the name of the service."""

_TIMEOUT_SECONDS = 60.0
"""Timeout of one request with its answer, in seconds."""

_REFUSAL_STATUSES = (http.HTTPStatus.TOO_MANY_REQUESTS,
                     http.HTTPStatus.SERVICE_UNAVAILABLE)


class Caller:
    """Sends requests to one VM and checks the answers.

    The text of each answer is compared with the text that the stand-ins are
    known to generate for the request.

    Args:
        url: Base URL of the VM's HTTP interface for callers.
        clock: The clock.
    """

    def __init__(self, url: str, clock: timing.Clock) -> None:
        self._url = url
        self._clock = clock

    async def send(self, request: demo_request.DemoRequest,
                   reactor: typing.Any) -> outcome.Outcome:
        """Sends a request and returns its outcome."""
        started_at = self._clock.monotonic()
        deferred = defer.ensureDeferred(
            self._send_and_check(request, started_at))
        deferred.addTimeout(_TIMEOUT_SECONDS, reactor)
        try:
            return await deferred
        except (OSError, defer.TimeoutError, defer.CancelledError,
                web_client.ResponseFailed, ValueError, KeyError) as error:
            return outcome.Outcome(request.request_class,
                                   outcome.OutcomeKind.WRONG,
                                   self._clock.monotonic() - started_at,
                                   repr(error))

    async def _send_and_check(
            self, request: demo_request.DemoRequest,
            started_at: datetime.timedelta) -> outcome.Outcome:
        response = await treq.post(self._url + _make_path(request),
                                   _make_body(request),
                                   headers=_make_headers(request))
        if response.code != http.HTTPStatus.OK:
            return await self._read_refusal(request, response, started_at)
        if request.is_streamed:
            return await self._read_stream(request, response, started_at)
        body = await response.json()
        latency = self._clock.monotonic() - started_at
        return _check_answer(request, _read_text(request, body), True, latency)

    async def _read_stream(self, request: demo_request.DemoRequest,
                           response: typing.Any,
                           started_at: datetime.timedelta) -> outcome.Outcome:
        answer = streamed_answer.StreamedAnswer(self._clock)
        await treq.collect(response, answer.receive)
        first_token_at = answer.first_token_at or self._clock.monotonic()
        return _check_answer(request, answer.text, answer.is_complete,
                             first_token_at - started_at)

    async def _read_refusal(self, request: demo_request.DemoRequest,
                            response: typing.Any,
                            started_at: datetime.timedelta) -> outcome.Outcome:
        text = await response.text()
        kind = (outcome.OutcomeKind.REFUSED if response.code
                in _REFUSAL_STATUSES else outcome.OutcomeKind.WRONG)
        return outcome.Outcome(request.request_class, kind,
                               self._clock.monotonic() - started_at,
                               f"status {response.code}: {text}")


def _make_path(request: demo_request.DemoRequest) -> str:
    if request.is_service_call:
        return f"/services/{request.serves}{_SERVICE_PATH}"
    return "/v1/chat/completions" if request.is_chat else "/v1/completions"


def _make_headers(
        request: demo_request.DemoRequest) -> dict[bytes | str, bytes | str]:
    headers: dict[bytes | str, bytes | str] = {
        "authorization": f"Bearer {request.api_key}",
        "content-type": "application/json",
    }
    if request.names_class:
        headers["x-request-class"] = request.request_class
    if request.idempotency_key:
        headers["idempotency-key"] = request.idempotency_key
    return headers


def _make_body(request: demo_request.DemoRequest) -> bytes:
    if request.is_service_call:
        return request.text.encode()
    body: dict[str, typing.Any] = {
        "model": request.serves,
        "stream": request.is_streamed,
        **_make_prompt(request),
    }
    if request.max_tokens is not None:
        body["max_tokens"] = request.max_tokens
    return json.dumps(body).encode()


def _make_prompt(request: demo_request.DemoRequest) -> dict[str, typing.Any]:
    if request.is_chat:
        return {"messages": [{"role": "user", "content": request.text}]}
    return {"prompt": request.text}


def _read_text(request: demo_request.DemoRequest, body: typing.Any) -> str:
    """Returns the text of a response that was not streamed."""
    if request.is_service_call:
        return body["body"]
    choice = body["choices"][0]
    return choice["message"]["content"] if request.is_chat else choice["text"]


def _get_expected_text(request: demo_request.DemoRequest) -> str:
    if request.is_service_call:
        return request.text
    prompt = completion_text.read_prompt(_make_prompt(request))
    return completion_text.generate_text(request.serves, prompt,
                                         request.max_tokens)


def _check_answer(request: demo_request.DemoRequest, text: str,
                  is_complete: bool,
                  first_token: datetime.timedelta) -> outcome.Outcome:
    expected_text = _get_expected_text(request)
    if is_complete and text == expected_text:
        return outcome.Outcome(request.request_class, outcome.OutcomeKind.WHOLE,
                               first_token)
    return outcome.Outcome(
        request.request_class, outcome.OutcomeKind.WRONG, first_token,
        f"{len(text)} of {len(expected_text)} characters, "
        f"end mark: {is_complete}")
