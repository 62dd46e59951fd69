"""An apply under races, lost answers and outages."""

import datetime

from mustardwood import configuration
from mustardwood import replication

OUTCOME = replication.ApplyOutcome


def make(version, apply_id):
    return configuration.VersionedDocument(version, apply_id, "{}", "ann")


def begin(expected_version=1, in_force=None):
    apply = replication.Apply(make(0, "mine"), expected_version, in_force)
    apply.start()
    return apply


def test_version_exceeds_platform_and_in_force():
    apply = begin(expected_version=5, in_force=make(5, "x"))
    command = apply.read(make(3, "old"), 8)
    assert command.document.version == 6
    assert command.expected_revision == 8


def test_lost_race_names_the_winner():
    apply = begin()
    apply.read(make(1, "base"), 8)
    apply.conflicted()
    assert apply.read(make(2, "theirs"), 9) is None
    assert apply.outcome is OUTCOME.LOST
    assert apply.winner == make(2, "theirs")


def test_stale_expected_version_is_lost_without_a_write():
    apply = begin(expected_version=1)
    assert apply.read(make(2, "theirs"), 9) is None
    assert apply.outcome is OUTCOME.LOST


def test_uncertain_write_is_read_back_and_compared():
    apply = begin()
    apply.read(make(1, "base"), 8)
    apply.uncertain()
    apply.read(make(2, "mine"), 9)
    assert apply.outcome is OUTCOME.APPLIED and apply.document.version == 2


def test_uncertain_write_without_effect_is_written_again():
    apply = begin()
    first = apply.read(make(1, "base"), 8)
    apply.uncertain()
    assert apply.read(make(1, "base"), 8) == first
    apply.written()
    assert apply.outcome is OUTCOME.APPLIED


def test_uncertain_write_with_another_document_is_unknown():
    apply = begin()
    apply.read(make(1, "base"), 8)
    apply.uncertain()
    apply.read(make(3, "theirs"), 10)
    assert apply.outcome is OUTCOME.UNKNOWN


def test_repeated_apply_id_writes_nothing():
    apply = begin()
    assert apply.read(make(2, "mine"), 9) is None
    assert apply.outcome is OUTCOME.APPLIED


def test_apply_id_in_force_is_applied_though_the_platform_lost_it():
    apply = begin(in_force=make(2, "mine"))
    assert apply.read(make(1, "base"), 8) is None
    assert apply.outcome is OUTCOME.APPLIED


def test_conflict_with_a_repair_is_written_again():
    apply = begin(expected_version=2, in_force=make(2, "base"))
    apply.read(make(1, "older"), 8)
    apply.conflicted()
    command = apply.read(make(2, "base"), 9)
    assert command.expected_revision == 9 and command.document.version == 3


def test_outage_before_the_write_writes_nothing():
    apply = begin()
    apply.unavailable()
    assert apply.outcome is OUTCOME.NOT_WRITTEN


def test_giving_up_after_a_lost_answer_is_unknown():
    apply = begin()
    apply.read(make(1, "base"), 8)
    apply.uncertain()
    apply.unavailable()
    assert apply.give_up() is None
    assert apply.outcome is OUTCOME.UNKNOWN


def test_replica_and_apply_agree_after_a_restore():
    now = datetime.timedelta()
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make(4, "x"), 9, now)
    apply = begin(expected_version=4, in_force=replica.in_force)
    command = apply.read(make(2, "restored"), 3)
    replica.accept_platform(command.document, 4, now)
    assert replica.in_force.version == 5
