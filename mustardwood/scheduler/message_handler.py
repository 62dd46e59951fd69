"""Handles the messages that a scheduler receives."""

import datetime

import msgspec

from mustardwood import messages
from mustardwood import runtime
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.scheduler import cell_table
from mustardwood.scheduler import query_bodies

_RETRY_AFTER_SHUTDOWN = datetime.timedelta()
"""Zero: the cell's next owner can be asked at once."""

_RETRY_AFTER_UNKNOWN_CELL = datetime.timedelta(seconds=1)
_EXPLANATIONS = {
    messages.RefusalReason.STOPPING:
        "Refused, since this scheduler stops; another VM takes over.",
    messages.RefusalReason.UNKNOWN_CELL:
        "Refused, since this scheduler's configuration has no such cell.",
}

_OutgoingMessages = tuple[messages.AddressedMessage, ...]
_log = runtime.make_logger("scheduler")


class MessageHandler:
    """Passes each message to the scheduler of its cell; does no I/O.

    The methods return the messages to send.
    """

    def __init__(self, settings: settings_module.Settings, clock: timing.Clock,
                 table: cell_table.CellTable) -> None:
        self._settings = settings
        self._clock = clock
        self._table = table
        self._incarnations: dict[messages.Peer, int] = {}
        self._stopping = False

    def handle_message(self, envelope: messages.Envelope) -> _OutgoingMessages:
        """Handles a message and returns the messages to send.

        Messages from an earlier incarnation of a sender are ignored.
        """
        now = self._clock.monotonic()
        if not self._check_incarnation(envelope, now):
            return ()
        sender = envelope.sender
        match envelope.body:
            case messages.View() as view:
                return self._handle_view(sender, view, now)
            case messages.Query() as query:
                return self._answer_query(sender, query, now)
            case messages.Ask() as ask:
                return self._handle_ask(sender, ask, now)
            case messages.OpenWork() as open_work:
                return self._handle_open_work(sender, open_work, now)
            case other:
                return self._handle_attempt_change(sender, other, now)

    def tick(self) -> _OutgoingMessages:
        """Runs the time-based decisions of all cells that have work."""
        now = self._clock.monotonic()
        outgoing: _OutgoingMessages = ()
        for scheduler in self._table:
            if scheduler.has_work:
                outgoing += scheduler.tick(now)
        return outgoing

    def stop(self) -> _OutgoingMessages:
        """Refuses all waiting requests, and every ask from now on."""
        self._stopping = True
        now = self._clock.monotonic()
        outgoing: _OutgoingMessages = ()
        for scheduler in self._table:
            outgoing += scheduler.stop(now)
        return outgoing

    def _check_incarnation(self, envelope: messages.Envelope,
                           now: datetime.timedelta) -> bool:
        sender = envelope.sender
        known = self._incarnations.get(sender)
        if known is not None and envelope.incarnation < known:
            return False
        if known is not None and envelope.incarnation > known:
            for scheduler in self._table:
                scheduler.remove_entry(sender, now)
        self._incarnations[sender] = envelope.incarnation
        return True

    def _handle_view(self, sender: messages.Peer, view: messages.View,
                     now: datetime.timedelta) -> _OutgoingMessages:
        agent = messages.Peer(self._settings.ip, messages.Role.AGENT)
        if sender != agent:
            return ()
        previous_version = self._table.version
        try:
            outgoing = self._table.apply_view(view, now)
        except msgspec.MsgspecError as error:
            _log.error(
                "configuration %d can't be decoded; the previous one stays in "
                "force: %s", view.version, error)
            outgoing = ()
        if self._table.version != previous_version:
            _log.info("configuration %d is in force", self._table.version)
        ack = messages.ViewAck(view.sequence, self._table.version)
        return outgoing + (messages.AddressedMessage(sender, ack),)

    def _handle_ask(self, sender: messages.Peer, ask: messages.Ask,
                    now: datetime.timedelta) -> _OutgoingMessages:
        scheduler = self._table.find_scheduler(ask.cell)
        if self._stopping:
            return (_refuse(sender, ask, messages.RefusalReason.STOPPING),)
        if scheduler is None:
            return (_refuse(sender, ask, messages.RefusalReason.UNKNOWN_CELL),)
        return scheduler.handle_ask(sender, ask, now)

    def _handle_open_work(self, sender: messages.Peer,
                          open_work: messages.OpenWork,
                          now: datetime.timedelta) -> _OutgoingMessages:
        scheduler = self._table.find_scheduler(open_work.cell)
        if self._stopping or scheduler is None:
            reason = (messages.RefusalReason.STOPPING if self._stopping else
                      messages.RefusalReason.UNKNOWN_CELL)
            return tuple(
                _refuse(sender, each, reason) for each in open_work.waiting)
        return scheduler.handle_open_work(sender, open_work, now)

    def _handle_attempt_change(self, sender: messages.Peer,
                               body: messages.Message,
                               now: datetime.timedelta) -> _OutgoingMessages:
        if not isinstance(body, messages.Withdrawal | messages.AttemptReport):
            return ()
        scheduler = self._table.find_scheduler(body.cell)
        if scheduler is None:
            return ()
        if isinstance(body, messages.Withdrawal):
            return scheduler.handle_withdrawal(sender, body, now)
        return scheduler.handle_attempt_report(sender, body, now)

    def _answer_query(self, sender: messages.Peer, query: messages.Query,
                      now: datetime.timedelta) -> _OutgoingMessages:
        body: msgspec.Struct
        match query.kind:
            case messages.QueryKind.STATUS:
                statuses = tuple(
                    scheduler.describe(now) for scheduler in self._table)
                body = query_bodies.StatusBody(statuses)
            case messages.QueryKind.EXPLAIN:
                body = query_bodies.ExplainBody(
                    self._find_events(query.subject, now))
            case _:
                return ()
        reply = messages.QueryReply(query.query_id, self._settings.vm,
                                    msgspec.json.encode(body))
        return (messages.AddressedMessage(sender, reply),)

    def _find_events(
            self, request_id: str,
            now: datetime.timedelta) -> tuple[query_bodies.EventBody, ...]:
        monotonic_epoch = self._clock.now() - now
        events = [
            event for scheduler in self._table
            for event in scheduler.explain(request_id)
        ]
        events.sort(key=lambda each: each.at)
        return tuple(
            query_bodies.EventBody((
                monotonic_epoch + each.at).isoformat(), "scheduler", each.text)
            for each in events)


def _refuse(sender: messages.Peer, ask: messages.Ask,
            reason: messages.RefusalReason) -> messages.AddressedMessage:
    retry_after = (_RETRY_AFTER_UNKNOWN_CELL
                   if reason is messages.RefusalReason.UNKNOWN_CELL else
                   _RETRY_AFTER_SHUTDOWN)
    refusal = messages.Refusal(ask.request_id, ask.attempt, ask.cell, reason,
                               retry_after, _EXPLANATIONS[reason])
    return messages.AddressedMessage(sender, refusal)
