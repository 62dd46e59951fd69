"""Tests of the operators' commands against a running fleet."""

import concurrent.futures
import hashlib
import http
import json
import subprocess
import sys
import urllib.error
import urllib.request

import msgspec
import pytest

import mustardwood
from mustardwood import configuration
from mustardwood import errors
from mustardwood import fleetstatus
from mustardwood import runtime
from mustardwood.standins import fleet as fleet_package

_TOKEN = "operators-token"
_API_KEY = "key-of-tatra"
_PAGES = ("/metrics", "/v1/status", "/v1/explain/x",
          "/v1/convergence?version=1", "/v1/burn", "/v1/configuration")


def _compute_digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def _make_document(fleet, **options):
    endpoint = configuration.Endpoint(
        "e1",
        "m",
        f"http://{fleet.addresses.find_engine(1)}:8000",
        "zone-a",
        "region-a",
        concurrency=5)
    return configuration.Document(classes=(configuration.RequestClass(
        "tag", 2, 1.0),),
                                  default_class="tag",
                                  organisations=(configuration.Organisation(
                                      "tatra", (_compute_digest(_API_KEY),)),),
                                  models=(configuration.Model("m", **options),),
                                  endpoints=(endpoint,))


class _Operator:
    """Runs the operators' command line against a fleet."""

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.token = fleet.folder / "token"
        self.token.write_text(_TOKEN)

    def write_document(self, name, document):
        path = self.fleet.folder / name
        path.write_bytes(msgspec.json.encode(document))
        return str(path)

    def run_with_token(self, *arguments, vm=1):
        """Runs a command against the agent of a VM, with the right token."""
        agent = self.fleet.children[f"vm-{vm}/agent"].url
        return self.run_command(*arguments, "--agent", agent, "--token-file",
                                str(self.token))

    def run_command(self, *arguments):
        """Runs a command to its end and returns the completed process."""
        command = [sys.executable, "-m", "mustardwood.cli.main", *arguments]
        return subprocess.run(command,
                              capture_output=True,
                              text=True,
                              timeout=60,
                              check=False)


@pytest.fixture(name="operator", scope="module")
def start_fleet():
    """Starts two VMs with an operators' token; vm-2 logs JSON."""
    with fleet_package.Fleet("127.84.0") as fleet:
        fleet.start_platform()
        fleet.start_engine(1, "m")
        for number in (1, 2):
            fleet.start_vm(number,
                           "zone-a",
                           operators_token_hash=_compute_digest(_TOKEN),
                           log_json=number == 2)
        yield _Operator(fleet)


def _send_completion(fleet, number):
    body = {"model": "m", "messages": [{"role": "user", "content": "tag"}]}
    request = urllib.request.Request(
        f"{fleet.find_callers_url(number)}/v1/chat/completions",
        json.dumps(body).encode(), {"authorization": f"Bearer {_API_KEY}"})
    with urllib.request.urlopen(request, timeout=30) as response:
        return response.headers["x-request-id"]


def _get_status(url, token=None):
    headers = {} if token is None else {"authorization": f"Bearer {token}"}
    try:
        with urllib.request.urlopen(urllib.request.Request(url,
                                                           headers=headers),
                                    timeout=10) as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code


@pytest.mark.processes
def test_apply_status_and_explain_show_the_applied_configuration(operator):
    fleet = operator.fleet
    assert operator.run_with_token("show").returncode == runtime.ExitCode.FAILED
    path = operator.write_document("first.json", _make_document(fleet))
    applied = operator.run_with_token("apply", path, "--wait")
    assert applied.returncode == 0, applied.stderr
    assert applied.stdout == "version 1 is in force on every VM\n"
    fleet.wait_until_ready("vm-1/entry")
    request_id = _send_completion(fleet, 1)

    shown = operator.run_with_token("status", vm=2)
    assert shown.returncode == 0, shown.stderr
    assert "None" not in shown.stdout and "?" not in shown.stdout
    rows = [line.split() for line in shown.stdout.splitlines()]
    for vm in ("vm-1", "vm-2"):
        assert [vm, "zone-a", "region-a", "alive", "1"] in rows
    cell = next(row for row in rows if row and row[0].startswith("m/"))
    assert cell[1] in ("vm-1", "vm-2")
    assert cell[2:] == ["0", "0", "0.00"]
    assert ["e1", "m", "zone-a", "active", "0", "5"] in rows
    body = json.loads(operator.run_with_token("status", "--json").stdout)
    assert msgspec.convert(body, fleetstatus.StatusBody).version == 1

    explained = operator.run_with_token("explain", request_id, vm=2)
    assert explained.returncode == 0, explained.stderr
    expected_texts = ("class tag, tier 2, organisation tatra, m", "ask 1: cell",
                      "Queued in cell",
                      "grant 1: endpoint e1, Granted endpoint e1",
                      "whole answer from e1")
    for text in expected_texts:
        assert text in explained.stdout
    unknown = operator.run_with_token("explain", "req-none")
    assert unknown.returncode == runtime.ExitCode.FAILED
    assert "Check the id" in unknown.stderr


