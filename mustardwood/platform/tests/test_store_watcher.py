"""Tests of changes, outages and malformed entries of the store."""

import datetime
import random

from twisted.internet import defer

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher
from mustardwood.platform.tests import documents

ms = harness_module.ms
_BATCH_DELAY = ms(300)
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
        self.watches = []
        self.reads = 0

    async def read_key(self, key):
        """Returns the configuration."""
        assert key == _CONFIGURATION
        self.reads += 1
        return self.configuration, 10

    async def read_range(self, prefix):
        """Returns the items of a range."""
        return self.ranges.get(prefix, [])

    async def watch(self, prefix, after, wait):
        """Records the watch; the test completes it."""
        waiting = defer.Deferred()
        self.watches.append((prefix, after, wait, waiting))
        return await waiting

    def deliver(self, items, next_revision):
        """Completes the pending watch with changes."""
        self.watches[-1][3].callback((items, next_revision))

    def fail(self, error):
        """Fails the pending watch with an error."""
        self.watches[-1][3].errback(error)


class _SlowRangeClient(_Client):
    """A fake store client whose range reads never complete."""

    async def read_range(self, prefix):
        """Never returns."""
        del prefix
        return await defer.Deferred()


class _Harness:

    def __init__(self, seed=1, client=None):
        self.clock = timing.ManualClock()
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.client = client or _Client()
        self.directory = dispatch.EndpointDirectory(self.clock)
        self.proof = dispatch.FreshnessProof(self.clock,
                                             datetime.timedelta(seconds=5),
                                             ms(500))
        self.journal = harness_module.FakeJournal()
        self.restarted = []
        self.vms = {}
        self.watcher = store_watcher.StoreWatcher(
            self.client, self.clock, self.scheduler, self.directory, self.proof,
            self.journal, self.restarted.append, self.vms.__setitem__,
            random.Random(seed), _MIN_LAPSE_TIME)
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
    assert harness.client.watches[0][:2] == ("", 10)


def test_newer_configuration_is_applied_immediately():
    harness = _Harness()
    harness.deliver([
        documents.make_item(_CONFIGURATION, documents.make_document(version=9),
                            11)
    ], 11)
    assert harness.version == 9
    assert harness.client.watches[1][1] == 11


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
    assert harness.client.watches[1][1] == 11


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
        assert harness.client.watches[1][2] == store_watcher.MAX_WATCH_WAIT
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
        harness.scheduler.advance(store_watcher.MAX_WATCH_WAIT)
        harness.deliver([], 10)


def test_only_version_of_a_service_is_known_after_a_minute_of_watches():
    harness = _Harness()
    _watch_for(harness, ms(50_000))
    assert harness.directory.find_only_version("api", _MINUTE) is None
    _watch_for(harness, ms(15_000))
    assert harness.directory.find_only_version("api", _MINUTE) == "v1"
    # The pending watch has not ended yet.
    harness.scheduler.advance(store_watcher.MAX_WATCH_WAIT)
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
