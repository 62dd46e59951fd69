"""Gathering of the counts that VMs hold."""

import msgspec

from mustardwood import messages
from mustardwood import reports
from mustardwood import runtime
from mustardwood.agent import fleet_query

_log = runtime.make_logger("burn")


class FleetCountsReader:
    """Asks all VMs for counts and adds them up."""

    def __init__(self, surveyor: fleet_query.FleetQuerier) -> None:
        self._surveyor = surveyor

    async def gather(self, wanted: reports.MinuteRange) -> reports.LevelRecord:
        """Returns the counts of a range of minutes.

        VMs that did not answer are named, but not those whose entry handed
        its counts over when it stopped.
        """
        survey = await self._surveyor.ask_fleet(messages.QueryKind.BURN,
                                                wanted.format())
        return merge_survey(survey, wanted)


def merge_survey(survey: fleet_query.FleetReport,
                 wanted: reports.MinuteRange) -> reports.LevelRecord:
    """Adds up the answers of VMs; each entry counts once.

    Args:
        survey: The answers.
        wanted: The minutes that were asked for.
    """
    found: dict[str, reports.LevelRecord] = {}
    missing = set(survey.unanswered)
    for vm, report in survey.reports.items():
        record = _read_entry(vm, report.entry)
        if record is None:
            missing.add(vm)
        else:
            found[record.source or vm] = record
    for report in survey.reports.values():
        for record in report.handed:
            found.setdefault(record.source, record)
            missing.difference_update(record.vms)
    merged = reports.merge_records(
        reports.filter_by_range(each, wanted) for each in found.values())
    return msgspec.structs.replace(merged, missing=tuple(sorted(missing)))


def _read_entry(vm: str, body: object) -> reports.LevelRecord | None:
    if body is None:
        return None
    try:
        return msgspec.convert(body, reports.LevelRecord)
    except msgspec.ValidationError as error:
        _log.warning("the entry of VM %s answered with malformed counts: %s",
                     vm, error)
        return None