@pytest.mark.processes
def test_only_one_of_two_concurrent_applies_succeeds(operator):
    fleet = operator.fleet
    paths = [
        operator.write_document(f"race-{number}.json",
                                _make_document(fleet, max_output_tokens=number))
        for number in (1, 2)
    ]
    status_before = operator.run_with_token("status", "--json")
    version = str(json.loads(status_before.stdout)["version"])
    with concurrent.futures.ThreadPoolExecutor() as pool:
        results = list(
            pool.map(
                lambda numbered_path: operator.run_with_token("apply",
                                                              numbered_path[1],
                                                              "--base",
                                                              version,
                                                              vm=numbered_path[
                                                                  0]),
                enumerate(paths, 1)))
    exit_codes = sorted(result.returncode for result in results)
    assert exit_codes == [runtime.ExitCode.OK, runtime.ExitCode.CONFLICT]
    rejected = next(result for result in results if result.returncode)
    assert f"version {int(version) + 1} by " in rejected.stderr
    assert "apply again" in rejected.stderr
    winner = next(
        index for index, result in enumerate(results) if not result.returncode)
    text = operator.run_with_token("show", vm=2).stdout
    assert f'"max_output_tokens": {winner + 1}' in text


@pytest.mark.processes
def test_exit_code_and_message_identify_the_failure(operator):
    fleet = operator.fleet
    path = operator.write_document("good.json", _make_document(fleet))
    agent = fleet.children["vm-1/agent"].url
    commands = (("status", "--agent", agent), ("apply", path, "--agent", agent),
                ("status", "--agent", "http://127.84.0.99:9101"))
    with concurrent.futures.ThreadPoolExecutor() as pool:
        results = tuple(
            pool.map(lambda command: operator.run_command(*command), commands))
    for result in results[:2]:
        assert result.returncode == runtime.ExitCode.USAGE
        assert "--token-file" in result.stderr
    assert results[2].returncode == runtime.ExitCode.UNREACHABLE
    assert "Name a running agent" in results[2].stderr
    fleet.set_faults("platform", outage=True)
    try:
        outage_result = operator.run_with_token("apply", path)
    finally:
        fleet.set_faults("platform", outage=False)
    assert outage_result.returncode == runtime.ExitCode.FAILED
    assert "nothing was applied" in outage_result.stderr


@pytest.mark.processes
def test_apply_with_wait_names_a_vm_that_lags(operator):
    fleet = operator.fleet
    path = operator.write_document("lag.json",
                                   _make_document(fleet, max_output_tokens=9))
    fleet.children["vm-2/scheduler"].freeze()
    try:
        lagging = operator.run_with_token("apply", path, "--wait", "--timeout",
                                          "2")
        status = operator.run_with_token("status")
    finally:
        fleet.children["vm-2/scheduler"].resume()
    assert lagging.returncode == runtime.ExitCode.LAGGING
    assert "vm-2" in lagging.stderr
    row = next(
        line for line in status.stdout.splitlines() if line.startswith("vm-2"))
    assert row.split()[-1] == "scheduler"


@pytest.mark.processes
def test_all_pages_except_health_and_readiness_require_the_token(operator):
    fleet = operator.fleet
    for part in ("agent", "scheduler", "entry"):
        url = fleet.children[f"vm-1/{part}"].url
        assert _get_status(f"{url}/healthz") == http.HTTPStatus.OK
        assert _get_status(f"{url}/readyz") != http.HTTPStatus.UNAUTHORIZED
        assert _get_status(f"{url}/metrics", _TOKEN) == http.HTTPStatus.OK
        pages = _PAGES if part == "agent" else _PAGES[:1]
        for page in pages:
            statuses = (_get_status(url + page),
                        _get_status(url + page, "wrong"))
            assert set(statuses) == {http.HTTPStatus.UNAUTHORIZED}, page


@pytest.mark.processes
def test_log_lines_name_the_process_as_prefix_or_json_key(operator):
    for part in ("agent", "scheduler", "entry"):
        text = operator.fleet.children[f"vm-1/{part}"].read_log()
        assert f" INFO {part}: started on 127.84.0.101" in text
        lines = operator.fleet.children[f"vm-2/{part}"].read_log().splitlines()
        started = json.loads(lines[0])
        assert (started["part"], started["level"]) == (part, "INFO")


@pytest.mark.processes
@pytest.mark.parametrize("part", ["agent", "scheduler", "entry"])
def test_programs_print_help_version_and_settings_errors(part, tmp_path):

    valid_settings = {
        "vm": "vm-1",
        "ip": "127.84.0.1",
        "zone": "z",
        "region": "r",
        "platform_url": "http://127.84.0.2:1"
    }
    valid_path = _write_settings(tmp_path / "good.jsonc", valid_settings)
    invalid_path = _write_settings(tmp_path / "bad.jsonc", {
        **valid_settings, "callers_port": 99999
    })
    commands = (("--help",), ("--version",), ("--settings", valid_path,
                                              "--check"),
                ("--settings", invalid_path, "--check"), ())
    with concurrent.futures.ThreadPoolExecutor() as pool:
        results = tuple(
            pool.map(lambda arguments: _run_program(part, arguments), commands))
    exit_codes = [result.returncode for result in results]
    assert exit_codes == [
        0, 0, 0, runtime.ExitCode.USAGE, runtime.ExitCode.USAGE
    ]
    assert "--settings" in results[0].stdout
    assert results[1].stdout == f"{mustardwood.__version__}\n"
    assert f"{errors.SettingsError.code}: {invalid_path}:8: $.callers_port" in (
        results[3].stderr)
    assert "Give a number" in results[3].stderr
    assert "--settings FILE" in results[4].stderr


def _write_settings(path, settings):
    path.write_text("// Settings.\n" + json.dumps(settings, indent=1))
    return str(path)


def _run_program(part, arguments):
    return subprocess.run(
        [sys.executable, "-m", f"mustardwood.{part}.main", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False)
