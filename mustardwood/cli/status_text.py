"""The text of the fleet's status."""

import collections.abc
import typing

from mustardwood import fleetstatus

_Row = collections.abc.Sequence[typing.Any]

_UNKNOWN = "?"
"""Stands for what a VM that did not answer would have told."""


def format_status(status: fleetstatus.StatusBody) -> str:
    """Formats the answer of ``/v1/status`` as tables.

    Args:
        status: The answer.

    Returns:
        Several lines of text, with the VMs that did not answer named last.
    """
    answered = {each.vm for each in status.vms if each.scheduler_answered}
    owners = {
        name: cell.owner for cell in status.cells for name in cell.endpoints
    }
    target = _find_highest(status)
    parts = [
        format_table(("vm", "zone", "region", "state", "version", "behind"),
                     [_list_vm(each, target) for each in status.vms]),
        format_table(("cell", "owner", "queued", "running", "delay s"),
                     [_list_cell(each, answered) for each in status.cells]),
        format_table(
            ("endpoint", "serves", "zone", "state", "running", "limit"), [
                _list_endpoint(each, owners.get(each.endpoint), answered)
                for each in status.endpoints
            ]),
    ]
    if status.unanswered:
        parts.append("no answer from: " + ", ".join(status.unanswered))
    return "\n\n".join(parts)


def format_explanation(explanation: dict[str, typing.Any]) -> str:
    """Formats the answer of ``/v1/explain`` as lines in the order of time."""
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
    """Formats rows under a header, columns aligned.

    Examples:
        >>> print(format_table(("vm", "version"), [("a", 3)]))
        vm  version
        a   3
    """
    texts = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*texts)]
    lines = ("  ".join(cell.ljust(width)
                       for cell, width in zip(row, widths))
             for row in texts)
    return "\n".join(line.rstrip() for line in lines)


def _find_highest(status: fleetstatus.StatusBody) -> int:
    held = [each.versions.agent for each in status.vms if each.versions]
    return max((status.version, *held))


def _list_vm(vm: fleetstatus.VmRow, target: int) -> _Row:
    place = (vm.vm, vm.zone, vm.region, vm.state)
    if vm.versions is None:
        return (*place, _UNKNOWN, _UNKNOWN)
    behind = ", ".join(vm.versions.list_outdated_processes(target))
    return (*place, vm.versions.get_lowest(), behind)


def _list_cell(cell: fleetstatus.CellRow,
               answered: collections.abc.Collection[str]) -> _Row:
    if cell.owner is None:
        return (cell.cell, "none", _UNKNOWN, _UNKNOWN, _UNKNOWN)
    seen = cell.schedulers.get(cell.owner)
    if seen is None and cell.owner not in answered:
        return (cell.cell, cell.owner, _UNKNOWN, _UNKNOWN, _UNKNOWN)
    seen = seen or fleetstatus.CellAtScheduler()
    return (cell.cell, cell.owner, seen.queued, seen.running,
            f"{seen.queue_delay_seconds:.2f}")


def _list_endpoint(endpoint: fleetstatus.EndpointRow, owner: str | None,
                   answered: collections.abc.Collection[str]) -> _Row:
    place = (endpoint.endpoint, endpoint.serves, endpoint.zone)
    state = "leaving" if endpoint.leaving else endpoint.state
    seen = next(
        (each for each in endpoint.schedulers if each.scheduler == owner), None)
    if seen is None and owner not in answered:
        return (*place, state, _UNKNOWN, _UNKNOWN)
    if seen is None:
        return (*place, state, 0, endpoint.concurrency)
    return (*place, state if state == "leaving" else seen.state, seen.running,
            seen.limit)
