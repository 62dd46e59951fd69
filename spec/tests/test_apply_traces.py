"""Drives `replication.Apply` along the specification."""

import random

from mustardwood import replication
from mustardwood.replication import apply_machine
from spec import configuration_protocol
from spec import configuration_state as model
from spec.tests import test_configuration_traces as replica_traces

WALKS = 1500
"""Random walks."""

LENGTH = 50
"""Most steps of a walk."""

BASE_REVISION = 7
"""Revision that a write replaces; any other one is later."""

UNREACHABLE = {("new", "start"), ("reading", "read_own"),
               ("reading", "read_other"), ("reading", "give_up"),
               ("comparing", "read_own")}
"""Transitions of the code that the specification never takes: it reads first
in one step, and has neither repeated applies nor expected versions."""

EVENTS = {event.__name__ for _, event, _, _ in apply_machine.TRANSITIONS
         } - {"start"}


def begin(state, i):
    """Starts an apply as the specification's operator does."""
    vm = model.get(state, i)
    expected = max(state.platform[0], vm.in_force[0])
    document = replica_traces.make_document((1, i + 1))
    apply = replication.Apply(document, expected,
                              replica_traces.make_document(vm.in_force))
    apply.start()
    return apply


def tell(apply, name, before, i):
    """Tells the code a step; returns its command."""
    if not name.startswith("read_"):
        return getattr(apply, name)()
    fresh = model.get(before, i).base_fresh or apply.state != "resolving"
    revision = BASE_REVISION if fresh else BASE_REVISION + 1
    return apply.read(replica_traces.make_document(before.platform), revision)


def compare(apply, command, vm):
    """Compares state, command and version with the specification."""
    assert apply.state == vm.apply
    if vm.apply in ("writing", "writing_again"):
        assert command.document.version == vm.version
        assert command.expected_revision == BASE_REVISION
    elif vm.apply in ("resolving", "comparing"):
        assert command == replication.ReadPlatform()
    else:
        assert command is None and apply.outcome == vm.apply


def describe(state, label):
    """Returns what makes a step different from those of other walks."""
    where, name = label.split(".")
    if where == "platform":
        return name, "", False
    vm = model.get(state, int(where))
    return name, vm.apply, state.platform < vm.in_force


def choose(source, state, found, seen):
    """Chooses a step; prefers those unlike any taken, and of operators."""
    new = [step for step in found if describe(state, step[0]) not in seen]
    wanted = [step for step in found if step[0].split(".")[1] in EVENTS]
    if new and source.random() < 0.5:
        return source.choice(new)
    if wanted and source.random() < 0.3:
        return source.choice(wanted)
    return source.choice(found)


def follow(seed, scope, seen):
    """Walks and compares; returns the transitions taken; adds to `seen`."""
    source = random.Random(seed)
    steps = configuration_protocol.ConfigurationProtocol(scope).steps
    state = model.State()
    applies = {}
    taken = set()
    for _ in range(LENGTH):
        label, after = choose(source, state, steps(state), seen)
        seen.add(describe(state, label))
        where, name = label.split(".")
        if name in EVENTS:
            i = int(where)
            if model.get(state, i).apply == "new":
                applies[i] = begin(state, i)
            taken.add((applies[i].state, name))
            command = tell(applies[i], name, state, i)
            compare(applies[i], command, model.get(after, i))
        state = after
    return taken


def test_apply_follows_the_specification():
    """Every walk passes, and all transitions but a stated few were met."""
    taken = set()
    seen = set()
    for seed in range(WALKS):
        taken |= follow(seed, configuration_protocol.RACE, seen)
        taken |= follow(seed, configuration_protocol.RESTART, seen)
    all_transitions = {(source, event.__name__)
                       for source, event, _, _ in apply_machine.TRANSITIONS}
    assert all_transitions - taken == UNREACHABLE
    assert ("read_base", "new", True) in seen
