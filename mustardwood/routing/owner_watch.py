"""Heartbeats to the owners of cells, and the change to another owner."""

import datetime

from mustardwood import messages
from mustardwood.routing import cell_contact
from mustardwood.routing import open_request
from mustardwood.routing import request_phase
from mustardwood.routing import routing_context


class OwnerWatch:
    """Sends the open work of each cell, and passes silent owners over."""

    def __init__(self, context: routing_context.RoutingContext,
                 agent: messages.Peer) -> None:
        self._context = context
        self._agent = agent

    def tick(self, requests: list[open_request.OpenRequest],
             now: datetime.timedelta) -> None:
        """Does what is due for every cell.

        Args:
            requests: The open requests.
            now: Monotonic time.
        """
        work = _group_by_cell(requests)
        for name, contact in self._context.directory.contacts.items():
            if name in work:
                self._watch(contact, work[name], now)
            else:
                contact.note_idle()

    def send_work(self, contact: cell_contact.CellContact,
                  requests: list[open_request.OpenRequest],
                  now: datetime.timedelta) -> None:
        """Sends a heartbeat with the open work of a cell."""
        if contact.owner is None:
            return
        contact.note_heartbeat(now)
        self._probe_first_choice(contact)
        work = _make_open_work(contact, requests, now)
        self._context.send_scheduler(contact.owner.ip, work)

    def _watch(self, contact: cell_contact.CellContact,
               requests: list[open_request.OpenRequest],
               now: datetime.timedelta) -> None:
        contact.note_work(now)
        if contact.is_silent(now) and contact.owner is not None:
            silent = contact.owner
            self._context.emit_silence(self._agent, silent.vm,
                                       contact.cell.name)
            contact.pass_over()
            self.send_work(contact, requests, now)
        elif contact.owner is None:
            if contact.retry_all(now):
                self.send_work(contact, requests, now)
        elif contact.is_heartbeat_due(now):
            self.send_work(contact, requests, now)

    def _probe_first_choice(self, contact: cell_contact.CellContact) -> None:
        first = contact.first_choice
        if first is not None:
            self._context.send_scheduler(
                first.ip, messages.OpenWork(contact.cell.name,
                                            contact.sequence))


def _group_by_cell(
    requests: list[open_request.OpenRequest]
) -> dict[str, list[open_request.OpenRequest]]:
    work: dict[str, list[open_request.OpenRequest]] = {}
    for each in requests:
        if each.open_cell:
            work.setdefault(each.open_cell, []).append(each)
    return work


def _make_open_work(contact: cell_contact.CellContact,
                    requests: list[open_request.OpenRequest],
                    now: datetime.timedelta) -> messages.OpenWork:
    waiting = tuple(
        each.make_ask(now)
        for each in requests
        if each.phase is request_phase.RequestPhase.ASKING)
    running = tuple(
        each.runner.attempt.make_running(each.request,
                                         suspect=each.is_suspect(now))
        for each in requests
        if each.runner.attempt is not None)
    return messages.OpenWork(contact.cell.name, contact.sequence, waiting,
                             running)
