"""Takeover of attempts that an earlier owner of the cell granted."""

import datetime

from mustardwood import messages
from mustardwood.scheduling import cell_state
from mustardwood.scheduling import running_request


def take_over_attempt(state: cell_state.CellState, sender: messages.Peer,
                      attempt: messages.RunningAttempt,
                      now: datetime.timedelta) -> None:
    """Adds a running attempt that this scheduler did not grant."""
    request_class = state.find_class(attempt.class_name)
    tokens = state.output_lengths.estimate(request_class, attempt.organisation)
    running = running_request.RunningRequest(
        key=(attempt.request_id, attempt.attempt),
        sender=sender,
        endpoint=attempt.endpoint,
        class_name=request_class.name,
        organisation=attempt.organisation,
        weight=state.find_weight(attempt.organisation),
        output_tokens=max(1.0, tokens - attempt.output_tokens),
        prompt_tokens=attempt.prompt_tokens,
        granted_at=now,
        fingerprint=attempt.fingerprint,
        suspect=attempt.suspect,
        has_first_token=attempt.output_tokens > 0)
    state.pool.add(running, now)
    state.suspects.add_running(running)
    if attempt.suspect:
        state.suspects.mark_suspect(attempt.fingerprint, now)
    state.log.record(attempt.request_id, now,
                     f"Taken over while running on {attempt.endpoint}.")
