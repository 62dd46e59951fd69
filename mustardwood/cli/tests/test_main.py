"""Tests of the operators' command line without a fleet."""

import json
import pathlib

import msgspec
import pytest
import typer.testing

from mustardwood import cells
from mustardwood import configuration
from mustardwood import fleetstatus
from mustardwood import messages
from mustardwood import scheduling
from mustardwood.agent import fleet_query
from mustardwood.agent import response_bodies
from mustardwood.agent import vm_report
from mustardwood.cli import main
from mustardwood.cli import status_text
from mustardwood.scheduler import query_bodies

_DOCUMENT = {
    "classes": [{
        "name": "tag",
        "tier": 0,
        "first_token_seconds": 0.66
    }],
    "default_class": "tag",
    "organisations": [],
    "models": [],
    "endpoints": [],
}


@pytest.fixture(name="runner")
def make_runner() -> typer.testing.CliRunner:
    return typer.testing.CliRunner()


def _write_document(folder: pathlib.Path, document: object) -> str:
    path = folder / "document.json"
    path.write_text(json.dumps(document, indent=1))
    return str(path)


def test_validate_accepts_a_valid_document(runner, tmp_path):
    result = runner.invoke(
        main.app, ["validate", _write_document(tmp_path, _DOCUMENT)])
    assert result.exit_code == 0


def test_validate_prints_line_key_and_remedy_of_a_problem(runner, tmp_path):
    invalid = dict(_DOCUMENT, default_class="none")
    path = _write_document(tmp_path, invalid)
    result = runner.invoke(main.app, ["validate", path])
    assert result.exit_code == 1
    assert f"{path}:9: $.default_class" in result.stderr
    assert "Describe it under classes." in result.stderr


def test_unreadable_file_is_a_usage_error(runner, tmp_path):
    result = runner.invoke(main.app, ["validate", str(tmp_path / "none")])
    assert result.exit_code == 2


def _make_member(vm: str, state: messages.MemberState) -> messages.Member:
    return messages.Member(vm, f"127.84.9.{vm[-1]}", "z", "r", state)


def _make_status() -> fleetstatus.StatusBody:
    """Returns the body of ``/v1/status`` for three VMs, one of them dead.

    The agent's code makes the body, so that the tables are tested with what an
    agent really sends.
    """
    endpoints = tuple(
        configuration.Endpoint(name, "m", "http://127.84.9.9:1", "z", "r")
        for name in ("e1", "e2", "e3"))
    document = configuration.Document(
        (configuration.RequestClass("tag", 2, 1.0),), "tag", (),
        (configuration.Model("m"),), endpoints)
    members = (_make_member("vm-1", messages.MemberState.ALIVE),
               _make_member("vm-2", messages.MemberState.ALIVE),
               _make_member("vm-3", messages.MemberState.DEAD))
    cell = cells.build_cells(document)[0]
    owner = cells.rank_owners(cell.name, "r", members)[0].vm
    owner_status = scheduling.CellStatus(
        cell.name, 4, 2, 1.5,
        (scheduling.EndpointStatus("e1", 2, 3, "straggling"),))
    other_status = scheduling.CellStatus(cell.name, 9, 9, 9.0, ())
    reports = {
        vm:
            vm_report.VmReport(
                fleetstatus.Versions(7, 6 if vm == "vm-2" else 7, 7), {},
                msgspec.to_builtins(
                    query_bodies.StatusBody(
                        (owner_status if vm == owner else other_status,))))
        for vm in ("vm-1", "vm-2")
    }
    body = response_bodies.build_status(
        fleet_query.FleetReport(reports, ("vm-3",)), members, document, 7,
        ("e2",))
    return msgspec.json.decode(msgspec.json.encode(body),
                               type=fleetstatus.StatusBody)


def test_status_tables_match_the_response_of_the_status_page():
    body = _make_status()
    text = status_text.format_status(body)
    rows = [line.split() for line in text.splitlines()]
    assert ["vm-1", "z", "r", "alive", "7"] in rows
    assert ["vm-2", "z", "r", "alive", "6", "entry"] in rows
    assert ["vm-3", "z", "r", "dead", "?", "?"] in rows
    assert [body.cells[0].cell, body.cells[0].owner, "4", "2", "1.50"] in rows
    assert ["e1", "m", "z", "straggling", "2", "3"] in rows
    assert ["e2", "m", "z", "leaving", "0", "16"] in rows
    assert ["e3", "m", "z", "active", "0", "16"] in rows
    assert "None" not in text


def test_status_names_the_vms_that_did_not_answer():
    assert status_text.format_status(
        _make_status()).endswith("no answer from: vm-3")


def test_endpoint_load_is_unknown_if_the_cell_owner_did_not_answer():
    body = msgspec.structs.replace(_make_status(), vms=())
    rows = [
        line.split() for line in status_text.format_status(body).split("\n")
    ]
    assert ["e3", "m", "z", "active", "?", "?"] in rows
