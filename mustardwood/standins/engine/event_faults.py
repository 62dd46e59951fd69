"""Applies the faults that change the events of a stream."""

import typing

from mustardwood.standins import fault_injector
from mustardwood.standins.engine import attempt as attempt_module
from mustardwood.standins.engine import faults as faults_module


class Event(typing.NamedTuple):
    """A token with the id under which it is sent.

    Attributes:
        attempt_id: Id of an attempt.
        text: Text of the token.
    """

    attempt_id: str
    text: str


def make_events(injector: fault_injector.FaultInjector[faults_module.Faults],
                own_event: Event, other_attempt: attempt_module.Attempt | None,
                ended_attempt: attempt_module.Attempt | None) -> list[Event]:
    """Returns the events to write into a stream for one token.

    Args:
        injector: The faults; the counters of those used are decremented.
        own_event: The correct event.
        other_attempt: Another attempt in the batch; None for none.
        ended_attempt: The attempt that ended last; None for none.
    """
    events = [own_event]
    if injector.take("repeat_events"):
        events.append(own_event)
    if other_attempt is not None and injector.take("cross_ids"):
        events = [Event(other_attempt.attempt_id, own_event.text)]
    if other_attempt is not None and injector.take("cross_events"):
        events.insert(0, _copy_event(other_attempt))
    if ended_attempt is not None and injector.take("late_events"):
        events.insert(0, _copy_event(ended_attempt))
    return events


def _copy_event(attempt: attempt_module.Attempt) -> Event:
    position = min(attempt.sent, len(attempt.tokens) - 1)
    return Event(attempt.attempt_id, attempt.tokens[position])
