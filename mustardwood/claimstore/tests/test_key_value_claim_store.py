"""Tests of the claim store over a key-value service that fails."""

import datetime

import hypothesis
from hypothesis import strategies
from twisted.internet import defer
from twisted.internet import task

from mustardwood import claims
from mustardwood import claimstore
from mustardwood import timing
from mustardwood.claimstore.tests import scripted_service

VERDICT = claims.ClaimVerdict
RESPONSE = claims.StoredResponse(status=200,
                                 headers=(("x", "y"),),
                                 content_type="text/plain",
                                 body=b"posted")


class Harness:
    """Claim stores of several VMs on one service, in virtual time."""

    def __init__(self) -> None:
        self.service = scripted_service.ScriptedService()
        self.clock = timing.ManualClock()
        self.timer = task.Clock()

    def make_store(self, vm="vm1", limit=None):
        return claimstore.KeyValueClaimStore.from_service(self.service,
                                                          self.clock,
                                                          vm,
                                                          limit=limit,
                                                          timer=self.timer)

    def advance(self, seconds, step=0.5):
        for _ in range(int(seconds / step)):
            self.clock.advance(datetime.timedelta(seconds=step))
            self.timer.advance(step)

    def run_to_end(self, coroutine):
        """Returns a coroutine's result after at most 20 s of virtual time."""
        deferred = defer.ensureDeferred(coroutine)
        for _ in range(40):
            if deferred.called:
                break
            self.advance(0.5)
        results = []
        deferred.addCallback(results.append)
        assert results, "the call did not end"
        return results[0]

    def acquire(self, store, attempt_id, fingerprint="f"):
        return self.run_to_end(
            store.acquire("org", "key", fingerprint, attempt_id))


def test_completed_claim_returns_stored_response_after_two_writes():
    harness = Harness()
    store = harness.make_store()
    assert harness.acquire(store, "a").verdict is VERDICT.ACQUIRED
    harness.run_to_end(store.complete("a", RESPONSE))
    assert harness.service.writes == 2 and harness.service.grants == 1
    result = harness.acquire(harness.make_store("vm2"), "b")
    assert result.verdict is VERDICT.COMPLETED
    assert result.answer == RESPONSE


def test_response_over_256_kib_is_completed_without_the_response():
    harness = Harness()
    store = harness.make_store()
    harness.acquire(store, "a")
    long_response = claims.StoredResponse(status=200,
                                          headers=(),
                                          content_type="text/plain",
                                          body=b"x" * (256 * 1024 + 1))
    harness.run_to_end(store.complete("a", long_response))
    result = harness.acquire(store, "b")
    assert result.verdict is VERDICT.COMPLETED and result.answer is None


def test_same_key_with_other_fingerprint_is_key_reused():
    harness = Harness()
    store = harness.make_store()
    harness.acquire(store, "a")
    assert harness.acquire(store, "b", "g").verdict is VERDICT.KEY_REUSED


def test_claim_of_dead_holder_is_never_taken_over():
    harness = Harness()
    harness.acquire(harness.make_store("vm1"), "a")
    other = harness.make_store("vm2")
    result = harness.acquire(other, "b")
    assert result.verdict is VERDICT.IN_PROGRESS
    assert result.holder == "vm1" and result.retry_after
    harness.advance(11 * 60)
    assert harness.acquire(other, "c").verdict is VERDICT.OUTCOME_UNKNOWN
    harness.advance(20 * 3600, step=600)
    assert harness.acquire(other, "d").verdict is VERDICT.OUTCOME_UNKNOWN


def test_create_whose_response_was_lost_is_read_back():
    harness = Harness()
    store = harness.make_store()
    harness.service.faults.extend(["done"])
    assert harness.acquire(store, "a").verdict is VERDICT.ACQUIRED
    assert harness.acquire(store, "b").verdict is VERDICT.IN_PROGRESS


def test_record_of_a_late_create_is_deleted_after_giving_up():
    harness = Harness()
    store = harness.make_store()
    harness.service.faults.append("late")
    harness.service.read_faults.extend(["down"] * 40)
    result = harness.acquire(store, "a")
    assert result.verdict is VERDICT.UNAVAILABLE and result.retry_after
    harness.service.read_faults.clear()
    harness.service.apply_late_writes()
    assert harness.acquire(store, "b").verdict is VERDICT.IN_PROGRESS
    harness.advance(30)
    assert not harness.service.values
    assert harness.acquire(store, "c").verdict is VERDICT.ACQUIRED


