"""Tests of changes, outages and malformed entries of the store."""

import datetime
import json
import random

import pytest
from twisted.internet import defer

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import freshness_gate
from mustardwood.platform import journal_store
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher
from mustardwood.platform.tests import documents

ms = harness_module.ms
_BATCH_DELAY = ms(300)
_TIMES = store_watcher.WatchTimes(ms(2000), _BATCH_DELAY, ms(2000))
_MINUTE = ms(60_000)
_MIN_LAPSE_TIME = ms(2400)
_CONFIGURATION = store_watcher.CONFIGURATION_KEY


class _Client:
    """A fake store client whose responses the test determines."""

    def __init__(self):
        self.configuration = documents.make_item(_CONFIGURATION,
                                                 documents.make_document(), 5)
        self.ranges = {
            "servers/": [
                documents.make_item("servers/i-1",
                                    documents.make_registration(), 3)
            ]
        }
        self.position = store_client.Position(0, 10)
        self.is_receiving = False
        self.max_bytes = 0
        self.watches = []
        self.reads = 0

    async def read_key(self, key):
        """Returns the configuration."""
        assert key == _CONFIGURATION
        self.reads += 1
        return self.configuration, self.position

    async def read_range(self, prefix, era):
        """Returns the items of a range."""
        assert era == self.position.era
        return self.ranges.get(prefix, [])

    async def watch(self, prefix, after, wait, max_bytes):
        """Records the watch; the test completes it."""
        self.max_bytes = max_bytes
        waiting = defer.Deferred()
        self.watches.append((prefix, after, wait, waiting))
        return await waiting

    def abort_watches(self):
        """Fails the pending watch."""
        self.fail(_unavailable())

    def deliver(self, items, next_revision):
        """Completes the pending watch with changes."""
        position = store_client.Position(self.position.era, next_revision)
        self.watches[-1][3].callback((items, position))

    def fail(self, error):
        """Fails the pending watch with an error."""
        self.watches[-1][3].errback(error)


class _SlowRangeClient(_Client):
    """A fake store client whose range reads never complete."""

    async def read_range(self, prefix, era):
        """Never returns."""
        del prefix, era
        return await defer.Deferred()


class _Harness:

    def __init__(self, seed=1, client=None, start=True):
        self.clock = timing.ManualClock()
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.client = client or _Client()
        self.directory = dispatch.EndpointDirectory(
            self.clock, dispatch.EndpointNotices("vm-1", self.clock))
        self.proof = dispatch.FreshnessProof(self.clock,
                                             datetime.timedelta(seconds=5),
                                             ms(500))
        self.journal = harness_module.FakeJournal()
        self.restarted = []
        self.vms = {}
        self.peers = 0
        self.watcher = store_watcher.StoreWatcher(
            self.client, self.clock, self.scheduler, self.directory, self.proof,
            freshness_gate.FreshnessGate(self.clock, is_first_start=False),
            self.journal, self.restarted.append, self.vms.__setitem__,
            journal_store.JournalStore(self.client,
                                       self.clock, self.journal, "vm-1"),
            random.Random(seed), _TIMES, _MIN_LAPSE_TIME, lambda: self.peers)
        if start:
            self.start()

    def start(self):
        """Starts the watcher and waits for its first watch."""
        self.watcher.start()
        self.scheduler.advance(_BATCH_DELAY)

    def deliver(self, items, next_revision):
        """Completes the pending watch and waits for the next one."""
        self.client.deliver(items, next_revision)
        self.scheduler.advance(_BATCH_DELAY)

    @property
    def version(self):
        """Version of the present configuration."""
        return self.watcher.configuration.table.version

    def usable(self):
        """Returns the names of the usable endpoints."""
        return [each.name for each in self.directory.list_usable("api")]


def _unavailable():
    return errors.UnavailableError("The store did not answer.", "Call again.")


def test_start_reads_all_keys_and_watches_from_their_revision():
    harness = _Harness()
    assert harness.version == 7
    assert harness.usable() == ["i-1"]
    assert harness.client.watches[0][:2] == ("", (0, 10))


def test_newer_configuration_is_applied_immediately():
    harness = _Harness()
    harness.deliver([
        documents.make_item(_CONFIGURATION, documents.make_document(version=9),
                            11)
    ], 11)
    assert harness.version == 9
    assert harness.client.watches[1][1] == (0, 11)


