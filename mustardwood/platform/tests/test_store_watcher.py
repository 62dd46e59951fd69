"""The store's changes, outages and unreadable entries."""

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
_REST = ms(300)
_CONFIGURATION = store_watcher.CONFIGURATION_KEY


class _Client:
    """A store whose answers the test gives."""

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
        """Waits for the test."""
        waiting = defer.Deferred()
        self.watches.append((prefix, after, wait, waiting))
        return await waiting

    def deliver(self, items, at):
        """Ends the open watch with changes."""
        self.watches[-1][3].callback((items, at))

    def fail(self, error):
        """Ends the open watch with an error."""
        self.watches[-1][3].errback(error)


class _SlowLists(_Client):
    """A store whose lists don't come."""

    async def read_range(self, prefix):
        """Waits for ever."""
        del prefix
        return await defer.Deferred()


class _Case:

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
        self.follower = store_watcher.StoreWatcher(
            self.client, self.clock, self.scheduler, self.directory, self.proof,
            self.journal, self.restarted.append, self.vms.__setitem__,
            random.Random(seed))
        self.follower.start()
        self.scheduler.advance(_REST)

    def deliver(self, items, at):
        """Ends the open watch with changes, and waits for the next one."""
        self.client.deliver(items, at)
        self.scheduler.advance(_REST)

    @property
    def version(self):
        """The version in force."""
        return self.follower.configuration.table.version

    def usable(self):
        """Names of the usable endpoints."""
        return [each.name for each in self.directory.list_usable("api")]


def _unavailable():
    return errors.UnavailableError("The store did not answer.", "Call again.")


def test_start_reads_all_and_watches_from_the_first_revision():
    case = _Case()
    assert case.version == 7
    assert case.usable() == ["i-1"]
    assert case.client.watches[0][:2] == ("", 10)


def test_newer_configuration_is_in_force_at_once():
    case = _Case()
    case.deliver([
        documents.make_item(_CONFIGURATION, documents.make_document(version=9),
                            11)
    ], 11)
    assert case.version == 9
    assert case.client.watches[1][1] == 11


def test_configuration_never_goes_back():
    case = _Case()
    for version, revision in ((9, 11), (8, 12), (7, 4)):
        case.deliver([
            documents.make_item(_CONFIGURATION,
                                documents.make_document(version=version),
                                revision)
        ], 12)
        assert case.version == 9


def test_unreadable_configuration_leaves_the_last_one():
    case = _Case()
    case.deliver([documents.make_item(_CONFIGURATION, b"{", 11)], 11)
    assert case.version == 7
    assert any(
        event == "configuration_rejected" for event, _ in case.journal.lines)


def test_unreadable_registration_removes_only_its_endpoint():
    case = _Case()
    case.deliver([
        documents.make_item("servers/i-2", documents.make_registration(), 11),
        documents.make_item("servers/i-1", b"\xff", 12),
        documents.make_item("servers/i-3", {"service": "api"}, 13),
    ], 13)
    assert case.usable() == ["i-2"]


def test_restart_under_the_same_id_is_told():
    case = _Case()
    case.deliver([
        documents.make_item("servers/i-1",
                            documents.make_registration(born=1700000009999), 11)
    ], 11)
    assert case.restarted == ["i-1"]
    assert case.usable() == ["i-1"]


def test_proof_counts_from_the_question():
    case = _Case()
    case.clock.advance(ms(1000))
    case.client.deliver([], 10)
    assert case.proof.get_age() == ms(1000)


def test_proof_does_not_wait_for_the_lists():
    case = _Case(client=_SlowLists())
    assert not case.usable()
    assert case.proof.is_current()


def test_changes_of_a_moment_come_with_one_call():
    """Sixty VMs that register one after the other wake nobody sixty times."""
    case = _Case()
    case.client.deliver([documents.make_item("vms/edge-2", b"a:1", 11)], 11)
    assert len(case.client.watches) == 1
    case.scheduler.advance(_REST)
    assert len(case.client.watches) == 2
    assert case.client.watches[1][1] == 11


def test_lost_history_is_read_anew():
    case = _Case()
    case.client.ranges["servers/"] = []
    case.client.configuration = documents.make_item(
        _CONFIGURATION, documents.make_document(version=12), 20)
    case.client.fail(store_client.HistoryLostError("Gone.", "Read again."))
    assert case.version == 12
    assert case.client.reads == 2
    assert not case.usable()


def test_registrations_that_lapsed_in_an_outage_hold_for_a_while():
    case = _Case()
    case.client.fail(_unavailable())
    case.scheduler.advance(ms(600))
    removal = store_client.Item("servers/i-1", None, 12)
    case.deliver([removal], 12)
    assert case.usable() == ["i-1"]
    case.scheduler.advance(ms(2300))
    assert not case.usable()


def test_outage_and_return_leave_one_line_each():
    case = _Case()
    for _ in range(3):
        case.client.fail(_unavailable())
        case.scheduler.advance(ms(600))
    case.deliver([], 10)
    events = [event for event, _ in case.journal.lines]
    assert events.count("store_lost") == 1
    assert events.count("store_regained") == 1


def test_waits_after_a_change_are_unequal_so_that_proofs_spread():
    waits = set()
    for seed in range(20):
        case = _Case(seed)
        case.deliver([], 10)
        waits.add(case.client.watches[0][2])
        assert case.client.watches[1][2] == store_watcher.WATCH_TIME
    assert len(waits) > 10
    assert max(waits) - min(waits) > ms(500)


def test_unforeseen_error_is_logged_and_following_goes_on():
    case = _Case()
    case.client.fail(RuntimeError("unforeseen"))
    event, fields = case.journal.lines[-1]
    assert (event, fields["error"]) == ("error", "unforeseen")
    case.scheduler.advance(ms(500) + _REST)
    assert case.client.reads == 2
    assert len(case.client.watches) == 2


def test_vms_are_told_with_their_addresses():
    case = _Case()
    case.deliver([
        documents.make_item("vms/edge-2", b"192.0.2.7:8229", 11),
        store_client.Item("vms/edge-3", None, 12)
    ], 12)
    assert case.vms == {"edge-2": b"192.0.2.7:8229", "edge-3": None}