def test_outage_refuses_claim_with_retry_after():
    harness = Harness()
    harness.service.is_down = True
    result = harness.acquire(harness.make_store(), "a")
    assert result.verdict is VERDICT.UNAVAILABLE and result.retry_after


def test_retry_after_of_the_services_rate_limit_is_returned():
    harness = Harness()
    harness.service.faults.append("limited")
    result = harness.acquire(harness.make_store(), "a")
    assert result.verdict is VERDICT.UNAVAILABLE
    assert result.retry_after == datetime.timedelta(seconds=7)


def test_own_rate_limit_refuses_claim_without_a_write():
    harness = Harness()
    limit = claimstore.WriteRateLimiter(rate=1.0, burst=2.0)
    store = harness.make_store(limit=limit)
    harness.acquire(store, "a")
    result = harness.acquire(store, "b")
    assert result.verdict is VERDICT.UNAVAILABLE and result.retry_after
    assert harness.service.writes == 1


def test_completion_is_retried_until_the_outage_ends():
    harness = Harness()
    store = harness.make_store()
    harness.acquire(store, "a")
    harness.service.is_down = True
    harness.run_to_end(store.complete("a", RESPONSE))
    harness.advance(60)
    harness.service.is_down = False
    harness.advance(30)
    assert harness.acquire(store, "b").verdict is VERDICT.COMPLETED


def test_released_claim_can_be_acquired_again():
    harness = Harness()
    store = harness.make_store()
    harness.acquire(store, "a")
    harness.service.faults.append("done")
    harness.run_to_end(store.release("a"))
    harness.advance(5)
    assert harness.acquire(store, "b").verdict is VERDICT.ACQUIRED
    # Attempt "a" no longer holds the claim, so this must not release "b".
    harness.run_to_end(store.release("a"))
    assert harness.acquire(store, "c").verdict is VERDICT.IN_PROGRESS


def test_holder_paused_past_claim_expiry_does_not_overwrite_new_claim():
    harness = Harness()
    old = harness.make_store("vm1")
    harness.acquire(old, "a")
    harness.service.end_lease("lease1")
    new = harness.make_store("vm2")
    assert harness.acquire(new, "b").verdict is VERDICT.ACQUIRED
    harness.run_to_end(new.complete("b", RESPONSE))
    late_response = claims.StoredResponse(status=500,
                                          headers=(),
                                          content_type="text/plain",
                                          body=b"late")
    harness.run_to_end(old.complete("a", late_response))
    harness.advance(30)
    assert harness.acquire(new, "c").answer == RESPONSE


def test_claim_written_during_a_24_h_pause_is_released():
    harness = Harness()
    store = harness.make_store()
    put = harness.service.put

    async def put_slowly(*args, **kwargs):
        harness.clock.advance(datetime.timedelta(hours=24))
        return await put(*args, **kwargs)

    harness.service.put = put_slowly
    assert harness.acquire(store, "a").verdict is VERDICT.UNAVAILABLE
    harness.advance(5)
    assert not harness.service.values


def test_claims_of_an_hour_share_a_lease():
    harness = Harness()
    store = harness.make_store()
    for hour in range(3):
        for number in range(4):
            key = f"{hour}.{number}"
            harness.run_to_end(store.acquire("org", key, "f", key))
        harness.advance(3600, step=60)
    assert harness.service.grants == 3


def test_ended_lease_is_replaced_for_the_next_claim():
    harness = Harness()
    store = harness.make_store()
    harness.acquire(store, "a")
    harness.service.end_lease("lease1")
    assert harness.acquire(store, "b").verdict is VERDICT.UNAVAILABLE
    assert harness.acquire(store, "c").verdict is VERDICT.ACQUIRED


FAULTS = strategies.sampled_from(["", "", "lost", "done", "late", "down"])


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(faults=strategies.lists(FAULTS, max_size=12),
                  reads=strategies.lists(strategies.sampled_from(["", "down"]),
                                         max_size=8),
                  late_write_choices=strategies.lists(strategies.booleans(),
                                                      min_size=5,
                                                      max_size=5))
def test_any_sequence_of_faults_acquires_claim_at_most_once(
        faults, reads, late_write_choices):
    harness = Harness()
    harness.service.faults.extend(faults)
    harness.service.read_faults.extend(reads)
    stores = [harness.make_store("vm1"), harness.make_store("vm2")]
    acquired_count = 0
    for number, applies_late_writes in enumerate(late_write_choices):
        result = harness.acquire(stores[number % 2], f"a{number}")
        acquired_count += result.verdict is VERDICT.ACQUIRED
        if applies_late_writes:
            harness.service.apply_late_writes()
        harness.advance(2)
    assert acquired_count <= 1