def test_configuration_with_a_lower_version_or_revision_is_ignored():
    harness = _Harness()
    for version, revision in ((9, 11), (8, 12), (7, 4)):
        harness.deliver([
            documents.make_item(_CONFIGURATION,
                                documents.make_document(version=version),
                                revision)
        ], 12)
        assert harness.version == 9


def test_malformed_configuration_keeps_the_previous_one():
    harness = _Harness()
    harness.deliver([documents.make_item(_CONFIGURATION, b"{", 11)], 11)
    assert harness.version == 7
    assert any(
        event == "configuration_rejected" for event, _ in harness.journal.lines)


def _make_nested_registration():
    """Returns a registration that another writer has nested deeply."""
    entry = json.dumps(documents.make_registration(models="nested"))
    return entry.replace('"nested"', "[" * 5000 + "]" * 5000).encode()


def test_deeply_nested_registration_does_not_end_the_watch():
    """It ended the watch, after which all keys were read again."""
    harness = _Harness()
    reads = harness.client.reads
    harness.deliver([
        documents.make_item("servers/i-0", _make_nested_registration(), 11),
        documents.make_item("servers/i-2", documents.make_registration(), 12)
    ], 12)
    assert harness.usable() == ["i-1", "i-2"]
    assert len(harness.client.watches) == 2
    assert harness.client.reads == reads


@pytest.mark.parametrize("is_listed", [False, True])
def test_error_with_one_item_concerns_no_other(is_listed):
    """Otherwise an item that can't be handled stops or restarts the watch."""
    client = _Client()
    items = [
        documents.make_item(f"servers/i-{index}", documents.make_registration(),
                            11 + index) for index in (0, 2)
    ]
    if is_listed:
        client.ranges["servers/"] += items
    harness = _Harness(client=client, start=False)
    set_endpoint = harness.directory.set_endpoint

    def fail_once(endpoint, is_confirmed=True):
        if endpoint.name == "i-0":
            raise RuntimeError("unforeseen")
        return set_endpoint(endpoint, is_confirmed)

    harness.directory.set_endpoint = fail_once
    harness.start()
    if not is_listed:
        harness.deliver(items, 13)
    assert harness.usable() == ["i-1", "i-2"]
    assert len(client.watches) == (1 if is_listed else 2)
    error, = (
        fields for event, fields in harness.journal.lines if event == "error")
    assert error["key"] == "servers/i-0"


def test_malformed_registration_removes_only_its_endpoint():
    harness = _Harness()
    harness.deliver([
        documents.make_item("servers/i-2", documents.make_registration(), 11),
        documents.make_item("servers/i-1", b"\xff", 12),
        documents.make_item("servers/i-3", {"service": "api"}, 13),
    ], 13)
    assert harness.usable() == ["i-2"]


def test_restart_of_an_endpoint_under_the_same_id_is_reported():
    harness = _Harness()
    harness.deliver([
        documents.make_item("servers/i-1",
                            documents.make_registration(born=1700000009999), 11)
    ], 11)
    assert harness.restarted == ["i-1"]
    assert harness.usable() == ["i-1"]


def test_proof_is_dated_at_the_time_of_the_request():
    harness = _Harness()
    harness.clock.advance(ms(1000))
    harness.client.deliver([], 10)
    assert harness.proof.get_age() == ms(1000)


def test_proof_is_recorded_before_the_range_reads_complete():
    harness = _Harness(client=_SlowRangeClient())
    assert not harness.usable()
    assert harness.proof.is_current()


def test_watch_after_a_change_is_delayed_to_batch_further_changes():
    """Sixty VMs that register one by one must not cause sixty calls per VM."""
    harness = _Harness()
    harness.client.deliver([documents.make_item("vms/edge-2", b"a:1", 11)], 11)
    assert len(harness.client.watches) == 1
    harness.scheduler.advance(_BATCH_DELAY)
    assert len(harness.client.watches) == 2
    assert harness.client.watches[1][1] == (0, 11)


def test_lost_history_causes_a_full_read():
    harness = _Harness()
    harness.client.ranges["servers/"] = []
    harness.client.configuration = documents.make_item(
        _CONFIGURATION, documents.make_document(version=12), 20)
    harness.client.fail(store_client.HistoryLostError("Gone.", "Read again."))
    assert harness.version == 12
    assert harness.client.reads == 2
    assert not harness.usable()


