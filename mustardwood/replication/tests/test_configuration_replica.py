"""The version in force under old, equal and newer documents."""

import datetime

import hypothesis
from hypothesis import strategies

from mustardwood import configuration
from mustardwood import replication

NOW = datetime.timedelta()


def make(version, apply_id="a"):
    return configuration.VersionedDocument(version, apply_id, "{}")


def test_older_platform_is_repaired_not_obeyed():
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make(3), 9, NOW)
    commands = replica.accept_platform(make(2), 4, NOW)
    assert commands == (replication.Repair(make(3), 4),)
    assert replica.in_force == make(3)


def test_emptied_platform_is_repaired():
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make(3), 9, NOW)
    commands = replica.accept_platform(None, 0, NOW)
    assert commands == (replication.Repair(make(3), 0),)


def test_repair_is_repeated_after_an_interval():
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make(3), 9, NOW)
    assert replica.accept_platform(make(2), 4, NOW)
    assert not replica.accept_platform(make(2), 4, NOW)
    later = datetime.timedelta(seconds=3)
    assert replica.accept_platform(make(2), 4, later)


def test_lagging_neighbour_is_told():
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make(3), 9, NOW)
    pushed = (replication.Push(make(3)),)
    assert replica.accept_neighbour(make(2), NOW) == pushed
    assert replica.accept_neighbour(None, NOW) == pushed
    assert not replica.accept_neighbour(make(3), NOW)


def test_restart_takes_the_highest_of_platform_and_neighbours():
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make(2), 4, NOW)
    commands = replica.accept_neighbour(make(3), NOW)
    assert commands[0] == replication.Adopt(make(3))


def test_booting_replica_waits_for_a_neighbour_before_the_platform():
    replica = replication.ConfigurationReplica.for_boot()
    assert not replica.accept_platform(make(2), 4, NOW)
    assert replica.in_force is None
    commands = replica.accept_neighbour(make(3), NOW)
    assert commands == (replication.Adopt(make(3)), replication.Push(make(3)),
                        replication.Repair(make(3), 4))


def test_booting_replica_waits_for_the_platform_before_a_neighbour():
    replica = replication.ConfigurationReplica.for_boot()
    assert not replica.accept_neighbour(make(1), NOW)
    assert not replica.accept_platform(make(2), 4, NOW)
    assert replica.in_force is None
    replica.accept_neighbour(make(1), NOW)
    assert replica.in_force == make(2)


def test_booting_replica_takes_a_neighbour_when_the_platform_is_down():
    replica = replication.ConfigurationReplica.for_boot()
    replica.accept_neighbour(make(1), NOW)
    assert replica.end_boot(NOW)[0] == replication.Adopt(make(1))


def test_booting_replica_takes_the_platform_when_neighbours_have_none():
    for end in ("accept_neighbour", "end_boot"):
        replica = replication.ConfigurationReplica.for_boot()
        replica.accept_platform(make(2), 4, NOW)
        if end == "end_boot":
            commands = replica.end_boot(NOW)
        else:
            commands = replica.accept_neighbour(None, NOW)
        assert commands[0] == replication.Adopt(make(2))


DOCUMENTS = strategies.builds(make, strategies.integers(1, 4),
                              strategies.sampled_from("abc"))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(arrivals=strategies.lists(
    strategies.tuples(DOCUMENTS, strategies.booleans())),
                  order=strategies.randoms(use_true_random=False))
def test_any_order_converges_and_never_decreases(arrivals, order):
    ends = set()
    for _ in range(2):
        replica = replication.ConfigurationReplica()
        version = 0
        for document, from_platform in arrivals:
            if from_platform:
                replica.accept_platform(document, 1, NOW)
            else:
                replica.accept_neighbour(document, NOW)
            assert replica.in_force.version >= version
            version = replica.in_force.version
        ends.add(replica.in_force)
        order.shuffle(arrivals)
    assert len(ends) == 1
