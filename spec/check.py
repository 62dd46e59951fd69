"""Runs specifications and their mutants through the model checker."""

import collections.abc
import dataclasses
import functools
import time
import typing

import minicheck

MAX_STATES = 1_000_000
"""States after which a check is given up as failed."""


class Specification(typing.NamedTuple):
    """A specification with its mutants.

    Attributes:
        name: Name.
        make: Makes the protocol without some guards.
        guards: All guards.
    """

    name: str
    make: collections.abc.Callable[[frozenset], minicheck.Protocol]
    guards: tuple[str, ...]


def check(specification: Specification) -> bool:
    """Checks a specification and its mutants, and prints the outcome.

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
    protocol = _remember_steps(specification.make(frozenset()))
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    print(f"{specification.name}: {result['reachable_states']} states")
    passed = bool(result["exhaustive"])
    for name, found in result["properties"].items():
        print(f"  {name}: {_describe(found)}")
        passed = passed and found["holds"] is True
    live = minicheck.check_liveness(protocol)
    print(f"  an end stays reachable: {_describe(live)}")
    return passed and live["holds"] is True


def _check_mutant(specification: Specification, guard: str) -> bool:
    mutant = specification.make(frozenset([guard]))
    protocol = _stop_at_violation(mutant)
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    for name, found in result["properties"].items():
        if found["holds"] is False:
            print(f"  without '{guard}': {name} fails after {_trace(found)}")
            return True
    live = minicheck.check_liveness(mutant)
    if live["holds"] is False:
        print(f"  without '{guard}': no end after {_trace(live)}")
        return True
    print(f"  without '{guard}': NO COUNTEREXAMPLE")
    return False


def _remember_steps(protocol: minicheck.Protocol) -> minicheck.Protocol:
    """Returns the protocol with each state's steps computed once."""
    return dataclasses.replace(protocol,
                               transitions=functools.cache(
                                   protocol.transitions))


def _stop_at_violation(protocol: minicheck.Protocol) -> minicheck.Protocol:
    """Returns the protocol with no steps once a property is violated."""
    violated = False

    def steps(state: typing.Any) -> list:
        nonlocal violated
        if not violated:
            values = protocol.d(state)
            violated = not all(
                holds(values) for holds in protocol.invariants.values())
        return [] if violated else protocol.transitions(state)

    return dataclasses.replace(protocol, transitions=steps)


def _describe(found: dict) -> str:
    if found["holds"] is True:
        return "holds"
    if found["holds"] is None:
        return "UNDETERMINED"
    return f"FAILS after {_trace(found)}"


def _trace(found: dict) -> str:
    labels = [step["label"] for step in found["counterexample"]]
    return " ".join(label for label in labels if label)