def test_endpoint_whose_registration_expired_in_an_outage_is_kept_for_a_while():
    harness = _Harness()
    for _ in range(4):
        harness.client.fail(_unavailable())
        harness.scheduler.advance(ms(600))
    removal = store_client.Item("servers/i-1", None, 12)
    harness.deliver([removal], 12)
    assert harness.usable() == ["i-1"]
    harness.scheduler.advance(ms(2300))
    assert not harness.usable()


def test_endpoint_removed_after_a_single_failed_call_gets_no_request():
    harness = _Harness()
    harness.scheduler.advance(ms(1000))
    harness.client.fail(_unavailable())
    harness.scheduler.advance(ms(600))
    assert harness.client.watches[-1][2] < _BATCH_DELAY
    harness.client.deliver([store_client.Item("servers/i-1", None, 12)], 12)
    assert not harness.usable()


def test_outage_counts_although_a_peer_has_regained_the_store_before():
    harness = _Harness()
    for _ in range(4):
        harness.client.fail(_unavailable())
        harness.scheduler.advance(ms(600))
    harness.proof.record(harness.clock.monotonic())
    harness.client.deliver([store_client.Item("servers/i-1", None, 12)], 12)
    assert harness.usable() == ["i-1"]


def test_outage_and_recovery_are_logged_once_each():
    harness = _Harness()
    for _ in range(3):
        harness.client.fail(_unavailable())
        harness.scheduler.advance(ms(600))
    harness.deliver([], 10)
    events = [event for event, _ in harness.journal.lines]
    assert events.count("store_lost") == 1
    assert events.count("store_regained") == 1


def test_watch_waits_after_a_change_differ_to_spread_the_proofs():
    waits = set()
    for seed in range(20):
        harness = _Harness(seed)
        harness.deliver([], 10)
        waits.add(harness.client.watches[0][2])
        assert harness.client.watches[1][2] == _TIMES.max_wait
    assert len(waits) > 10
    assert max(waits) - min(waits) > ms(500)


def test_unexpected_error_is_logged_and_watching_continues():
    harness = _Harness()
    harness.client.fail(RuntimeError("unforeseen"))
    event, fields = harness.journal.lines[-1]
    assert (event, fields["error"]) == ("error", "unforeseen")
    harness.scheduler.advance(ms(500) + _BATCH_DELAY)
    assert harness.client.reads == 2
    assert len(harness.client.watches) == 2


def test_changes_of_vms_are_reported_with_their_addresses():
    harness = _Harness()
    harness.deliver([
        documents.make_item("vms/edge-2", b"192.0.2.7:8229", 11),
        store_client.Item("vms/edge-3", None, 12)
    ], 12)
    assert harness.vms == {"edge-2": b"192.0.2.7:8229", "edge-3": None}


def _watch_for(harness, duration):
    """Lets watches end without changes after their whole time."""
    end = harness.clock.monotonic() + duration
    while harness.clock.monotonic() < end:
        harness.scheduler.advance(_TIMES.max_wait)
        harness.deliver([], 10)


def test_only_version_of_a_service_is_known_after_a_minute_of_watches():
    harness = _Harness()
    _watch_for(harness, ms(50_000))
    assert harness.directory.find_only_version("api", _MINUTE) is None
    _watch_for(harness, ms(15_000))
    assert harness.directory.find_only_version("api", _MINUTE) == "v1"
    # The pending watch has not ended yet.
    harness.scheduler.advance(_TIMES.max_wait)
    assert harness.directory.find_only_version("api", _MINUTE) == "v1"


def test_only_version_of_a_service_is_unknown_during_and_after_an_outage():
    harness = _Harness()
    _watch_for(harness, ms(65_000))
    harness.client.fail(_unavailable())
    for _ in range(8):
        harness.scheduler.advance(ms(1000))
        if not harness.client.watches[-1][3].called:
            harness.client.fail(_unavailable())
    assert harness.directory.find_only_version("api", _MINUTE) is None
    harness.scheduler.advance(ms(1000))
    harness.deliver([], 10)
    assert harness.directory.find_only_version("api", _MINUTE) is None


