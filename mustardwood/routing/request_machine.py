"""The state machine of a request."""

import typing

import automat

from mustardwood.routing import request_phase

_Phase = request_phase.RequestPhase


class RequestMachine(typing.Protocol):
    """The inputs of a request's state machine."""

    def claim(self) -> None:
        """Waits for the claim of an idempotency key."""

    def ask(self) -> None:
        """Waits for a grant."""

    def send(self) -> None:
        """Sends an attempt to the granted endpoint."""

    def receive(self) -> None:
        """Takes a part of the answer."""

    def delay(self) -> None:
        """Waits before the next attempt."""

    def complete(self) -> None:
        """Waits for the claim's completion."""

    def end(self) -> None:
        """Ends the request."""


class PhaseHolder:
    """Holds the phase that the machine is in.

    Attributes:
        phase: The phase.
    """

    def __init__(self) -> None:
        self.phase = _Phase.ARRIVED


_TRANSITIONS = (
    (_Phase.ARRIVED, RequestMachine.claim, _Phase.CLAIMING),
    (_Phase.ARRIVED, RequestMachine.ask, _Phase.ASKING),
    (_Phase.CLAIMING, RequestMachine.ask, _Phase.ASKING),
    (_Phase.ASKING, RequestMachine.ask, _Phase.ASKING),
    (_Phase.ASKING, RequestMachine.send, _Phase.SENDING),
    (_Phase.SENDING, RequestMachine.receive, _Phase.STREAMING),
    (_Phase.STREAMING, RequestMachine.receive, _Phase.STREAMING),
    (_Phase.SENDING, RequestMachine.delay, _Phase.DELAYED),
    (_Phase.STREAMING, RequestMachine.delay, _Phase.DELAYED),
    (_Phase.DELAYED, RequestMachine.ask, _Phase.ASKING),
    (_Phase.SENDING, RequestMachine.complete, _Phase.COMPLETING),
    (_Phase.STREAMING, RequestMachine.complete, _Phase.COMPLETING),
)


def build_machine_factory() -> typing.Callable[[PhaseHolder], RequestMachine]:
    """Builds the class of the machine.

    Returns:
        A factory; an input that a phase does not allow raises
        `automat.NoTransition`.
    """
    builder = automat.TypeMachineBuilder(RequestMachine, PhaseHolder)
    states = {phase: builder.state(phase.value) for phase in _Phase}
    allowed = list(_TRANSITIONS)
    allowed += [(phase, RequestMachine.end, _Phase.ENDED) for phase in _Phase]
    for source, method, target in allowed:
        _add_transition(states, source, method, target)
    return typing.cast(typing.Any, builder.build())


def _add_transition(states: typing.Any, source: _Phase, method: typing.Any,
                    target: _Phase) -> None:

    def enter(_inputs: RequestMachine, holder: PhaseHolder) -> None:
        holder.phase = target

    enter.__name__ = f"{source}_{method.__name__}"
    states[source].upon(method).to(states[target])(enter)


MACHINE_FACTORY = build_machine_factory()
"""Makes the machine of one request."""
