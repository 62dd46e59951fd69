"""The bodies of the operators' pages about the fleet."""

import collections.abc
import typing

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood.agent import fleet_survey

Body = dict[str, typing.Any]


def describe_status(survey: fleet_survey.Survey,
                    members: collections.abc.Sequence[messages.Member],
                    document: configuration.Document | None, version: int,
                    leaving: collections.abc.Collection[str]) -> Body:
    """Returns the body of ``GET /v1/status``."""
    reported = _collect_endpoints(survey)
    return {
        "version": version,
        "vms": [_describe_vm(each, survey) for each in members],
        "unanswered": list(survey.unanswered),
        "cells": _describe_cells(survey, members, document),
        "endpoints": _describe_endpoints(document, leaving, reported),
    }


def describe_explanation(request_id: str, survey: fleet_survey.Survey) -> Body:
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


def describe_convergence(version: int, survey: fleet_survey.Survey) -> Body:
    """Returns the body of ``GET /v1/convergence``."""
    lowest = {
        vm: report.versions.lowest() for vm, report in survey.reports.items()
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


def _describe_vm(member: messages.Member, survey: fleet_survey.Survey) -> Body:
    body: Body = {
        "vm": member.vm,
        "ip": member.ip,
        "zone": member.zone,
        "region": member.region,
        "state": member.state.value,
        "answered": member.vm in survey.reports,
    }
    report = survey.reports.get(member.vm)
    if report is not None:
        body["versions"] = {
            "agent": report.versions.agent,
            "entry": report.versions.entry,
            "scheduler": report.versions.scheduler,
        }
        body["entry"] = report.entry
    return body


def _describe_cells(survey: fleet_survey.Survey,
                    members: collections.abc.Sequence[messages.Member],
                    document: configuration.Document | None) -> list[Body]:
    if document is None:
        return []
    found = []
    for cell in cells.build_cells(document):
        ranked = cells.rank_owners(cell.name, cell.region, members)
        owner = ranked[0].vm if ranked else None
        found.append({
            "cell": cell.name,
            "owner": owner,
            "endpoints": [each.name for each in cell.endpoints],
            "schedulers": _find_cell(survey, cell.name),
        })
    return found


def _find_cell(survey: fleet_survey.Survey, name: str) -> Body:
    found: Body = {}
    for vm, report in survey.reports.items():
        for each in (report.scheduler or {}).get("cells", ()):
            if each.get("cell") == name:
                found[vm] = {
                    key: each.get(key)
                    for key in ("queued", "running", "queue_delay_seconds")
                }
    return found


def _collect_endpoints(survey: fleet_survey.Survey) -> dict[str, list[Body]]:
    found: dict[str, list[Body]] = {}
    for vm, report in sorted(survey.reports.items()):
        for cell in (report.scheduler or {}).get("cells", ()):
            for each in cell.get("endpoints", ()):
                seen = {"scheduler": vm, **each}
                found.setdefault(str(each.get("endpoint")), []).append(seen)
    return found


def _describe_endpoints(document: configuration.Document | None,
                        leaving: collections.abc.Collection[str],
                        reported: dict[str, list[Body]]) -> list[Body]:
    if document is None:
        return []
    return [{
        "endpoint": each.name,
        "serves": each.serves,
        "zone": each.zone,
        "region": each.region,
        "state": each.state.value,
        "leaving": each.name in leaving,
        "schedulers": reported.get(each.name, []),
    } for each in document.endpoints]
