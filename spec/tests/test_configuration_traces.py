"""Drives `replication.ConfigurationReplica` along the specification."""

import datetime
import random

from mustardwood import configuration
from mustardwood import replication
from spec import configuration_protocol
from spec import configuration_state as model

WALKS = 600
"""Random walks."""

LENGTH = 60
"""Most steps of a walk."""

REPLICA_STEPS = {"accept_platform", "accept_neighbour", "end_boot", "restart"}


def make_document(document):
    """Returns the code's document for the specification's."""
    if document == model.NONE:
        return None
    return configuration.VersionedDocument(document[0], str(document[1]), "{}")


def make_replica():
    """Returns a replica with the first document in force."""
    replica = replication.ConfigurationReplica()
    replica.accept_neighbour(make_document(model.BASE), datetime.timedelta())
    return replica


def tell(replicas, i, name, before, now):
    """Tells the code a step; returns its commands."""
    vm = model.get(before, i)
    if name == "restart":
        replicas[i] = replication.ConfigurationReplica.for_boot()
    elif name == "accept_platform":
        return replicas[i].accept_platform(make_document(vm.seen), 1, now)
    elif name == "accept_neighbour":
        return replicas[i].accept_neighbour(make_document(vm.inbox), now)
    elif name == "end_boot":
        held = replicas[i].accept_platform(make_document(vm.seen), 1, now)
        assert not held
        return replicas[i].accept_neighbour(make_document(vm.inbox), now)
    return ()


def compare(replica, commands, before, after):
    """Compares what is in force and what is to be repaired."""
    assert replica.in_force == make_document(after.in_force)
    repairs = [
        one.document for one in commands if isinstance(one, replication.Repair)
    ]
    is_old = before.seen is not None and before.seen < after.in_force
    if is_old and before.seen != after.seen:
        assert repairs == [make_document(after.repair)]
    else:
        assert not repairs


def follow(seed, scope):
    """Walks at random and compares after each step; returns what it took."""
    source = random.Random(seed)
    steps = configuration_protocol.ConfigurationProtocol(scope).steps
    state = model.State()
    replicas = [make_replica(), make_replica()]
    taken = set()
    for step in range(LENGTH):
        label, after = source.choice(steps(state))
        where, name = label.split(".")
        if name in REPLICA_STEPS:
            taken.add(name)
            now = datetime.timedelta(minutes=step)
            commands = tell(replicas, int(where), name, state, now)
            compare(replicas[int(where)], commands,
                    model.get(state, int(where)), model.get(after, int(where)))
        state = after
    return taken


def test_replica_follows_the_specification():
    taken = set()
    for seed in range(WALKS):
        taken |= follow(seed, configuration_protocol.RESTART)
        taken |= follow(seed, configuration_protocol.RACE)
    assert taken == REPLICA_STEPS
