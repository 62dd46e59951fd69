"""Tests of an apply under races, lost responses and outages."""

import datetime

from mustardwood import configuration
from mustardwood import replication

OUTCOME = replication.ApplyOutcome


def make_document(version, apply_id):
    return configuration.VersionedDocument(version, apply_id, "{}", "ann")


def start_apply(expected_version=1, in_force=None):
    apply = replication.Apply(make_document(0, "mine"), expected_version,
                              in_force)
    apply.start()
    return apply


def test_written_version_exceeds_those_of_platform_and_vm():
    apply = start_apply(expected_version=5, in_force=make_document(5, "x"))
    command = apply.read(make_document(3, "old"), 8)
    assert command.document.version == 6
    assert command.expected_revision == 8


def test_apply_that_lost_a_race_returns_the_winner():
    apply = start_apply()
    apply.read(make_document(1, "base"), 8)
    apply.conflicted()
    assert apply.read(make_document(2, "theirs"), 9) is None
    assert apply.outcome is OUTCOME.LOST
    assert apply.winner == make_document(2, "theirs")


def test_apply_with_a_stale_expected_version_is_lost_without_a_write():
    apply = start_apply(expected_version=1)
    assert apply.read(make_document(2, "theirs"), 9) is None
    assert apply.outcome is OUTCOME.LOST


def test_uncertain_write_that_took_effect_is_applied():
    apply = start_apply()
    apply.read(make_document(1, "base"), 8)
    apply.uncertain()
    apply.read(make_document(2, "mine"), 9)
    assert apply.outcome is OUTCOME.APPLIED and apply.document.version == 2


def test_uncertain_write_without_effect_is_retried():
    apply = start_apply()
    first = apply.read(make_document(1, "base"), 8)
    apply.uncertain()
    assert apply.read(make_document(1, "base"), 8) == first
    apply.written()
    assert apply.outcome is OUTCOME.APPLIED


def test_uncertain_write_followed_by_another_document_is_unknown():
    apply = start_apply()
    apply.read(make_document(1, "base"), 8)
    apply.uncertain()
    apply.read(make_document(3, "theirs"), 10)
    assert apply.outcome is OUTCOME.UNKNOWN


def test_repeated_apply_id_is_applied_without_a_write():
    apply = start_apply()
    assert apply.read(make_document(2, "mine"), 9) is None
    assert apply.outcome is OUTCOME.APPLIED


def test_apply_id_in_force_on_the_vm_is_applied_though_the_platform_lost_it():
    apply = start_apply(in_force=make_document(2, "mine"))
    assert apply.read(make_document(1, "base"), 8) is None
    assert apply.outcome is OUTCOME.APPLIED


def test_write_that_conflicts_with_a_repair_is_retried():
    apply = start_apply(expected_version=2, in_force=make_document(2, "base"))
    apply.read(make_document(1, "older"), 8)
    apply.conflicted()
    command = apply.read(make_document(2, "base"), 9)
    assert command.expected_revision == 9 and command.document.version == 3


def test_outage_before_the_write_ends_as_not_written():
    apply = start_apply()
    apply.unavailable()
    assert apply.outcome is OUTCOME.NOT_WRITTEN


def test_timeout_after_an_uncertain_write_ends_as_unknown():
    apply = start_apply()
    apply.read(make_document(1, "base"), 8)
    apply.uncertain()
    apply.unavailable()
    assert apply.give_up() is None
    assert apply.outcome is OUTCOME.UNKNOWN


def test_apply_after_a_platform_restore_exceeds_the_version_in_force():
    now = datetime.timedelta()
    replica = replication.ConfigurationReplica()
    replica.accept_platform(make_document(4, "x"), 9, now)
    apply = start_apply(expected_version=4, in_force=replica.in_force)
    command = apply.read(make_document(2, "restored"), 3)
    replica.accept_platform(command.document, 4, now)
    assert replica.in_force.version == 5
