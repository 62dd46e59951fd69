"""Updates of a cell's state at the first token and the end of an attempt."""

import datetime

from mustardwood import messages
from mustardwood.scheduling import cell_state
from mustardwood.scheduling import endpoint_record
from mustardwood.scheduling import inter_token_sample
from mustardwood.scheduling import running_request
from mustardwood.scheduling import waiting_request

_FAILURE_OUTCOMES = (messages.Outcome.UNREACHABLE, messages.Outcome.BROKEN)
_OVERLOAD_OUTCOMES = (messages.Outcome.REFUSED, messages.Outcome.TIMED_OUT)


def record_first_token(state: cell_state.CellState,
                       running: running_request.RunningRequest,
                       now: datetime.timedelta) -> None:
    """Records that an attempt received its first token."""
    record = state.pool.find(running.endpoint)
    if record is None or running.has_first_token:
        return
    running.has_first_token = True
    record.backoff.record_success()
    record.last_first_token_at = now


def record_outcome(state: cell_state.CellState,
                   running: running_request.RunningRequest,
                   report: messages.AttemptReport,
                   now: datetime.timedelta) -> None:
    """Updates estimates and limits from the outcome of an attempt.

    Args:
        state: State of the cell.
        running: The attempt, already removed from the running attempts.
        report: The entry's final report about it.
        now: Monotonic time.
    """
    if report.outcome is messages.Outcome.WHOLE:
        state.output_lengths.record(running.class_name, running.organisation,
                                    report.output_tokens)
        seconds = (now - running.granted_at).total_seconds()
        state.slot_reservation.record_service_time(running.class_name, seconds)
    correct_charge(state, running, report.output_tokens)
    record = state.pool.find(running.endpoint)
    if record is None:
        return
    if report.outcome in _FAILURE_OUTCOMES:
        record.backoff.record_failure(now)
    elif report.outcome in _OVERLOAD_OUTCOMES:
        record.limit.record_overload(now)
    elif report.outcome is messages.Outcome.WHOLE:
        _record_latencies(state, record, running, report, now)


def remove_running_attempt(
        state: cell_state.CellState, key: waiting_request.AttemptKey,
        now: datetime.timedelta) -> running_request.RunningRequest:
    """Removes an attempt from the running attempts and returns it."""
    running = state.pool.remove(key, now)
    state.suspects.remove_running(running)
    return running


def correct_charge(state: cell_state.CellState,
                   running: running_request.RunningRequest,
                   actual_tokens: int) -> None:
    """Replaces the charge for the expected tokens by one for the actual ones.

    The organisation was charged for the expected output tokens when the attempt
    was granted.
    """
    queue = state.queue.find_class(running.class_name)
    queue.correct_charge(running.organisation,
                         actual_tokens - running.output_tokens, running.weight)


def _record_latencies(state: cell_state.CellState,
                      record: endpoint_record.EndpointRecord,
                      running: running_request.RunningRequest,
                      report: messages.AttemptReport,
                      now: datetime.timedelta) -> None:
    record_first_token(state, running, now)
    record.backoff.record_success()
    if report.inter_token is None or report.output_tokens <= 0:
        return
    request_class = state.find_class(running.class_name)
    sample = inter_token_sample.InterTokenSample(
        seconds=report.inter_token.total_seconds(),
        target_seconds=request_class.inter_token_seconds,
        tokens=report.output_tokens,
        running=len(record.running) + 1)
    record.record_inter_token(
        sample, state.pool.inter_token_model.predict(sample.running))
    record.limit.record_inter_token(sample, now)
    state.pool.inter_token_model.record(sample)