def test_second_version_of_a_service_is_remembered_after_its_endpoint_left():
    harness = _Harness()
    _watch_for(harness, ms(65_000))
    item = documents.make_item("servers/i-2",
                               documents.make_registration(version="v2"), 11)
    harness.deliver([item], 11)
    harness.deliver([store_client.Item("servers/i-2", None, 12)], 12)
    assert harness.usable() == ["i-1"]
    assert harness.directory.find_only_version("api", _MINUTE) is None
    _watch_for(harness, ms(65_000))
    assert harness.directory.find_only_version("api", _MINUTE) == "v1"


def test_changes_are_read_beside_a_watch_that_shows_nothing():
    """The watch's connection may have fallen silent."""
    harness = _Harness()
    harness.scheduler.advance(ms(1500))
    requested_at = harness.clock.monotonic()
    assert not harness.directory.is_listed_since(requested_at)
    harness.watcher.request_read()
    item = documents.make_item("servers/i-2",
                               documents.make_registration(version="v2"), 11)
    harness.client.deliver([item], 11)
    assert harness.directory.is_listed_since(requested_at)
    assert harness.usable() == ["i-1", "i-2"]
    assert harness.directory.find_only_version("api", _MINUTE) is None


def test_one_read_of_changes_is_made_at_a_time_and_each_50_ms():
    """Many streams may be resumed at once, and calls are billed."""
    harness = _Harness()
    watches = len(harness.client.watches)
    for _ in range(3):
        harness.watcher.request_read()
    assert len(harness.client.watches) == watches + 1
    harness.client.deliver([], 10)
    harness.watcher.request_read()
    assert len(harness.client.watches) == watches + 1
    harness.scheduler.advance(ms(50))
    harness.watcher.request_read()
    assert len(harness.client.watches) == watches + 2


def test_watch_that_ends_after_a_read_of_changes_undoes_none_of_them():
    """It was sent before, so its changes are older."""
    harness = _Harness()
    pending = harness.client.watches[-1][3]
    harness.watcher.request_read()
    harness.client.deliver([store_client.Item("servers/i-1", None, 12)], 12)
    assert not harness.usable()
    older = documents.make_item("servers/i-1",
                                documents.make_registration(slots=7), 11)
    pending.callback(([older], store_client.Position(0, 11)))
    harness.scheduler.advance(_BATCH_DELAY)
    assert not harness.usable()


def test_failed_read_of_changes_is_no_evidence_and_leaves_the_watch_alone():
    """A list counts as read only if the store has answered."""
    harness = _Harness()
    watches = len(harness.client.watches)
    harness.scheduler.advance(ms(100))
    requested_at = harness.clock.monotonic()
    harness.watcher.request_read()
    harness.client.fail(_unavailable())
    assert not harness.directory.is_listed_since(requested_at)
    assert len(harness.client.watches) == watches + 1
    assert harness.watcher.is_connected


def test_failed_read_of_changes_is_not_repeated_at_once():
    """Streams that wait for it ask all the time, and refused calls are billed.
    """
    harness = _Harness()
    harness.watcher.request_read()
    harness.client.fail(_unavailable())
    watches = len(harness.client.watches)
    for _ in range(49):
        harness.scheduler.advance(ms(10))
        harness.watcher.request_read()
    assert len(harness.client.watches) == watches
    harness.scheduler.advance(ms(10))
    harness.watcher.request_read()
    assert len(harness.client.watches) == watches + 1


def test_version_may_have_come_and_left_where_the_history_was_lost():
    """A listing does not show what has changed since the one before it."""
    harness = _Harness()
    _watch_for(harness, ms(65_000))
    harness.client.fail(store_client.HistoryLostError("Lost.", "Read again."))
    harness.scheduler.advance(_BATCH_DELAY)
    assert harness.directory.find_only_version("api", _MINUTE) is None


def _make_endpoint(revision, name="i-1", era=1, **changes):
    return documents.make_item(f"servers/{name}",
                               documents.make_registration(**changes), revision,
                               era)


def _make_configuration(version, revision, era=1):
    return documents.make_item(_CONFIGURATION,
                               documents.make_document(version=version),
                               revision, era)


def _restore(harness, configuration, *endpoints, revision=6):
    """Restores a copy of an older revision; the watch finds the new era."""
    client = harness.client
    client.configuration = configuration
    client.position = store_client.Position(client.position.era + 1, revision)
    client.ranges["servers/"] = list(endpoints)
    client.fail(store_client.EraChangedError("Restored.", "Read again."))
    harness.scheduler.advance(_BATCH_DELAY)


