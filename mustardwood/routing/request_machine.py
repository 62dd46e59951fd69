"""The state machine of a request."""

import typing

import automat

from mustardwood.routing import request_phase

_Phase = request_phase.RequestPhase


class RequestMachine(typing.Protocol):
    """The inputs of a request's state machine."""

    def claim(self) -> None:
        """Starts to wait for the claim of an idempotency key."""

    def ask(self) -> None:
        """Starts to wait for a grant."""

    def send(self) -> None:
        """Starts an attempt at the granted endpoint."""

    def receive(self) -> None:
        """Records a received part of the response."""

    def delay(self) -> None:
        """Starts to wait for the backoff before the next attempt."""

    def complete(self) -> None:
        """Starts to wait until the response is stored with the claim."""

    def end(self) -> None:
        """Ends the request."""


class PhaseHolder:
    """Holds the current phase of a request.

    Attributes:
        phase: The current phase.
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
    """Builds the factory of state machines.

    Returns:
        A function that returns the machine of a request. An input that the
        current phase doesn't allow raises `automat.NoTransition`.
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
"""Returns the state machine of one request."""
