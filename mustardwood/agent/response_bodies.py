"""Response bodies of the operators' HTTP interface about the fleet."""

import collections.abc
import typing

import msgspec

from mustardwood import cells
from mustardwood import configuration
from mustardwood import fleetstatus
from mustardwood import messages
from mustardwood import scheduling
from mustardwood.agent import fleet_query

Body = dict[str, typing.Any]


def build_status(
        fleet_report: fleet_query.FleetReport,
        members: collections.abc.Sequence[messages.Member],
        document: configuration.Document | None, version: int,
        leaving: collections.abc.Collection[str]) -> fleetstatus.StatusBody:
    """Returns the body of ``GET /v1/status``.

    Args:
        fleet_report: The answers of the VMs.
        members: The known VMs.
        document: The configuration in force; None before the first one.
        version: Its version; 0 before the first one.
        leaving: Names of the endpoints that are leaving.
    """
    reported = _collect_endpoint_reports(fleet_report)
    return fleetstatus.StatusBody(
        version=version,
        vms=tuple(_describe_vm(each, fleet_report) for each in members),
        unanswered=fleet_report.unanswered,
        cells=_describe_cells(fleet_report, members, document),
        endpoints=_describe_endpoints(document, leaving, reported))


def build_explanation(request_id: str,
                      fleet_report: fleet_query.FleetReport) -> Body:
    """Returns the body of ``GET /v1/explain/{request_id}``.

    Args:
        request_id: The request to explain.
        fleet_report: The answers of the VMs; their events are merged and
            sorted by time.
    """
    events: list[Body] = []
    for vm, report in fleet_report.reports.items():
        for part in (report.entry, report.scheduler):
            for event in (part or {}).get("events", ()):
                events.append({"vm": vm, **event})
    events.sort(key=lambda event: str(event.get("time", "")))
    return {
        "request_id": request_id,
        "events": events,
        "unanswered": list(fleet_report.unanswered),
    }


def build_convergence(version: int,
                      fleet_report: fleet_query.FleetReport) -> Body:
    """Returns the body of ``GET /v1/convergence``.

    Args:
        version: Version that should be in force on all VMs.
        fleet_report: The answers of the VMs.
    """
    lowest_versions = {
        vm: report.versions.get_lowest()
        for vm, report in fleet_report.reports.items()
    }
    return {
        "version":
            version,
        "in_force":
            sorted(vm for vm, version_in_force in lowest_versions.items()
                   if version_in_force >= version),
        "lagging": [{
            "vm": vm,
            "version": version_in_force
        }
                    for vm, version_in_force in sorted(lowest_versions.items())
                    if version_in_force < version],
        "unanswered":
            list(fleet_report.unanswered),
    }


def _describe_vm(member: messages.Member,
                 fleet_report: fleet_query.FleetReport) -> fleetstatus.VmRow:
    report = fleet_report.reports.get(member.vm)
    answered = report is not None
    return fleetstatus.VmRow(vm=member.vm,
                             ip=member.ip,
                             zone=member.zone,
                             region=member.region,
                             state=member.state.value,
                             answered=answered,
                             versions=report.versions if report else None,
                             entry=report.entry if report else None,
                             scheduler_answered=report is not None and
                             report.scheduler is not None)


def _describe_cells(
        fleet_report: fleet_query.FleetReport,
        members: collections.abc.Sequence[messages.Member],
        document: configuration.Document | None
) -> tuple[fleetstatus.CellRow, ...]:
    if document is None:
        return ()
    rows = []
    for cell in cells.build_cells(document):
        ranked = cells.rank_owners(cell.name, cell.region, members)
        rows.append(
            fleetstatus.CellRow(
                cell=cell.name,
                owner=ranked[0].vm if ranked else None,
                endpoints=tuple(each.name for each in cell.endpoints),
                schedulers=_collect_cell_reports(fleet_report, cell.name)))
    return tuple(rows)


def _collect_cell_reports(fleet_report: fleet_query.FleetReport,
                          name: str) -> dict[str, fleetstatus.CellAtScheduler]:
    return {
        vm:
            fleetstatus.CellAtScheduler(each.queued, each.running,
                                        each.queue_delay_seconds)
        for vm, each in _iterate_cells(fleet_report)
        if each.cell == name
    }


def _collect_endpoint_reports(
    fleet_report: fleet_query.FleetReport
) -> dict[str, tuple[fleetstatus.EndpointAtScheduler, ...]]:
    rows: dict[str, tuple[fleetstatus.EndpointAtScheduler, ...]] = {}
    for vm, cell in _iterate_cells(fleet_report):
        for each in cell.endpoints:
            scheduler_status = fleetstatus.EndpointAtScheduler(
                vm, each.running, each.limit, each.state)
            rows[each.endpoint] = (*rows.get(each.endpoint,
                                             ()), scheduler_status)
    return rows


def _iterate_cells(
    fleet_report: fleet_query.FleetReport
) -> collections.abc.Iterator[tuple[str, scheduling.CellStatus]]:
    for vm, report in sorted(fleet_report.reports.items()):
        for each in (report.scheduler or {}).get("cells", ()):
            yield vm, msgspec.convert(each, scheduling.CellStatus)


def _describe_endpoints(
    document: configuration.Document | None,
    leaving: collections.abc.Collection[str],
    reported: dict[str, tuple[fleetstatus.EndpointAtScheduler, ...]]
) -> tuple[fleetstatus.EndpointRow, ...]:
    if document is None:
        return ()
    return tuple(
        fleetstatus.EndpointRow(endpoint=each.name,
                                serves=each.serves,
                                zone=each.zone,
                                region=each.region,
                                state=each.state.value,
                                leaving=each.name in leaving,
                                concurrency=each.concurrency,
                                schedulers=reported.get(each.name, ()))
        for each in document.endpoints)
