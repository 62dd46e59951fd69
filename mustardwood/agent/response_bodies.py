"""The bodies of the operators' pages about the fleet."""

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
        survey: fleet_query.FleetReport,
        members: collections.abc.Sequence[messages.Member],
        document: configuration.Document | None, version: int,
        leaving: collections.abc.Collection[str]) -> fleetstatus.StatusBody:
    """Returns the body of ``GET /v1/status``."""
    reported = _collect_endpoints(survey)
    return fleetstatus.StatusBody(
        version=version,
        vms=tuple(_describe_vm(each, survey) for each in members),
        unanswered=survey.unanswered,
        cells=_describe_cells(survey, members, document),
        endpoints=_describe_endpoints(document, leaving, reported))


def build_explanation(request_id: str, survey: fleet_query.FleetReport) -> Body:
    """Returns the body of ``GET /v1/explain/{request_id}``."""
    events: list[Body] = []
    for vm, report in survey.reports.items():
        for part in (report.entry, report.scheduler):
            for event in (part or {}).get("events", ()):
                events.append({"vm": vm, **event})
    events.sort(key=lambda event: str(event.get("time", "")))
    return {
        "request_id": request_id,
        "events": events,
        "unanswered": list(survey.unanswered),
    }


def build_convergence(version: int, survey: fleet_query.FleetReport) -> Body:
    """Returns the body of ``GET /v1/convergence``."""
    lowest = {
        vm: report.versions.get_lowest()
        for vm, report in survey.reports.items()
    }
    return {
        "version":
            version,
        "in_force":
            sorted(vm for vm, held in lowest.items() if held >= version),
        "lagging": [{
            "vm": vm,
            "version": held
        } for vm, held in sorted(lowest.items()) if held < version],
        "unanswered":
            list(survey.unanswered),
    }


def _describe_vm(member: messages.Member,
                 survey: fleet_query.FleetReport) -> fleetstatus.VmRow:
    report = survey.reports.get(member.vm)
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
        survey: fleet_query.FleetReport,
        members: collections.abc.Sequence[messages.Member],
        document: configuration.Document | None
) -> tuple[fleetstatus.CellRow, ...]:
    if document is None:
        return ()
    found = []
    for cell in cells.build_cells(document):
        ranked = cells.rank_owners(cell.name, cell.region, members)
        found.append(
            fleetstatus.CellRow(cell=cell.name,
                                owner=ranked[0].vm if ranked else None,
                                endpoints=tuple(
                                    each.name for each in cell.endpoints),
                                schedulers=_find_cell(survey, cell.name)))
    return tuple(found)


def _find_cell(survey: fleet_query.FleetReport,
               name: str) -> dict[str, fleetstatus.CellAtScheduler]:
    return {
        vm:
            fleetstatus.CellAtScheduler(each.queued, each.running,
                                        each.queue_delay_seconds)
        for vm, each in _list_cells(survey)
        if each.cell == name
    }


def _collect_endpoints(
    survey: fleet_query.FleetReport
) -> dict[str, tuple[fleetstatus.EndpointAtScheduler, ...]]:
    found: dict[str, tuple[fleetstatus.EndpointAtScheduler, ...]] = {}
    for vm, cell in _list_cells(survey):
        for each in cell.endpoints:
            seen = fleetstatus.EndpointAtScheduler(vm, each.running, each.limit,
                                                   each.state)
            found[each.endpoint] = (*found.get(each.endpoint, ()), seen)
    return found


def _list_cells(
    survey: fleet_query.FleetReport
) -> collections.abc.Iterator[tuple[str, scheduling.CellStatus]]:
    for vm, report in sorted(survey.reports.items()):
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
