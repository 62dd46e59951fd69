"""The operators' commands against a running fleet."""

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
_KEY = "key-of-tatra"
_PAGES = ("/metrics", "/v1/status", "/v1/explain/x",
          "/v1/convergence?version=1", "/v1/burn", "/v1/configuration")


def _digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def _make_document(fleet, **options):
    endpoint = configuration.Endpoint(
        "e1",
        "m",
        f"http://{fleet.addresses.find_engine(1)}:8000",
        "zone-a",
        "region-a",
        concurrency=5)
    return configuration.Document(
        classes=(configuration.RequestClass("tag", 2, 1.0),),
        default_class="tag",
        organisations=(configuration.Organisation("tatra", (_digest(_KEY),)),),
        models=(configuration.Model("m", **options),),
        endpoints=(endpoint,))


class _Operator:
    """Runs the command line against a fleet."""

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.token = fleet.folder / "token"
        self.token.write_text(_TOKEN)

    def write(self, name, document):
        path = self.fleet.folder / name
        path.write_bytes(msgspec.json.encode(document))
        return str(path)

    def run(self, *arguments, vm=1):
        """Runs a command at the agent of a VM."""
        agent = self.fleet.children[f"vm-{vm}/agent"].url
        return self.call(*arguments, "--agent", agent, "--token-file",
                         str(self.token))

    def call(self, *arguments):
        """Returns the ended command."""
        command = [sys.executable, "-m", "mustardwood.cli.main", *arguments]
        return subprocess.run(command,
                              capture_output=True,
                              text=True,
                              timeout=60,
                              check=False)


@pytest.fixture(name="operator", scope="module")
def start_fleet():
    """Starts two VMs with an operators' token."""
    with fleet_package.Fleet("127.84.0") as fleet:
        fleet.start_platform()
        fleet.start_engine(1, "m")
        for number in (1, 2):
            fleet.start_vm(number,
                           "zone-a",
                           operators_token_hash=_digest(_TOKEN),
                           log_json=number == 2)
        yield _Operator(fleet)


def _ask(fleet, number):
    body = {"model": "m", "messages": [{"role": "user", "content": "tag"}]}
    request = urllib.request.Request(
        f"{fleet.find_callers_url(number)}/v1/chat/completions",
        json.dumps(body).encode(), {"authorization": f"Bearer {_KEY}"})
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
def test_operators_apply_see_and_explain(operator):
    fleet = operator.fleet
    assert operator.run("show").returncode == runtime.ExitCode.FAILED
    path = operator.write("first.json", _make_document(fleet))
    applied = operator.run("apply", path, "--wait")
    assert applied.returncode == 0, applied.stderr
    assert applied.stdout == "version 1 is in force on every VM\n"
    fleet.wait_until_ready("vm-1/entry")
    request_id = _ask(fleet, 1)

    shown = operator.run("status", vm=2)
    assert shown.returncode == 0, shown.stderr
    assert "None" not in shown.stdout and "?" not in shown.stdout
    rows = [line.split() for line in shown.stdout.splitlines()]
    for vm in ("vm-1", "vm-2"):
        assert [vm, "zone-a", "region-a", "alive", "1"] in rows
    cell = next(row for row in rows if row and row[0].startswith("m/"))
    assert cell[1] in ("vm-1", "vm-2")
    assert cell[2:] == ["0", "0", "0.00"]
    assert ["e1", "m", "zone-a", "active", "0", "5"] in rows
    body = json.loads(operator.run("status", "--json").stdout)
    assert msgspec.convert(body, fleetstatus.StatusBody).version == 1

    explained = operator.run("explain", request_id, vm=2)
    assert explained.returncode == 0, explained.stderr
    parts = ("class tag, tier 2, organisation tatra, m", "ask 1: cell",
             "Queued in cell", "grant 1: endpoint e1, Granted endpoint e1",
             "whole answer from e1")
    for part in parts:
        assert part in explained.stdout
    unknown = operator.run("explain", "req-none")
    assert unknown.returncode == runtime.ExitCode.FAILED
    assert "Check the id" in unknown.stderr


@pytest.mark.processes
def test_racing_operators_are_told_who_won(operator):
    fleet = operator.fleet
    paths = [
        operator.write(f"race-{number}.json",
                       _make_document(fleet, max_output_tokens=number))
        for number in (1, 2)
    ]
    base = operator.run("status", "--json")
    version = str(json.loads(base.stdout)["version"])
    with concurrent.futures.ThreadPoolExecutor() as pool:
        ends = list(
            pool.map(
                lambda pair: operator.run(
                    "apply", pair[1], "--base", version, vm=pair[0]),
                enumerate(paths, 1)))
    codes = sorted(each.returncode for each in ends)
    assert codes == [runtime.ExitCode.OK, runtime.ExitCode.CONFLICT]
    beaten = next(each for each in ends if each.returncode)
    assert f"version {int(version) + 1} by " in beaten.stderr
    assert "apply again" in beaten.stderr
    winner = next(
        index for index, each in enumerate(ends) if not each.returncode)
    text = operator.run("show", vm=2).stdout
    assert f'"max_output_tokens": {winner + 1}' in text


