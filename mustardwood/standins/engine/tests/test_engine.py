"""Tests of the engine stand-in on real sockets."""

import json

import treq
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import task
from twisted.web import client as web_client

from mustardwood import timing
from mustardwood.standins import engine
from mustardwood.standins.engine import engine_site
from mustardwood.standins.tests import reactor_runner

_IP = "127.78.0.2"
_MODEL = "small"
_PROMPT = "a prompt"
_EXPECTED_TEXT = engine.generate_text(_MODEL, _PROMPT, None)


class _EngineClient:
    """Starts an engine stand-in and sends requests to it."""

    def __init__(self, **options) -> None:
        fast_options = {"base_step_seconds": 0.001, "stream_step_seconds": 0.0}
        self.site = engine_site.EngineSite(
            reactor_runner.reactor,
            engine.EngineOptions((_MODEL,), **{
                **fast_options,
                **options
            }), timing.SystemClock(), _IP, 0)
        self.site.port.open()

    async def post(self, path: str, body, headers=None):
        return await treq.post(self.site.port.url + path,
                               json.dumps(body).encode(),
                               headers=headers or {},
                               persistent=False)

    async def complete(self, attempt_id: str = "a", **fields):
        """Requests a streamed completion and returns the response."""
        body = {
            "model": _MODEL,
            "prompt": _PROMPT,
            "stream": True,
            "stream_options": {
                "include_usage": True
            },
            **fields
        }
        headers = {"x-request-id": "r", "x-attempt-id": attempt_id}
        return await self.post("/v1/completions", body, headers)

    async def read_log(self) -> list[tuple[str, str]]:
        response = await treq.get(self.site.port.url + "/log", persistent=False)
        return [(entry["attempt_id"], entry["state"])
                for entry in await response.json()]

    async def wait_for_log(self, expected: list[tuple[str, str]]) -> None:
        while await self.read_log() != expected:
            await task.deferLater(reactor_runner.reactor, 0.01)


class _ClosingReader(protocol.Protocol):
    """Closes the connection as soon as it has received a part of the body."""

    def dataReceived(self, data: bytes) -> None:  # pylint: disable=invalid-name
        self.transport.loseConnection()


async def _read_events(response) -> list:
    text = (await response.content()).decode()
    lines = [line for line in text.split("\n\n") if line]
    assert all(line.startswith("data: ") for line in lines)
    payloads = [line.removeprefix("data: ") for line in lines]
    return [
        payload if payload == "[DONE]" else json.loads(payload)
        for payload in payloads
    ]


def _join_texts(events: list) -> str:
    return "".join(event["choices"][0]["text"]
                   for event in events
                   if event != "[DONE]" and event["choices"])


def _run(scenario, **options) -> None:

    async def run() -> None:
        client = _EngineClient(**options)
        try:
            await scenario(client)
        finally:
            await client.site.close()

    reactor_runner.run_coroutine(run)


def test_stream_has_the_generated_text_usage_and_end_mark():

    async def scenario(client: _EngineClient) -> None:
        events = await _read_events(await client.complete())
        assert _join_texts(events) == _EXPECTED_TEXT
        assert events[-1] == "[DONE]"
        assert events[-2]["usage"]["completion_tokens"] == len(events) - 3
        assert events[-3]["choices"][0]["finish_reason"] == "stop"
        assert {event["id"] for event in events[:-1]} == {"a"}
        truncated = await _read_events(await client.complete(max_tokens=2))
        assert _join_texts(truncated) == engine.generate_text(
            _MODEL, _PROMPT, 2)
        assert truncated[-3]["choices"][0]["finish_reason"] == "length"
        assert await client.read_log() == [("a", "finished")] * 2

    _run(scenario)


def test_response_without_streaming_has_the_generated_text():

    async def scenario(client: _EngineClient) -> None:
        messages = [{"role": "user", "content": "hi"}]
        response = await client.post("/v1/chat/completions", {
            "model": _MODEL,
            "messages": messages
        })
        choice = (await response.json())["choices"][0]
        expected = engine.generate_text(_MODEL, "user: hi", None)
        assert choice["message"]["content"] == expected

    _run(scenario)