def _find_proof_time(harness):
    return harness.clock.monotonic() - harness.proof.get_age()


def _start_with_version(version):
    harness = _Harness()
    harness.deliver([_make_configuration(version, 11, era=0)], 11)
    return harness


def test_new_era_causes_a_full_read_and_a_watch_from_its_revision():
    harness = _start_with_version(9)
    _restore(harness, _make_configuration(9, 4), _make_endpoint(3))
    assert harness.client.reads == 2
    assert harness.client.watches[-1][1] == (1, 6)
    line, = [
        fields for event, fields in harness.journal.lines
        if event == "store_restored"
    ]
    assert line == {
        "previous_era": 0,
        "previous_revision": 11,
        "era": 1,
        "revision": 6
    }


def test_older_configuration_of_a_copy_does_not_replace_the_one_in_force():
    harness = _start_with_version(9)
    _restore(harness, _make_configuration(8, 4), _make_endpoint(3))
    assert harness.version == 9
    harness.deliver([_make_configuration(8, 7)], 7)
    assert harness.version == 9


def test_configuration_stays_in_force_when_a_copy_has_none():
    harness = _start_with_version(9)
    _restore(harness, None, _make_endpoint(3))
    assert harness.version == 9


def test_version_written_after_a_restore_is_applied_at_a_lower_revision():
    harness = _start_with_version(9)
    _restore(harness, _make_configuration(8, 4), _make_endpoint(3))
    harness.deliver([_make_configuration(9, 7)], 7)
    assert harness.watcher.configuration_position == (9, 1, 7)
    harness.deliver([_make_configuration(10, 8)], 8)
    assert harness.watcher.configuration_position == (10, 1, 8)


def test_older_configuration_of_a_copy_is_no_proof():
    """A version that the copy lacks may have taken a key away."""
    harness = _start_with_version(9)
    _restore(harness, _make_configuration(8, 4), _make_endpoint(3))
    proved_at = _find_proof_time(harness)
    for _ in range(3):
        harness.scheduler.advance(ms(2000))
        harness.deliver([], 6)
    assert _find_proof_time(harness) == proved_at
    assert not harness.proof.is_current()
    harness.deliver([_make_configuration(9, 7)], 7)
    assert harness.proof.is_current()


def test_answer_is_no_proof_until_the_operator_had_time_to_write_again():
    """The version in force may be older than one that the copy lacks, too."""
    harness = _start_with_version(9)
    proved_at = _find_proof_time(harness)
    _restore(harness,
             _make_configuration(9, 11),
             _make_endpoint(3),
             revision=12)
    harness.scheduler.advance(ms(1000))
    harness.deliver([], 12)
    assert _find_proof_time(harness) == proved_at
    harness.scheduler.advance(ms(1000))
    harness.deliver([], 12)
    assert _find_proof_time(harness) > proved_at + ms(1000)


def test_first_start_of_a_vm_in_a_restored_store_is_no_proof():
    client = _Client()
    client.position = store_client.Position(1, 10)
    client.configuration = _make_configuration(7, 5)
    harness = _Harness(client=client)
    assert harness.version == 7
    assert harness.proof.get_age() is None
    harness.scheduler.advance(ms(2000))
    harness.deliver([], 10)
    assert harness.proof.is_current()


def test_proof_of_an_era_that_was_not_read_yet_is_not_recorded():
    harness = _start_with_version(9)
    harness.watcher.apply_configuration(_make_configuration(10, 12))
    age = harness.proof.get_age()
    harness.watcher.record_proof(harness.clock.monotonic(), 1)
    assert (harness.version, harness.proof.get_age()) == (9, age)


def test_configuration_of_a_peer_is_applied_if_its_version_is_higher():
    """A VM that starts after a restore knows only the copy's version."""
    client = _Client()
    client.position = store_client.Position(1, 10)
    client.configuration = _make_configuration(7, 5)
    harness = _Harness(client=client)
    harness.watcher.apply_peer_configuration(_make_configuration(9, 90, era=0))
    assert harness.watcher.configuration_position == (9, 0, 90)
    harness.watcher.apply_peer_configuration(_make_configuration(8, 99))
    assert harness.version == 9
    harness.deliver([_make_configuration(9, 11)], 11)
    assert harness.watcher.configuration_position == (9, 1, 11)
    assert harness.proof.is_current()


