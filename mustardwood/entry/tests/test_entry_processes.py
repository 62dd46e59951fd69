"""Entries as real processes, with engines and schedulers that fail."""

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


class Callers:
    """Streams the same request several times at once."""

    def __init__(self, fleet, count, vm=1):
        self.answers = []
        self._client = openai.OpenAI(api_key=_KEY,
                                     base_url=fleet.find_callers_url(vm) +
                                     "/v1",
                                     max_retries=0)
        self._begun = threading.Event()
        self._threads = [
            threading.Thread(target=self._stream) for _ in range(count)
        ]
        for each in self._threads:
            each.start()

    def wait_until_begun(self):
        """Waits for the first token."""
        assert self._begun.wait(60)

    def finish(self):
        """Waits for the ends; returns the answers."""
        for each in self._threads:
            each.join(120)
        return self.answers

    def _stream(self):
        parts = self._client.chat.completions.create(model="m",
                                                     messages=[{
                                                         "role": "user",
                                                         "content": "x"
                                                     }],
                                                     max_tokens=_TOKENS,
                                                     stream=True)
        text = []
        reason = None
        for part in parts:
            self._begun.set()
            if part.choices:
                text.append(part.choices[0].delta.content or "")
                reason = part.choices[0].finish_reason or reason
        self.answers.append(("".join(text), reason))


def check_whole(answers, count):
    """Checks that all answers are whole and equal."""
    assert len(answers) == count
    assert len(set(answers)) == 1
    assert answers[0][0]
    assert answers[0][1]


@pytest.mark.processes
def test_killed_engine_and_scheduler_lose_no_answer(fleet):
    expected = Callers(fleet, 1).finish()
    callers = Callers(fleet, 6)
    callers.wait_until_begun()
    fleet.children["engine-1"].kill()
    check_whole(callers.finish() + expected, 7)
    fleet.children["vm-1/scheduler"].kill()
    check_whole(Callers(fleet, 3).finish() + expected, 4)


@pytest.mark.processes
def test_planned_stop_cuts_no_stream(fleet):
    callers = Callers(fleet, 6)
    callers.wait_until_begun()
    fleet.children["vm-1/entry"].terminate()
    check_whole(callers.finish(), 6)
    for _ in range(600):
        if not fleet.children["vm-1/entry"].is_running:
            break
        time.sleep(0.1)
    assert not fleet.children["vm-1/entry"].is_running


@pytest.mark.processes
def test_openai_client_streams_through_two_entries(fleet):
    fleet.start_vm(2, zone="zone-b")
    fleet.wait_until_ready("vm-2/entry")
    answers = Callers(fleet, 2).finish() + Callers(fleet, 2, vm=2).finish()
    check_whole(answers, 4)
