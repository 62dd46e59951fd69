"""Tests that `replication.Apply` follows the specification.

Random walks through the specification are replayed on the code, and state and
command are compared after each step.
"""

import random

from mustardwood import replication
from mustardwood.replication import apply_machine
from spec import configuration_protocol
from spec import configuration_state as model
from spec.tests import test_configuration_traces as replica_traces

WALK_COUNT = 1500
"""Number of random walks in each scope."""

MAX_STEPS = 50
"""Number of steps of a walk."""

BASE_REVISION = 7
"""Revision that a write replaces; the next one stands for any later write."""

UNREACHABLE = {("new", "start"), ("reading", "read_own"),
               ("reading", "read_other"), ("reading", "give_up"),
               ("comparing", "read_own")}
"""Transitions of the code that the specification never takes.

It starts an apply and reads the platform in one step, and it has neither
repeated applies nor expected versions.
"""

EVENTS = {event.__name__ for _, event, _, _ in apply_machine.TRANSITIONS
         } - {"start"}


def start_apply(state, i):
    """Returns a started apply of the specification's operator `i`."""
    vm = model.get_vm(state, i)
    expected = max(state.platform[0], vm.in_force[0])
    document = replica_traces.make_document((1, i + 1))
    apply = replication.Apply(document, expected,
                              replica_traces.make_document(vm.in_force))
    apply.start()
    return apply


def report_event(apply, name, before, i):
    """Reports a step of operator `i` to the code; returns its command."""
    if not name.startswith("read_"):
        return getattr(apply, name)()
    is_base_current = model.get_vm(
        before, i).is_base_current or apply.state != "resolving"
    revision = BASE_REVISION if is_base_current else BASE_REVISION + 1
    return apply.read(replica_traces.make_document(before.platform), revision)


def compare_with_specification(apply, command, vm):
    """Compares the apply's state, command and version."""
    assert apply.state == vm.apply_state
    if vm.apply_state in ("writing", "writing_again"):
        assert command.document.version == vm.apply_version
        assert command.expected_revision == BASE_REVISION
    elif vm.apply_state in ("resolving", "comparing"):
        assert command == replication.ReadPlatform()
    else:
        assert command is None and apply.outcome == vm.apply_state


def describe_step(state, label):
    """Returns what identifies a step in the set of steps taken so far."""
    where, name = label.split(".")
    if where == "platform":
        return name, "", False
    vm = model.get_vm(state, int(where))
    return name, vm.apply_state, state.platform < vm.in_force


def choose_step(rng, state, steps, seen):
    """Chooses a step; prefers steps not yet taken and those of operators."""
    unseen = [
        step for step in steps if describe_step(state, step[0]) not in seen
    ]
    operator_steps = [step for step in steps if step[0].split(".")[1] in EVENTS]
    if unseen and rng.random() < 0.5:
        return rng.choice(unseen)
    if operator_steps and rng.random() < 0.3:
        return rng.choice(operator_steps)
    return rng.choice(steps)


def run_walk(seed, scope, seen):
    """Walks at random and compares the code after each step.

    The descriptions of the steps taken are added to `seen`.

    Returns:
        The transitions taken, as pairs of the code's state and the event.
    """
    rng = random.Random(seed)
    list_steps = configuration_protocol.ConfigurationProtocol(scope).list_steps
    state = model.State()
    applies = {}
    taken = set()
    for _ in range(MAX_STEPS):
        label, after = choose_step(rng, state, list_steps(state), seen)
        seen.add(describe_step(state, label))
        where, name = label.split(".")
        if name in EVENTS:
            i = int(where)
            if model.get_vm(state, i).apply_state == "new":
                applies[i] = start_apply(state, i)
            taken.add((applies[i].state, name))
            command = report_event(applies[i], name, state, i)
            compare_with_specification(applies[i], command,
                                       model.get_vm(after, i))
        state = after
    return taken


def test_apply_follows_the_specification():
    """Compares all walks, and checks that they cover the transitions.

    Otherwise a transition that only the code has would go unnoticed.
    """
    taken = set()
    seen = set()
    for seed in range(WALK_COUNT):
        taken |= run_walk(seed, configuration_protocol.RACE, seen)
        taken |= run_walk(seed, configuration_protocol.RESTART, seen)
    all_transitions = {(source, event.__name__)
                       for source, event, _, _ in apply_machine.TRANSITIONS}
    assert all_transitions - taken == UNREACHABLE
    assert ("read_base", "new", True) in seen
