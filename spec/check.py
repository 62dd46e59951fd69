"""Checks specifications and their mutants with the model checker.

A mutant is a specification that lacks one of its guards.
"""

import collections.abc
import dataclasses
import functools
import time
import typing

import minicheck

MAX_STATES = 1_000_000
"""Maximum number of states; a check that needs more fails."""


class Specification(typing.NamedTuple):
    """A specification and the guards that its mutants lack.

    Attributes:
        name: Name for the output.
        make_protocol: Returns the protocol without the given guards.
        guards: Guards, for each of which a mutant is checked.
    """

    name: str
    make_protocol: collections.abc.Callable[[frozenset], minicheck.Protocol]
    guards: tuple[str, ...]


def check_specification(specification: Specification) -> bool:
    """Checks a specification and its mutants, and prints the results.

    Returns:
        Whether all properties hold and each mutant has a counterexample.
    """
    started = time.monotonic()
    passed = _check_properties(specification)
    for guard in specification.guards:
        passed = _check_mutant(specification, guard) and passed
    seconds = time.monotonic() - started
    print(f"{specification.name}: {'passed' if passed else 'FAILED'}"
          f" in {seconds:.1f} s")
    return passed


def _check_properties(specification: Specification) -> bool:
    protocol = _cache_steps(specification.make_protocol(frozenset()))
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    print(f"{specification.name}: {result['reachable_states']} states")
    passed = bool(result["exhaustive"])
    for name, outcome in result["properties"].items():
        print(f"  {name}: {_describe_result(outcome)}")
        passed = passed and outcome["holds"] is True
    liveness = minicheck.check_liveness(protocol)
    print(f"  an end state stays reachable: {_describe_result(liveness)}")
    return passed and liveness["holds"] is True


def _check_mutant(specification: Specification, guard: str) -> bool:
    mutant = specification.make_protocol(frozenset([guard]))
    protocol = _stop_at_violation(mutant)
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    for name, outcome in result["properties"].items():
        if outcome["holds"] is False:
            print(f"  without '{guard}': {name} fails after "
                  f"{_format_trace(outcome)}")
            return True
    liveness = minicheck.check_liveness(mutant)
    if liveness["holds"] is False:
        print(
            f"  without '{guard}': no end state after {_format_trace(liveness)}"
        )
        return True
    print(f"  without '{guard}': NO COUNTEREXAMPLE")
    return False


def _cache_steps(protocol: minicheck.Protocol) -> minicheck.Protocol:
    """Returns the protocol with a cache of each state's steps."""
    return dataclasses.replace(protocol,
                               transitions=functools.cache(
                                   protocol.transitions))


def _stop_at_violation(protocol: minicheck.Protocol) -> minicheck.Protocol:
    """Returns the protocol with no further steps after a violation."""
    is_violated = False

    def list_steps(state: typing.Any) -> list:
        nonlocal is_violated
        if not is_violated:
            values = protocol.d(state)
            is_violated = not all(
                holds(values) for holds in protocol.invariants.values())
        return [] if is_violated else protocol.transitions(state)

    return dataclasses.replace(protocol, transitions=list_steps)


def _describe_result(outcome: dict) -> str:
    if outcome["holds"] is True:
        return "holds"
    if outcome["holds"] is None:
        return "UNDETERMINED"
    return f"FAILS after {_format_trace(outcome)}"


def _format_trace(outcome: dict) -> str:
    labels = [step["label"] for step in outcome["counterexample"]]
    return " ".join(label for label in labels if label)