def test_endpoint_missing_in_a_copy_has_time_to_register_again():
    harness = _Harness()
    _restore(harness, _make_configuration(7, 5))
    harness.scheduler.advance(ms(1500))
    assert harness.usable() == ["i-1"]
    harness.deliver([_make_endpoint(7)], 7)
    harness.scheduler.advance(ms(3000))
    assert harness.usable() == ["i-1"]


def test_endpoint_missing_in_a_copy_is_removed_if_it_does_not_register_again():
    harness = _Harness()
    _restore(harness, _make_configuration(7, 5))
    harness.scheduler.advance(ms(2300))
    assert not harness.usable()


def test_endpoint_that_a_copy_lacked_is_used_when_the_next_copy_shows_it():
    """Other keys were written since the restore, beyond its revision."""
    harness = _Harness()
    harness.deliver([_make_endpoint(11, "i-2", era=0)], 11)
    _restore(harness, _make_configuration(7, 5), _make_endpoint(3), revision=11)
    harness.scheduler.advance(ms(2300))
    assert harness.usable() == ["i-1"]
    _restore(harness,
             _make_configuration(7, 5, era=2),
             _make_endpoint(3, era=2),
             _make_endpoint(10, "i-2", era=2),
             revision=11)
    assert harness.usable() == ["i-1", "i-2"]


def test_endpoint_that_a_copy_would_have_is_not_used_when_the_next_shows_it():
    harness = _Harness()
    harness.deliver([_make_endpoint(11, "i-2", era=0)], 11)
    _restore(harness, _make_configuration(7, 5), _make_endpoint(11, "i-2"))
    harness.scheduler.advance(ms(2300))
    assert harness.usable() == ["i-2"]
    _restore(harness, _make_configuration(7, 5, era=2), _make_endpoint(3,
                                                                       era=2),
             _make_endpoint(11, "i-2", era=2))
    assert harness.usable() == ["i-2"]


def test_leaving_endpoint_stays_so_until_it_writes_again_after_a_restore():
    harness = _Harness()
    harness.deliver([_make_endpoint(11, era=0, state="draining")], 11)
    _restore(harness, _make_configuration(7, 5), _make_endpoint(3))
    assert not harness.usable()
    assert "endpoint_unconfirmed" in [
        event for event, _ in harness.journal.lines
    ]
    harness.deliver([_make_endpoint(7, sequence=9)], 7)
    assert harness.usable() == ["i-1"]


def test_removed_endpoint_in_a_copy_is_unused_until_it_writes_again():
    harness = _Harness()
    harness.deliver([store_client.Item("servers/i-1", None, 11)], 11)
    _restore(harness, _make_configuration(7, 5), _make_endpoint(3))
    assert not harness.usable()
    harness.deliver([_make_endpoint(7, sequence=9)], 7)
    assert harness.usable() == ["i-1"]


def test_vms_missing_in_a_listing_are_reported_as_removed():
    harness = _Harness()
    harness.deliver([documents.make_item("vms/edge-2", b"192.0.2.7:1", 11)], 11)
    _restore(harness, _make_configuration(7, 5), _make_endpoint(3))
    assert harness.vms == {"edge-2": None}
    harness.deliver([documents.make_item("vms/edge-2", b"192.0.2.7:1", 7, 1)],
                    7)
    assert harness.vms == {"edge-2": b"192.0.2.7:1"}


def test_watch_after_a_failure_is_answered_at_once():
    """The VM must learn soon that the store is back or was restored."""
    harness = _Harness()
    harness.client.fail(_unavailable())
    harness.scheduler.advance(ms(600))
    assert harness.client.watches[-1][2] < ms(100)
    harness.deliver([], 10)
    assert harness.client.watches[-1][2] == _TIMES.max_wait


def test_later_era_of_a_peer_causes_one_read_each_second():
    """The pending watch may have been lost when the store was restored."""
    harness = _Harness()
    for _ in range(10):
        harness.watcher.check_era(1)
    assert harness.client.reads == 2
    harness.scheduler.advance(ms(1000))
    harness.watcher.check_era(0)
    assert harness.client.reads == 2
    harness.watcher.check_era(1)
    assert harness.client.reads == 3


