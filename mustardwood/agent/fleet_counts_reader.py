"""Queries for the service-level counts that the VMs hold."""

import msgspec

from mustardwood import messages
from mustardwood import reports
from mustardwood import runtime
from mustardwood.agent import fleet_query

_log = runtime.make_logger("burn")


class FleetCountsReader:
    """Queries all VMs for their service-level counts and sums them.

    Args:
        fleet_querier: Queries the agents of the fleet.
    """

    def __init__(self, fleet_querier: fleet_query.FleetQuerier) -> None:
        self._fleet_querier = fleet_querier

    async def read_counts(
            self, minute_range: reports.MinuteRange) -> reports.LevelRecord:
        """Returns the sum of the counts of all VMs in a range of minutes.

        The record's field ``missing`` lists the VMs that did not answer,
        except those whose entry handed its counts over when it stopped.

        Args:
            minute_range: The minutes to query.
        """
        fleet_report = await self._fleet_querier.query_fleet(
            messages.QueryKind.BURN, minute_range.format())
        return merge_fleet_report(fleet_report, minute_range)


def merge_fleet_report(
        fleet_report: fleet_query.FleetReport,
        minute_range: reports.MinuteRange) -> reports.LevelRecord:
    """Sums the counts that the VMs reported.

    The counts of an entry that were both reported and handed over are counted
    only once.

    Args:
        fleet_report: The answers of the VMs.
        minute_range: The minutes that were queried.
    """
    found: dict[str, reports.LevelRecord] = {}
    missing = set(fleet_report.unanswered)
    for vm, report in fleet_report.reports.items():
        record = _decode_record(vm, report.entry)
        if record is None:
            missing.add(vm)
        else:
            found[record.source or vm] = record
    for report in fleet_report.reports.values():
        for record in report.handed:
            found.setdefault(record.source, record)
            missing.difference_update(record.vms)
    merged = reports.merge_records(
        reports.filter_by_range(each, minute_range) for each in found.values())
    return msgspec.structs.replace(merged, missing=tuple(sorted(missing)))


def _decode_record(vm: str, body: object) -> reports.LevelRecord | None:
    if body is None:
        return None
    try:
        return msgspec.convert(body, reports.LevelRecord)
    except msgspec.ValidationError as error:
        _log.warning(
            "ignored malformed service-level counts of the entry of VM "
            "%s: %s", vm, error)
        return None