def test_resumed_stream_continues_after_the_given_text():

    async def scenario(client: _EngineClient) -> None:
        for length in (0, 1, 17, len(_EXPECTED_TEXT)):
            resume_point = {"text": _EXPECTED_TEXT[:length], "tokens": 1}
            events = await _read_events(await
                                        client.complete(resume_from=resume_point
                                                       ))
            assert _join_texts(events) == _EXPECTED_TEXT[length:]
        wrong_point = {"text": "not this", "tokens": 2}
        assert (await client.complete(resume_from=wrong_point)).code == 409

    _run(scenario)


def test_closing_the_connection_or_posting_cancel_cancels_the_attempt():

    async def scenario(client: _EngineClient) -> None:
        closed_by_caller = await client.complete("closed")
        closed_by_caller.deliverBody(_ClosingReader())
        await client.wait_for_log([("closed", "cancelled")])
        cancelled_by_call = await client.complete("called")
        await client.post("/cancel", {"attempt_id": "called"})
        assert "[DONE]" not in await _read_events(cancelled_by_call)
        await client.wait_for_log([("closed", "cancelled"),
                                   ("called", "cancelled")])

    _run(scenario, base_step_seconds=0.05)


def test_most_urgent_waiting_request_starts_first_and_full_queue_refuses():

    async def scenario(client: _EngineClient) -> None:
        body = {"model": _MODEL, "prompt": _PROMPT, "stream": True}
        stand_in = client.site.engine
        started = []
        for index, (attempt, priority) in enumerate(
            (("first", 3), ("low", 5), ("high", 0))):
            headers = {"x-attempt-id": attempt, "x-priority": str(priority)}
            started.append(
                defer.ensureDeferred(
                    client.post("/v1/completions", body, headers)))
            # Requests on different connections may overtake each other.
            while (stand_in.running, stand_in.queued) != (1, index):
                await task.deferLater(reactor_runner.reactor, 0.01)
        refused = await client.complete("refused")
        assert refused.code == 503
        assert refused.headers.getRawHeaders("x-not-started") == ["1"]
        for answer in started:
            await (await answer).content()
        log = await client.read_log()
        assert [attempt for attempt, _ in log] == ["first", "high", "low"]

    _run(scenario, batch_limit=1, queue_limit=2, base_step_seconds=0.05)


def test_engine_refuses_an_old_fencing_number_only_if_it_checks_fencing():

    async def send_order(client: _EngineClient, number: int) -> int:
        body = {
            "order_id": str(number),
            "kind": "load",
            "subject": "adapter",
            "fencing_number": number,
            "expires_at": "2999-01-01T00:00:00+00:00",
        }
        return (await client.post("/orders", body)).code

    async def check_fencing(client: _EngineClient) -> None:
        assert [await send_order(client, n) for n in (2, 1, 3)
               ] == [200, 412, 200]

    async def check_no_fencing(client: _EngineClient) -> None:
        assert [await send_order(client, n) for n in (2, 1, 3)] == [200] * 3

    _run(check_fencing, checks_fencing=True)
    _run(check_no_fencing)


def test_poison_word_crashes_the_engine_and_resets_all_streams():

    async def scenario(client: _EngineClient) -> None:
        await client.post("/switch", {
            "poison_word": "venom",
            "crash_seconds": 0.1
        })
        other_stream = await client.complete("innocent")
        try:
            await (await client.complete("poison", prompt="venom")).content()
            raise AssertionError(
                "the request with the poison word was answered")
        except web_client.ResponseFailed:
            pass
        try:
            await other_stream.content()
            raise AssertionError("the stream survived the crash")
        except web_client.ResponseFailed:
            pass
        await task.deferLater(reactor_runner.reactor, 0.5)
        assert await client.read_log() == [("innocent", "crashed"),
                                           ("poison", "crashed")]

    _run(scenario, base_step_seconds=0.02)


def test_streams_show_the_injected_event_faults():

    async def scenario(client: _EngineClient) -> None:
        await client.post("/switch", {"truncate_streams": 1})
        truncated = await _read_events(await client.complete("cut"))
        assert len(truncated) == 3
        await client.post("/switch", {"late_events": 1, "repeat_events": 1})
        events = await _read_events(await client.complete("own"))
        assert [event["id"] for event in events[:3]] == ["cut", "own", "own"]

    _run(scenario)
