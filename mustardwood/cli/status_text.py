"""The text form of the fleet's status and of explanations."""

import collections.abc
import typing

from mustardwood import fleetstatus

_Row = collections.abc.Sequence[typing.Any]

_UNKNOWN = "?"
"""Shown for values of a VM that did not answer."""


def format_status(status: fleetstatus.StatusBody) -> str:
    """Formats the response of ``/v1/status`` as tables.

    Args:
        status: The decoded response body.

    Returns:
        Tables of VMs, cells and endpoints, followed by a line that names the
        VMs that did not answer.
    """
    answering_vms = {each.vm for each in status.vms if each.scheduler_answered}
    owners = {
        name: cell.owner for cell in status.cells for name in cell.endpoints
    }
    latest_version = _find_latest_version(status)
    parts = [
        format_table(
            ("vm", "zone", "region", "state", "version", "behind"),
            [_make_vm_row(each, latest_version) for each in status.vms]),
        format_table(
            ("cell", "owner", "queued", "running", "delay s"),
            [_make_cell_row(each, answering_vms) for each in status.cells]),
        format_table(
            ("endpoint", "serves", "zone", "state", "running", "limit"), [
                _make_endpoint_row(each, owners.get(each.endpoint),
                                   answering_vms) for each in status.endpoints
            ]),
    ]
    if status.unanswered:
        parts.append("no answer from: " + ", ".join(status.unanswered))
    return "\n\n".join(parts)


def format_explanation(explanation: dict[str, typing.Any]) -> str:
    """Formats the response of ``/v1/explain`` as lines sorted by time."""
    events = sorted(explanation.get("events", []),
                    key=lambda each: str(each.get("time")))
    lines = [
        f"{each.get('time')} {each.get('vm', '')} {each.get('part')}: "
        f"{each.get('text')}" for each in events
    ]
    unanswered = explanation.get("unanswered", [])
    if unanswered:
        lines.append("no answer from: " + ", ".join(unanswered))
    return "\n".join(lines)


def format_table(header: _Row, rows: collections.abc.Iterable[_Row]) -> str:
    """Formats a header and rows as a table with left-aligned columns.

    Examples:
        >>> print(format_table(("vm", "version"), [("a", 3)]))
        vm  version
        a   3
    """
    table = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*table)]
    lines = ("  ".join(cell.ljust(width)
                       for cell, width in zip(row, widths))
             for row in table)
    return "\n".join(line.rstrip() for line in lines)


def _find_latest_version(status: fleetstatus.StatusBody) -> int:
    agent_versions = [
        each.versions.agent for each in status.vms if each.versions
    ]
    return max((status.version, *agent_versions))


def _make_vm_row(vm: fleetstatus.VmRow, latest_version: int) -> _Row:
    leading_cells = (vm.vm, vm.zone, vm.region, vm.state)
    if vm.versions is None:
        return (*leading_cells, _UNKNOWN, _UNKNOWN)
    behind = ", ".join(vm.versions.list_outdated_processes(latest_version))
    return (*leading_cells, vm.versions.get_lowest(), behind)


def _make_cell_row(cell: fleetstatus.CellRow,
                   answering_vms: collections.abc.Collection[str]) -> _Row:
    if cell.owner is None:
        return (cell.cell, "none", _UNKNOWN, _UNKNOWN, _UNKNOWN)
    reported = cell.schedulers.get(cell.owner)
    if reported is None and cell.owner not in answering_vms:
        return (cell.cell, cell.owner, _UNKNOWN, _UNKNOWN, _UNKNOWN)
    reported = reported or fleetstatus.CellAtScheduler()
    return (cell.cell, cell.owner, reported.queued, reported.running,
            f"{reported.queue_delay_seconds:.2f}")


def _make_endpoint_row(endpoint: fleetstatus.EndpointRow, owner: str | None,
                       answering_vms: collections.abc.Collection[str]) -> _Row:
    leading_cells = (endpoint.endpoint, endpoint.serves, endpoint.zone)
    state = "leaving" if endpoint.leaving else endpoint.state
    reported = next(
        (each for each in endpoint.schedulers if each.scheduler == owner), None)
    if reported is None and owner not in answering_vms:
        return (*leading_cells, state, _UNKNOWN, _UNKNOWN)
    if reported is None:
        return (*leading_cells, state, 0, endpoint.concurrency)
    return (*leading_cells, state if state == "leaving" else reported.state,
            reported.running, reported.limit)
