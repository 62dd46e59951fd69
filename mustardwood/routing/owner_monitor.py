"""Heartbeats to the owners of cells, and failover to other owners."""

import datetime

from mustardwood import messages
from mustardwood.routing import cell_tracker
from mustardwood.routing import open_request
from mustardwood.routing import request_phase
from mustardwood.routing import routing_context


class OwnerMonitor:
    """Sends heartbeats with the open work to the owners of cells.

    An owner that doesn't reply in time is reported to the agent and skipped;
    the open work is then sent to the next owner.

    Args:
        context: State shared by the open requests.
        agent: Agent of the entry's VM.
    """

    def __init__(self, context: routing_context.RoutingContext,
                 agent: messages.Peer) -> None:
        self._context = context
        self._agent = agent

    def tick(self, requests: list[open_request.OpenRequest],
             now: datetime.timedelta) -> None:
        """Performs the actions that are due for every cell.

        Args:
            requests: The open requests.
            now: Monotonic time.
        """
        work = _group_by_cell(requests)
        for name, tracker in self._context.directory.trackers.items():
            if name in work:
                self._check_owner(tracker, work[name], now)
            else:
                tracker.record_idle()

    def send_heartbeat(self, tracker: cell_tracker.CellTracker,
                       requests: list[open_request.OpenRequest],
                       now: datetime.timedelta) -> None:
        """Sends a heartbeat to a cell's owner.

        Args:
            tracker: Tracker of the cell.
            requests: Open requests of the cell.
            now: Monotonic time.
        """
        if tracker.owner is None:
            return
        tracker.record_heartbeat(now)
        self._probe_skipped_preferred_owner(tracker)
        work = _make_open_work(tracker, requests, now)
        self._context.send_scheduler(tracker.owner.ip, work)

    def _check_owner(self, tracker: cell_tracker.CellTracker,
                     requests: list[open_request.OpenRequest],
                     now: datetime.timedelta) -> None:
        tracker.record_open_work(now)
        if tracker.is_owner_timed_out(now) and tracker.owner is not None:
            silent_owner = tracker.owner
            self._context.report_silent_scheduler(self._agent, silent_owner.vm,
                                                  tracker.cell.name)
            tracker.skip_owner()
            self.send_heartbeat(tracker, requests, now)
        elif tracker.owner is None:
            if tracker.retry_all_owners(now):
                self.send_heartbeat(tracker, requests, now)
        elif tracker.is_heartbeat_due(now):
            self.send_heartbeat(tracker, requests, now)

    def _probe_skipped_preferred_owner(
            self, tracker: cell_tracker.CellTracker) -> None:
        preferred = tracker.skipped_preferred_owner
        if preferred is not None:
            self._context.send_scheduler(
                preferred.ip,
                messages.OpenWork(tracker.cell.name, tracker.sequence))


def _group_by_cell(
    requests: list[open_request.OpenRequest]
) -> dict[str, list[open_request.OpenRequest]]:
    work: dict[str, list[open_request.OpenRequest]] = {}
    for each in requests:
        if each.open_cell:
            work.setdefault(each.open_cell, []).append(each)
    return work


def _make_open_work(tracker: cell_tracker.CellTracker,
                    requests: list[open_request.OpenRequest],
                    now: datetime.timedelta) -> messages.OpenWork:
    waiting = tuple(
        each.make_ask(now)
        for each in requests
        if each.phase is request_phase.RequestPhase.ASKING)
    running = tuple(
        each.runner.attempt.make_running_attempt(each.request,
                                                 suspect=each.is_suspect(now))
        for each in requests
        if each.runner.attempt is not None)
    return messages.OpenWork(tracker.cell.name, tracker.sequence, waiting,
                             running)
