"""Tests of the burn report of a fleet of real processes."""

import json
import pathlib
import time
import urllib.request

import pytest

from mustardwood.standins import fleet as fleet_package

_TIMEOUT_SECONDS = 15.0
_DOCUMENT = {
    "classes": [{
        "name": "question",
        "tier": 0,
        "first_token_seconds": 2
    }, {
        "name": "batch",
        "tier": 5,
        "first_token_seconds": 30
    }],
    "default_class":
        "question",
    "organisations": [{
        "name":
            "tatra",
        "key_hashes": [
            "19e9ece4e46623c9aa7870a35b5bf0529c00c8fcab6ca4331c49810d21975043"
        ]
    }],
    "models": [{
        "name": "small"
    }],
    "endpoints": [{
        "name": f"small-{number}",
        "serves": "small",
        "url": f"http://127.83.1.{10 + number}:8000",
        "zone": "zone-a",
        "region": "region-a"
    } for number in (1, 2)],
}


def _send(fleet, vm, class_name, index, max_tokens=8):
    body = {
        "model": "small",
        "prompt": f"question {index}",
        "max_tokens": max_tokens
    }
    request = urllib.request.Request(
        fleet.find_callers_url(vm) + "/v1/completions",
        json.dumps(body).encode(), {
            "authorization": "Bearer demo-tatra",
            "content-type": "application/json",
            "x-request-class": class_name
        })
    with urllib.request.urlopen(request, timeout=20) as response:
        return json.loads(response.read())


def _send_and_disconnect(fleet, vm):
    """Disconnects from a streamed response after its first tokens."""
    body = {"model": "small", "prompt": "long", "stream": True}
    request = urllib.request.Request(
        fleet.find_callers_url(vm) + "/v1/completions",
        json.dumps(body).encode(), {
            "authorization": "Bearer demo-tatra",
            "content-type": "application/json",
            "x-request-class": "batch"
        })
    with urllib.request.urlopen(request, timeout=20) as response:
        while b"data: " not in response.readline():
            pass


def _count_asked(report):
    return {
        each["class_name"]: {
            one["name"]: one["asked"] for one in each["windows"]
        }["1h"] for each in report["classes"]
    }


def _wait_for(read, condition):
    end = time.monotonic() + _TIMEOUT_SECONDS
    while True:
        found = read()
        if condition(found):
            return found
        assert time.monotonic() < end, found
        time.sleep(0.3)


@pytest.mark.processes
def test_stored_minutes_survive_a_killed_vm(tmp_path: pathlib.Path):
    path = tmp_path / "configuration.json"
    path.write_text(json.dumps(_DOCUMENT))
    with fleet_package.Fleet("127.83.1") as fleet:
        fleet.start_platform()
        for number in (1, 2):
            fleet.start_engine(number, "small")
        for number in (1, 2):
            fleet.start_vm(number, "zone-a", burn_minute_seconds=4.0)
        fleet.apply(path)
        for number in (1, 2):
            fleet.wait_until_ready(f"vm-{number}/entry")
        for index in range(6):
            if index == 3:
                fleet.children["engine-1"].kill()
            _send(fleet, 1 + index % 2, "question", index)
            _send(fleet, 1 + index % 2, "batch", index)
        _send_and_disconnect(fleet, 1)

        def read():
            return fleet.read_json("vm-1/agent", "/v1/burn")

        _wait_for(
            read, lambda report: "cancelled" in report["wasted_tokens"] and
            _count_asked(report) == {
                "question": 6,
                "batch": 6
            })
        present = int(time.time() // 4)

        def read_stored():
            return urllib.request.urlopen(
                f"{fleet.platform_url}/kv?prefix=mustardwood/burn/minute/",
                timeout=5).read().decode()

        _wait_for(read_stored, lambda text: f"minute/{present}" in text)
        for part in ("agent", "scheduler", "entry"):
            fleet.children[f"vm-2/{part}"].kill()
        report = _wait_for(read, lambda found: "vm-2" in found["unanswered"])
        assert _count_asked(report) == {"question": 6, "batch": 6}
        assert not report.get("storage_failed")
        assert report["useful_tokens"] > 0
        assert "cancelled" in report["wasted_tokens"]
