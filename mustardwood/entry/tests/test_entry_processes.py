"""Tests of entries as processes, with engines and schedulers that fail."""

import hashlib
import threading
import time

import msgspec
import openai
import pytest

from mustardwood import configuration
from mustardwood.standins import fleet as fleet_package

_KEY = "key-of-tatra"
_TOKENS = 60


@pytest.fixture(name="fleet")
def _start_fleet(tmp_path):
    with fleet_package.Fleet("127.96.5") as fleet:
        fleet.start_platform()
        endpoints = []
        for number in (1, 2, 3):
            fleet.start_engine(number, "m")
            ip = fleet.addresses.find_engine(number)
            endpoints.append(
                configuration.Endpoint(f"e{number}", "m", f"http://{ip}:8000",
                                       "zone-a", "region-a"))
        digest = hashlib.sha256(_KEY.encode()).hexdigest()
        document = configuration.Document(
            classes=(configuration.RequestClass("tag", 0, 0.66),),
            default_class="tag",
            organisations=(configuration.Organisation("tatra", (digest,)),),
            models=(configuration.Model("m"),),
            endpoints=tuple(endpoints))
        path = tmp_path / "configuration.jsonc"
        path.write_bytes(msgspec.json.encode(document))
        fleet.start_vm(1, zone="zone-a")
        fleet.apply(path)
        fleet.wait_until_ready("vm-1/entry")
        yield fleet


class StreamingCallers:
    """Callers that stream the same request concurrently."""

    def __init__(self, fleet, count, vm=1):
        self.responses = []
        self._client = openai.OpenAI(api_key=_KEY,
                                     base_url=fleet.find_callers_url(vm) +
                                     "/v1",
                                     max_retries=0)
        self._has_first_token = threading.Event()
        self._threads = [
            threading.Thread(target=self._stream) for _ in range(count)
        ]
        for each in self._threads:
            each.start()

    def wait_for_first_token(self):
        """Waits until a caller has received the first chunk."""
        assert self._has_first_token.wait(60)

    def join_all(self):
        """Waits for all callers; returns text and finish reason of each."""
        for each in self._threads:
            each.join(120)
        return self.responses

    def _stream(self):
        chunks = self._client.chat.completions.create(model="m",
                                                      messages=[{
                                                          "role": "user",
                                                          "content": "x"
                                                      }],
                                                      max_tokens=_TOKENS,
                                                      stream=True)
        text = []
        reason = None
        for chunk in chunks:
            self._has_first_token.set()
            if chunk.choices:
                text.append(chunk.choices[0].delta.content or "")
                reason = chunk.choices[0].finish_reason or reason
        self.responses.append(("".join(text), reason))


def check_complete_and_equal(responses, count):
    """Checks that all responses are complete and equal."""
    assert len(responses) == count
    assert len(set(responses)) == 1
    assert responses[0][0]
    assert responses[0][1]


@pytest.mark.processes
def test_killed_engine_and_scheduler_lose_no_response(fleet):
    expected = StreamingCallers(fleet, 1).join_all()
    callers = StreamingCallers(fleet, 6)
    callers.wait_for_first_token()
    fleet.children["engine-1"].kill()
    check_complete_and_equal(callers.join_all() + expected, 7)
    fleet.children["vm-1/scheduler"].kill()
    check_complete_and_equal(
        StreamingCallers(fleet, 3).join_all() + expected, 4)


@pytest.mark.processes
def test_graceful_shutdown_interrupts_no_stream(fleet):
    callers = StreamingCallers(fleet, 6)
    callers.wait_for_first_token()
    fleet.children["vm-1/entry"].terminate()
    check_complete_and_equal(callers.join_all(), 6)
    for _ in range(600):
        if not fleet.children["vm-1/entry"].is_running:
            break
        time.sleep(0.1)
    assert not fleet.children["vm-1/entry"].is_running


@pytest.mark.processes
def test_openai_client_streams_through_two_entries(fleet):
    fleet.start_vm(2, zone="zone-b")
    fleet.wait_until_ready("vm-2/entry")
    responses = StreamingCallers(fleet, 2).join_all() + StreamingCallers(
        fleet, 2, vm=2).join_all()
    check_complete_and_equal(responses, 4)
