"""Tests that `replication.ConfigurationReplica` follows the specification.

Random walks through the specification are replayed on the code, and the
document in force and the repairs are compared after each step.
"""

import datetime
import random

from mustardwood import configuration
from mustardwood import replication
from spec import configuration_protocol
from spec import configuration_state as model

WALK_COUNT = 600
"""Number of random walks in each scope."""

MAX_STEPS = 60
"""Number of steps of a walk."""

REPLICA_STEPS = {"accept_platform", "accept_neighbour", "end_boot", "restart"}


def make_document(document):
    """Returns the code's document for one of the specification."""
    if document == model.NONE:
        return None
    return configuration.VersionedDocument(document[0], str(document[1]), "{}")


def make_replica():
    """Returns a replica with the initial document in force."""
    replica = replication.ConfigurationReplica()
    replica.accept_neighbour(make_document(model.BASE), datetime.timedelta())
    return replica


def report_event(replicas, i, name, before, now):
    """Reports a step of VM `i` to the code; returns its commands."""
    vm = model.get_vm(before, i)
    if name == "restart":
        replicas[i] = replication.ConfigurationReplica.for_boot()
    elif name == "accept_platform":
        return replicas[i].accept_platform(make_document(vm.read_document), 1,
                                           now)
    elif name == "accept_neighbour":
        return replicas[i].accept_neighbour(make_document(vm.inbox), now)
    elif name == "end_boot":
        early_commands = replicas[i].accept_platform(
            make_document(vm.read_document), 1, now)
        assert not early_commands
        return replicas[i].accept_neighbour(make_document(vm.inbox), now)
    return ()


def compare_with_specification(replica, commands, before, after):
    """Compares the document in force and the repairs."""
    assert replica.in_force == make_document(after.in_force)
    repairs = [
        one.document for one in commands if isinstance(one, replication.Repair)
    ]
    is_old = (before.read_document is not None and
              before.read_document < after.in_force)
    if is_old and before.read_document != after.read_document:
        assert repairs == [make_document(after.pending_repair)]
    else:
        assert not repairs


def run_walk(seed, scope):
    """Walks at random, compares, and returns the names of steps taken."""
    rng = random.Random(seed)
    list_steps = configuration_protocol.ConfigurationProtocol(scope).list_steps
    state = model.State()
    replicas = [make_replica(), make_replica()]
    taken = set()
    for step in range(MAX_STEPS):
        label, after = rng.choice(list_steps(state))
        where, name = label.split(".")
        if name in REPLICA_STEPS:
            taken.add(name)
            now = datetime.timedelta(minutes=step)
            commands = report_event(replicas, int(where), name, state, now)
            compare_with_specification(replicas[int(where)], commands,
                                       model.get_vm(state, int(where)),
                                       model.get_vm(after, int(where)))
        state = after
    return taken


def test_replica_follows_the_specification():
    taken = set()
    for seed in range(WALK_COUNT):
        taken |= run_walk(seed, configuration_protocol.RESTART)
        taken |= run_walk(seed, configuration_protocol.RACE)
    assert taken == REPLICA_STEPS
