"""Scheduler of one cell."""

import collections.abc
import datetime

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood.scheduling import admission
from mustardwood.scheduling import attempt_accounting
from mustardwood.scheduling import cell_state
from mustardwood.scheduling import dispatcher
from mustardwood.scheduling import entry_tracker
from mustardwood.scheduling import explanation_log
from mustardwood.scheduling import learning_period
from mustardwood.scheduling import load_report
from mustardwood.scheduling import observer as observer_module
from mustardwood.scheduling import refusals
from mustardwood.scheduling import status
from mustardwood.scheduling import straggler_detection
from mustardwood.scheduling import takeover
from mustardwood.scheduling import waiting_request

_Outgoing = tuple[messages.AddressedMessage, ...]


class CellScheduler:
    """Queues the requests of one cell and grants or refuses them.

    An entry asks for an endpoint with an `Ask` message. The scheduler answers
    with a grant, which names an endpoint, or with a refusal.

    The scheduler does no I/O: the methods that handle events take the event
    and the monotonic time `now`, and return the messages to send. Events may
    arrive late, repeatedly or out of order.
    """

    def __init__(self, state: cell_state.CellState) -> None:
        self._state = state
        self._admission_control = admission.AdmissionControl(state)
        self._dispatcher = dispatcher.Dispatcher(state)
        self._entry_tracker = entry_tracker.EntryTracker()
        self._straggler_detection = straggler_detection.StragglerDetection()
        self._learning_period = learning_period.LearningPeriod()
        self._endpoints_changed = False

    @classmethod
    def from_config(
            cls,
            cell: cells.Cell,
            document: configuration.Document,
            observer: observer_module.Observer | None = None
    ) -> "CellScheduler":
        """Creates the scheduler of a cell.

        Args:
            cell: The cell.
            document: Current configuration.
            observer: Receives each decision, for metrics; None for no metrics.
        """
        return cls(
            cell_state.CellState(cell, document, observer or
                                 observer_module.NullObserver()))

    @property
    def has_work(self) -> bool:
        """Whether requests wait or run, so that `tick` must be called."""
        return bool(self._state.queue) or bool(self._state.pool.running)

    @property
    def queue_length(self) -> int:
        """Number of requests that wait."""
        return len(self._state.queue)

    @property
    def cell(self) -> cells.Cell:
        """The cell that is scheduled."""
        return self._state.cell

    def handle_ask(self, sender: messages.Peer, ask: messages.Ask,
                   now: datetime.timedelta) -> _Outgoing:
        """Queues or refuses a request for an endpoint.

        A repeated ask gets the same grant or refusal again.
        """
        outgoing = self._update_learning(now) + self._process_ask(
            sender, ask, now)
        return outgoing + self._dispatcher.dispatch(now)

    def handle_withdrawal(self, sender: messages.Peer,
                          withdrawal: messages.Withdrawal,
                          now: datetime.timedelta) -> _Outgoing:
        """Ends an attempt that waits or whose grant was not used.

        An unknown attempt is recorded as finished too, so that its ask is
        ignored if it arrives after the withdrawal.
        """
        key = (withdrawal.request_id, withdrawal.attempt)
        running = self._state.pool.running.get(key)
        if running is not None:
            attempt_accounting.correct_charge(self._state, running, 0)
        self._remove_attempt(sender, key, now)
        self._state.finished_attempts.record(key, now)
        return self._dispatcher.dispatch(now)

    def handle_attempt_report(self, sender: messages.Peer,
                              report: messages.AttemptReport,
                              now: datetime.timedelta) -> _Outgoing:
        """Records the first token or the end of an attempt."""
        key = (report.request_id, report.attempt)
        running = self._state.pool.running.get(key)
        if report.outcome is None:
            if running is not None:
                attempt_accounting.record_first_token(self._state, running, now)
            return ()
        self._remove_attempt(sender, key, now)
        self._state.finished_attempts.record(key, now)
        if running is not None:
            attempt_accounting.record_outcome(self._state, running, report, now)
        return self._dispatcher.dispatch(now)

    def handle_open_work(self, sender: messages.Peer,
                         open_work: messages.OpenWork,
                         now: datetime.timedelta) -> _Outgoing:
        """Reconciles the state with an entry's heartbeat and replies to it.

        The heartbeat lists all attempts of the entry in this cell. Attempts
        that it doesn't list any more are removed, and unknown ones are added.
        """
        outgoing = self._update_learning(now)
        is_first = not self._entry_tracker.has_heartbeat(sender)
        if self._entry_tracker.accept_heartbeat(sender, open_work.sequence,
                                                now):
            self._remove_missing_attempts(sender, open_work, now)
            for attempt in open_work.running:
                self._process_running(sender,
                                      attempt,
                                      now,
                                      restart_learning=is_first)
            for ask in open_work.waiting:
                outgoing += self._process_ask(sender, ask, now)
        outgoing += self._update_learning(now) + self._dispatcher.dispatch(now)
        reply = messages.OpenWorkReply(self._state.cell.name,
                                       open_work.sequence,
                                       self._state.estimate_queue_delay(now),
                                       self._state.pool.learning)
        return outgoing + (messages.AddressedMessage(sender, reply),)

    def handle_load_report(self, endpoint_name: str,
                           load: load_report.LoadReport,
                           now: datetime.timedelta) -> _Outgoing:
        """Records the load that an endpoint reported about itself."""
        record = self._state.pool.find(endpoint_name)
        if record is not None:
            record.external_load.record_report(load, now)
        return self._dispatcher.dispatch(now)

    def update_cell(self, cell: cells.Cell, document: configuration.Document,
                    now: datetime.timedelta) -> _Outgoing:
        """Applies a changed configuration to the cell."""
        self._state.update(cell, document)
        self._endpoints_changed = True
        return self._refuse_without_endpoint(now) + self._dispatcher.dispatch(
            now)

    def set_leaving_endpoints(
            self, endpoint_names: collections.abc.Iterable[str]) -> _Outgoing:
        """Sets the leaving endpoints, which get no new grants.

        Args:
            endpoint_names: The endpoints that the platform lists as leaving.
        """
        self._state.pool.set_leaving_endpoints(endpoint_names)
        self._endpoints_changed = True
        return ()

    def set_suspect_fingerprints(
            self, fingerprints: collections.abc.Iterable[str]) -> _Outgoing:
        """Sets the fingerprints of requests suspected of crashing endpoints."""
        self._state.suspects.set_agent_fingerprints(fingerprints)
        return ()

    def tick(self, now: datetime.timedelta) -> _Outgoing:
        """Does the work that depends on time only; call it 20 times a second.

        It removes entries without heartbeats, detects stragglers, refuses
        expired requests and grants free endpoints.
        """
        outgoing = self._update_learning(now)
        for sender in self._entry_tracker.find_timed_out_entries(now):
            self.remove_entry(sender, now)
        self._straggler_detection.detect_stragglers(self._state.pool, now)
        outgoing += self._refuse_expired(now) + self._refuse_without_endpoint(
            now)
        return outgoing + self._dispatcher.dispatch(now)

    def remove_entry(self, sender: messages.Peer,
                     now: datetime.timedelta) -> None:
        """Removes all attempts of an entry that stopped or was restarted."""
        for key in self._entry_tracker.remove_entry(sender):
            self._remove_attempt(sender, key, now)

    def stop(self, now: datetime.timedelta) -> _Outgoing:
        """Refuses all waiting requests, so that entries ask the next owner."""
        return tuple(
            self._refuse_waiting(each, messages.RefusalReason.STOPPING, now)
            for each in self._state.queue)

    def describe(self, now: datetime.timedelta) -> status.CellStatus:
        """Returns the status of the cell."""
        state = self._state
        endpoints = tuple(
            status.EndpointStatus(each.name, len(each.running),
                                  each.compute_limit(now),
                                  each.describe_state(now))
            for each in state.pool)
        delay = state.estimate_queue_delay(now).total_seconds()
        return status.CellStatus(state.cell.name, len(state.queue),
                                 len(state.pool.running), delay, endpoints)

    def explain(
            self,
            request_id: str) -> tuple[explanation_log.ExplanationEvent, ...]:
        """Returns the decisions about a request, oldest first."""
        return self._state.log.find(request_id)

    def _update_learning(self, now: datetime.timedelta) -> _Outgoing:
        pool = self._state.pool
        was_learning = pool.learning
        pool.learning = self._learning_period.update(now,
                                                     has_work=self.has_work)
        if not was_learning or pool.learning:
            return ()
        return self._untrack_refused(self._admission_control.shed_excess(now))

    def _untrack_refused(self, refused: _Outgoing) -> _Outgoing:
        for each in refused:
            self._entry_tracker.remove_attempt(each.peer,
                                               _get_attempt_key(each))
        return refused

    def _process_ask(self, sender: messages.Peer, ask: messages.Ask,
                     now: datetime.timedelta) -> _Outgoing:
        state = self._state
        key = (ask.request_id, ask.attempt)
        running = state.pool.running.get(key)
        if running is not None:
            if running.grant is None:
                return ()
            return (messages.AddressedMessage(sender, running.grant),)
        if state.queue.find(key) is not None:
            return ()
        if key in state.finished_attempts:
            refusal = state.finished_attempts.find_refusal(key)
            if refusal is None:
                return ()
            return (messages.AddressedMessage(sender, refusal),)
        waiting = state.make_waiting_request(sender, ask, now)
        state.slot_reservation.record_arrival(waiting.request_class.name, now)
        if ask.suspect:
            state.suspects.mark_suspect(ask.fingerprint, now)
        self._entry_tracker.add_attempt(sender, key, now)
        return self._untrack_refused(self._admission_control.admit(
            waiting, now))

    def _process_running(self, sender: messages.Peer,
                         attempt: messages.RunningAttempt,
                         now: datetime.timedelta, *,
                         restart_learning: bool) -> None:
        state = self._state
        key = (attempt.request_id, attempt.attempt)
        if key in state.pool.running or key in state.finished_attempts:
            return
        waiting = state.queue.find(key)
        if waiting is not None:
            state.queue.remove(waiting)
        elif restart_learning:
            self._learning_period.restart(now)
        takeover.take_over_attempt(state, sender, attempt, now)
        self._entry_tracker.add_attempt(sender, key, now)

    def _remove_missing_attempts(self, sender: messages.Peer,
                                 open_work: messages.OpenWork,
                                 now: datetime.timedelta) -> None:
        """Removes attempts that an entry's heartbeat doesn't list any more.

        The entry has ended them or moved them to another owner. They are not
        recorded as finished, because the entry may move them back.
        """
        listed = {(each.request_id, each.attempt)
                  for each in open_work.waiting + open_work.running}
        for key in self._entry_tracker.find_missing_attempts(
                sender, listed, now):
            self._remove_attempt(sender, key, now)

    def _remove_attempt(self, sender: messages.Peer,
                        key: waiting_request.AttemptKey,
                        now: datetime.timedelta) -> None:
        state = self._state
        waiting = state.queue.find(key)
        if waiting is not None:
            state.queue.remove(waiting)
        if key in state.pool.running:
            attempt_accounting.remove_running_attempt(state, key, now)
        self._entry_tracker.remove_attempt(sender, key)

    def _refuse_waiting(self, waiting: waiting_request.WaitingRequest,
                        reason: messages.RefusalReason,
                        now: datetime.timedelta) -> messages.AddressedMessage:
        self._state.queue.remove(waiting)
        self._entry_tracker.remove_attempt(waiting.sender, waiting.key)
        return refusals.refuse_request(self._state, waiting, reason, now)

    def _refuse_expired(self, now: datetime.timedelta) -> _Outgoing:
        outgoing: list[messages.AddressedMessage] = []
        while (waiting := self._state.queue.find_expired(now)) is not None:
            outgoing.append(
                self._refuse_waiting(waiting, messages.RefusalReason.DEADLINE,
                                     now))
        return tuple(outgoing)

    def _refuse_without_endpoint(self, now: datetime.timedelta) -> _Outgoing:
        if not self._endpoints_changed:
            return ()
        self._endpoints_changed = False
        unservable = [
            each for each in self._state.queue
            if not self._state.pool.has_usable_endpoint(each.ask.excluded)
        ]
        return tuple(
            self._refuse_waiting(each, messages.RefusalReason.NO_ENDPOINT, now)
            for each in unservable)


def _get_attempt_key(
        refusal: messages.AddressedMessage) -> waiting_request.AttemptKey:
    assert isinstance(refusal.message, messages.Refusal)
    return refusal.message.request_id, refusal.message.attempt