@pytest.mark.processes
def test_exit_codes_name_what_is_wrong(operator):
    fleet = operator.fleet
    path = operator.write("good.json", _make_document(fleet))
    agent = fleet.children["vm-1/agent"].url
    runs = (("status", "--agent", agent), ("apply", path, "--agent", agent),
            ("status", "--agent", "http://127.84.0.99:9101"))
    with concurrent.futures.ThreadPoolExecutor() as pool:
        ends = tuple(pool.map(lambda each: operator.call(*each), runs))
    for each in ends[:2]:
        assert each.returncode == runtime.ExitCode.USAGE
        assert "--token-file" in each.stderr
    assert ends[2].returncode == runtime.ExitCode.UNREACHABLE
    assert "Name a running agent" in ends[2].stderr
    fleet.set_faults("platform", outage=True)
    try:
        down = operator.run("apply", path)
    finally:
        fleet.set_faults("platform", outage=False)
    assert down.returncode == runtime.ExitCode.FAILED
    assert "nothing was applied" in down.stderr


@pytest.mark.processes
def test_a_vm_that_lags_is_named(operator):
    fleet = operator.fleet
    path = operator.write("lag.json", _make_document(fleet,
                                                     max_output_tokens=9))
    fleet.children["vm-2/scheduler"].freeze()
    try:
        lagging = operator.run("apply", path, "--wait", "--timeout", "2")
        status = operator.run("status")
    finally:
        fleet.children["vm-2/scheduler"].resume()
    assert lagging.returncode == runtime.ExitCode.LAGGING
    assert "vm-2" in lagging.stderr
    row = next(
        line for line in status.stdout.splitlines() if line.startswith("vm-2"))
    assert row.split()[-1] == "scheduler"


@pytest.mark.processes
def test_pages_need_the_token_but_health_and_readiness(operator):
    fleet = operator.fleet
    for part in ("agent", "scheduler", "entry"):
        url = fleet.children[f"vm-1/{part}"].url
        assert _get_status(f"{url}/healthz") == http.HTTPStatus.OK
        assert _get_status(f"{url}/readyz") != http.HTTPStatus.UNAUTHORIZED
        assert _get_status(f"{url}/metrics", _TOKEN) == http.HTTPStatus.OK
        pages = _PAGES if part == "agent" else _PAGES[:1]
        for page in pages:
            found = (_get_status(url + page), _get_status(url + page, "wrong"))
            assert set(found) == {http.HTTPStatus.UNAUTHORIZED}, page


@pytest.mark.processes
def test_logs_have_the_part_as_prefix_or_key(operator):
    for part in ("agent", "scheduler", "entry"):
        text = operator.fleet.children[f"vm-1/{part}"].read_log()
        assert f" INFO {part}: started on 127.84.0.101" in text
        lines = operator.fleet.children[f"vm-2/{part}"].read_log().splitlines()
        started = json.loads(lines[0])
        assert (started["part"], started["level"]) == (part, "INFO")


@pytest.mark.processes
@pytest.mark.parametrize("part", ["agent", "scheduler", "entry"])
def test_binaries_tell_help_version_and_wrong_settings(part, tmp_path):

    right = {
        "vm": "vm-1",
        "ip": "127.84.0.1",
        "zone": "z",
        "region": "r",
        "platform_url": "http://127.84.0.2:1"
    }
    good = _write_settings(tmp_path / "good.jsonc", right)
    bad = _write_settings(tmp_path / "bad.jsonc", {
        **right, "callers_port": 99999
    })
    runs = (("--help",), ("--version",), ("--settings", good, "--check"),
            ("--settings", bad, "--check"), ())
    with concurrent.futures.ThreadPoolExecutor() as pool:
        ends = tuple(pool.map(lambda each: _run_binary(part, each), runs))
    codes = [each.returncode for each in ends]
    assert codes == [0, 0, 0, runtime.ExitCode.USAGE, runtime.ExitCode.USAGE]
    assert "--settings" in ends[0].stdout
    assert ends[1].stdout == f"{mustardwood.__version__}\n"
    assert f"{errors.SettingsError.code}: {bad}:8: $.callers_port" in (
        ends[3].stderr)
    assert "Give a number" in ends[3].stderr
    assert "--settings FILE" in ends[4].stderr


def _write_settings(path, settings):
    path.write_text("// Settings.\n" + json.dumps(settings, indent=1))
    return str(path)


def _run_binary(part, arguments):
    return subprocess.run(
        [sys.executable, "-m", f"mustardwood.{part}.main", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False)
