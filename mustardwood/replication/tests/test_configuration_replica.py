"""Tests of the version in force under old, equal and newer documents."""

import datetime

import hypothesis
from hypothesis import strategies

from mustardwood import configuration
from mustardwood import replication

NOW = datetime.timedelta()


def make_document(version, apply_id="a"):
    return configuration.VersionedDocument(version, apply_id, "{}")


def test_older_platform_is_repaired_and_version_in_force_stays():
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make_document(3), 9, NOW)
    commands = replica.accept_platform(make_document(2), 4, NOW)
    assert commands == (replication.Repair(make_document(3), 4),)
    assert replica.in_force == make_document(3)


def test_platform_without_a_document_is_repaired():
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make_document(3), 9, NOW)
    commands = replica.accept_platform(None, 0, NOW)
    assert commands == (replication.Repair(make_document(3), 0),)


def test_repair_of_a_revision_is_repeated_only_after_an_interval():
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make_document(3), 9, NOW)
    assert replica.accept_platform(make_document(2), 4, NOW)
    assert not replica.accept_platform(make_document(2), 4, NOW)
    later = datetime.timedelta(seconds=3)
    assert replica.accept_platform(make_document(2), 4, later)


def test_neighbour_with_an_older_document_is_sent_the_newer_one():
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make_document(3), 9, NOW)
    pushed = (replication.Push(make_document(3)),)
    assert replica.accept_neighbour(make_document(2), NOW) == pushed
    assert replica.accept_neighbour(None, NOW) == pushed
    assert not replica.accept_neighbour(make_document(3), NOW)


def test_higher_version_of_a_neighbour_replaces_that_of_the_platform():
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make_document(2), 4, NOW)
    commands = replica.accept_neighbour(make_document(3), NOW)
    assert commands[0] == replication.Adopt(make_document(3))


def test_booting_replica_adopts_nothing_before_a_neighbour_answers():
    replica = replication.ConfigurationReplica.for_boot()
    assert not replica.accept_platform(make_document(2), 4, NOW)
    assert replica.in_force is None
    commands = replica.accept_neighbour(make_document(3), NOW)
    assert commands == (replication.Adopt(make_document(3)),
                        replication.Push(make_document(3)),
                        replication.Repair(make_document(3), 4))


def test_booting_replica_adopts_nothing_before_the_platform_answers():
    replica = replication.ConfigurationReplica.for_boot()
    assert not replica.accept_neighbour(make_document(1), NOW)
    assert not replica.accept_platform(make_document(2), 4, NOW)
    assert replica.in_force is None
    replica.accept_neighbour(make_document(1), NOW)
    assert replica.in_force == make_document(2)


def test_booting_replica_adopts_neighbour_when_platform_is_down():
    replica = replication.ConfigurationReplica.for_boot()
    replica.accept_neighbour(make_document(1), NOW)
    assert replica.end_boot(NOW)[0] == replication.Adopt(make_document(1))


def test_booting_replica_adopts_platform_when_neighbours_have_none():
    for ending_event in ("accept_neighbour", "end_boot"):
        replica = replication.ConfigurationReplica.for_boot()
        replica.accept_platform(make_document(2), 4, NOW)
        if ending_event == "end_boot":
            commands = replica.end_boot(NOW)
        else:
            commands = replica.accept_neighbour(None, NOW)
        assert commands[0] == replication.Adopt(make_document(2))


DOCUMENTS = strategies.builds(make_document, strategies.integers(1, 4),
                              strategies.sampled_from("abc"))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(arrivals=strategies.lists(
    strategies.tuples(DOCUMENTS, strategies.booleans())),
                  rng=strategies.randoms(use_true_random=False))
def test_any_order_of_documents_converges_without_lowering_version(
        arrivals, rng):
    final_documents = set()
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
        final_documents.add(replica.in_force)
        rng.shuffle(arrivals)
    assert len(final_documents) == 1
