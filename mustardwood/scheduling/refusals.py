"""Refusals of requests."""

import datetime

from mustardwood import messages
from mustardwood.scheduling import cell_state
from mustardwood.scheduling import waiting_request

_EXPLANATIONS = {
    messages.RefusalReason.QUEUE_FULL:
        "the queue of cell {cell} is full of requests of tier {tier} or a "
        "higher one",
    messages.RefusalReason.DISPLACED:
        "a request that goes first took its place in the full queue of cell "
        "{cell}",
    messages.RefusalReason.DEADLINE:
        "cell {cell} can't serve it before its deadline",
    messages.RefusalReason.NO_ENDPOINT:
        "no endpoint of cell {cell} is left that may run it",
    messages.RefusalReason.STOPPING:
        "the scheduler of cell {cell} stops; another VM takes over",
}


def refuse_request(state: cell_state.CellState,
                   waiting: waiting_request.WaitingRequest,
                   reason: messages.RefusalReason,
                   now: datetime.timedelta) -> messages.AddressedMessage:
    """Refuses a request that is not in the queue; returns the message to send.

    The refusal is recorded, so that a repeated ask gets it again.
    """
    ask = waiting.ask
    sentence = _EXPLANATIONS[reason].format(cell=state.cell.name,
                                            tier=waiting.tier)
    ahead = max(1, state.queue.count_ahead(waiting.tier))
    refusal = messages.Refusal(
        ask.request_id, ask.attempt, ask.cell, reason,
        state.drain_rate.estimate_retry_delay(ahead, now),
        f"Refused, since {sentence}.")
    state.finished_attempts.record(waiting.key, now, refusal)
    state.log.record(ask.request_id, now, refusal.explanation)
    state.observer.record_refusal(waiting.request_class.name, reason)
    state.starvation_prevention.record_refusal(waiting.request_class.name, now)
    return messages.AddressedMessage(waiting.sender, refusal)