def test_watches_last_longer_with_many_peers():
    # Watches that end without a change were most of the calls of 80 VMs.
    harness = _Harness()
    for peers_count, factor in ((8, 1), (12, 1.5), (82, 2)):
        harness.peers = peers_count
        harness.client.deliver([], 10)
        assert harness.client.watches[-1][2] == _TIMES.max_wait * factor


def test_calls_during_an_outage_do_not_grow_with_the_number_of_vms():
    # Each of 80 VMs called twice a second although all calls were refused.
    calls = {}
    for peers_count in (8, 82):
        calls[peers_count] = _count_calls(peers_count)
    assert calls[82] <= calls[8] / 2


def _count_calls(peers_count):
    harness = _Harness()
    harness.peers = peers_count
    harness.client.fail(_unavailable())
    before, failed = len(harness.client.watches), len(harness.client.watches)
    for _ in range(100):
        harness.scheduler.advance(ms(100))
        while len(harness.client.watches) > failed:
            failed = len(harness.client.watches)
            harness.client.fail(_unavailable())
    return failed - before


def test_watch_that_misses_a_change_which_a_peer_knows_is_ended():
    # Failure: the connection of a watch falls silent without a reset.
    harness = _Harness()
    newer = store_client.Position(0, 11)
    harness.watcher.record_peer_position(newer)
    harness.scheduler.advance(ms(900))
    harness.watcher.record_peer_position(newer)
    assert len(harness.client.watches) == 1
    harness.scheduler.advance(ms(200))
    harness.watcher.record_peer_position(newer)
    harness.scheduler.advance(ms(200))
    assert len(harness.client.watches) == 2
    assert harness.client.watches[1][1] == (0, 10)


def test_watch_that_shows_what_peers_know_goes_on():
    harness = _Harness()
    for position in (store_client.Position(0, 10), store_client.Position(1, 99),
                     store_client.Position(0, 9)):
        harness.watcher.record_peer_position(position)
        harness.scheduler.advance(ms(1_500))
        harness.watcher.record_peer_position(position)
    assert len(harness.client.watches) == 1


def test_listeners_get_the_listing_and_the_changes_of_their_prefix():
    """Keys of duties must not cost a second watch."""
    harness = _Harness()
    listings, changes = [], []
    harness.watcher.add_listener("duties/", lambda *each: listings.append(each),
                                 changes.append)
    harness.deliver([
        documents.make_item("duties/leader", b"{}", 11),
        documents.make_item("vms/vm-9", b"192.0.2.9:1", 12)
    ], 12)
    assert [each.key for each in changes] == ["duties/leader"]
    assert not listings
    # All keys are read again after a loss of the history.
    leader = documents.make_item("duties/leader", b"{}", 13)
    harness.client.ranges["duties/"] = [leader]
    harness.client.fail(
        store_client.HistoryLostError("Lost.", "Read the keys again."))
    harness.scheduler.advance(_BATCH_DELAY)
    assert listings == [([leader], (0, 10))]


def test_watch_whose_response_is_arriving_is_not_taken_for_silent():
    # A long response over a slow link was thrown away, and began anew.
    harness = _Harness()
    harness.client.is_receiving = True
    for _ in range(30):
        harness.watcher.record_peer_position(store_client.Position(0, 12))
        harness.scheduler.advance(ms(100))
    assert len(harness.client.watches) == 1


def test_changes_longer_than_all_keys_are_not_received():
    # Versions of a large configuration came faster than a slow link carries.
    harness = _Harness()
    large = documents.make_document(8,
                                    tenants=[{
                                        "name": f"organisation-{number}",
                                        "api_keys": [f"key-{number}"]
                                    } for number in range(10_000)])
    item = documents.make_item(_CONFIGURATION, large, 11)
    harness.deliver([item], 11)
    assert len(item.value) < harness.client.max_bytes < 1.2 * len(item.value)
    newest = documents.make_item(_CONFIGURATION, {**large, "version": 9}, 14)
    harness.client.configuration = newest
    harness.client.position = store_client.Position(0, 14)
    harness.client.fail(
        store_client.HistoryTooLongError("Too long.", "Read the keys again."))
    harness.scheduler.advance(_BATCH_DELAY)
    assert harness.version == 9
    assert harness.client.watches[-1][1] == (0, 14)


def test_short_changes_are_received_however_small_the_listing():
    harness = _Harness()
    assert harness.client.max_bytes >= 200_000
