"""Events as faults change them."""

import typing

from mustardwood.standins import fault_injector
from mustardwood.standins.engine import attempt as attempt_module
from mustardwood.standins.engine import faults as faults_module


class Event(typing.NamedTuple):
    """One token under an attempt's id.

    Attributes:
        attempt_id: The id.
        text: The token.
    """

    attempt_id: str
    text: str


def make_events(injector: fault_injector.FaultInjector[faults_module.Faults],
                own: Event, other: attempt_module.Attempt | None,
                ended: attempt_module.Attempt | None) -> list[Event]:
    """Returns what goes into a stream for one token.

    Args:
        switch: The faults; those used are counted down.
        own: The right event.
        other: Another stream of the batch.
        ended: An attempt that has ended.
    """
    events = [own]
    if injector.take("repeat_events"):
        events.append(own)
    if other is not None and injector.take("cross_ids"):
        events = [Event(other.attempt_id, own.text)]
    if other is not None and injector.take("cross_events"):
        events.insert(0, _copy_event(other))
    if ended is not None and injector.take("late_events"):
        events.insert(0, _copy_event(ended))
    return events


def _copy_event(attempt: attempt_module.Attempt) -> Event:
    position = min(attempt.sent, len(attempt.tokens) - 1)
    return Event(attempt.attempt_id, attempt.tokens[position])
