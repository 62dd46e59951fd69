"""Claims over a service whose calls fail in every way."""

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
ANSWER = claims.StoredResponse(status=200,
                             headers=(("x", "y"),),
                             content_type="text/plain",
                             body=b"posted")


class Bench:
    """Stores of several VMs over one service in virtual time."""

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

    def finish(self, coroutine):
        """Runs a coroutine in virtual time and returns its result."""
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
        return self.finish(store.acquire("org", "key", fingerprint, attempt_id))


def test_stores_answer_in_two_writes():
    bench = Bench()
    store = bench.make_store()
    assert bench.acquire(store, "a").verdict is VERDICT.ACQUIRED
    bench.finish(store.complete("a", ANSWER))
    assert bench.service.writes == 2 and bench.service.grants == 1
    answer = bench.acquire(bench.make_store("vm2"), "b")
    assert answer.verdict is VERDICT.COMPLETED
    assert answer.answer == ANSWER


def test_long_answer_is_completed_without_body():
    bench = Bench()
    store = bench.make_store()
    bench.acquire(store, "a")
    long = claims.StoredResponse(status=200,
                               headers=(),
                               content_type="text/plain",
                               body=b"x" * (256 * 1024 + 1))
    bench.finish(store.complete("a", long))
    answer = bench.acquire(store, "b")
    assert answer.verdict is VERDICT.COMPLETED and answer.answer is None


def test_other_fingerprint_is_a_reused_key():
    bench = Bench()
    store = bench.make_store()
    bench.acquire(store, "a")
    assert bench.acquire(store, "b", "g").verdict is VERDICT.KEY_REUSED


def test_dead_holder_is_never_taken_over():
    bench = Bench()
    bench.acquire(bench.make_store("vm1"), "a")
    other = bench.make_store("vm2")
    answer = bench.acquire(other, "b")
    assert answer.verdict is VERDICT.IN_PROGRESS
    assert answer.holder == "vm1" and answer.retry_after
    bench.advance(11 * 60)
    assert bench.acquire(other, "c").verdict is VERDICT.OUTCOME_UNKNOWN
    bench.advance(20 * 3600, step=600)
    assert bench.acquire(other, "d").verdict is VERDICT.OUTCOME_UNKNOWN


def test_lost_answer_is_read_back():
    bench = Bench()
    store = bench.make_store()
    bench.service.faults.extend(["done"])
    assert bench.acquire(store, "a").verdict is VERDICT.ACQUIRED
    assert bench.acquire(store, "b").verdict is VERDICT.IN_PROGRESS


def test_late_effect_of_given_up_claim_is_removed():
    bench = Bench()
    store = bench.make_store()
    bench.service.faults.append("late")
    bench.service.read_faults.extend(["down"] * 40)
    answer = bench.acquire(store, "a")
    assert answer.verdict is VERDICT.UNAVAILABLE and answer.retry_after
    bench.service.read_faults.clear()
    bench.service.land()
    assert bench.acquire(store, "b").verdict is VERDICT.IN_PROGRESS
    bench.advance(30)
    assert not bench.service.values
    assert bench.acquire(store, "c").verdict is VERDICT.ACQUIRED


def test_outage_refuses_at_once_with_retry_after():
    bench = Bench()
    bench.service.is_down = True
    answer = bench.acquire(bench.make_store(), "a")
    assert answer.verdict is VERDICT.UNAVAILABLE and answer.retry_after


def test_rate_limit_of_service_is_passed_on():
    bench = Bench()
    bench.service.faults.append("limited")
    answer = bench.acquire(bench.make_store(), "a")
    assert answer.verdict is VERDICT.UNAVAILABLE
    assert answer.retry_after == datetime.timedelta(seconds=7)


def test_own_write_limit_refuses_before_a_write():
    bench = Bench()
    limit = claimstore.WriteRateLimiter(rate=1.0, burst=2.0)
    store = bench.make_store(limit=limit)
    bench.acquire(store, "a")
    answer = bench.acquire(store, "b")
    assert answer.verdict is VERDICT.UNAVAILABLE and answer.retry_after
    assert bench.service.writes == 1


def test_completion_survives_an_outage():
    bench = Bench()
    store = bench.make_store()
    bench.acquire(store, "a")
    bench.service.is_down = True
    bench.finish(store.complete("a", ANSWER))
    bench.advance(60)
    bench.service.is_down = False
    bench.advance(30)
    assert bench.acquire(store, "b").verdict is VERDICT.COMPLETED


def test_released_claim_can_be_acquired():
    bench = Bench()
    store = bench.make_store()
    bench.acquire(store, "a")
    bench.service.faults.append("done")
    bench.finish(store.release("a"))
    bench.advance(5)
    assert bench.acquire(store, "b").verdict is VERDICT.ACQUIRED
    bench.finish(store.release("a"))
    assert bench.acquire(store, "c").verdict is VERDICT.IN_PROGRESS


def test_holder_paused_past_retention_changes_nothing():
    bench = Bench()
    old = bench.make_store("vm1")
    bench.acquire(old, "a")
    bench.service.end_lease("lease1")
    new = bench.make_store("vm2")
    assert bench.acquire(new, "b").verdict is VERDICT.ACQUIRED
    bench.finish(new.complete("b", ANSWER))
    late = claims.StoredResponse(status=500,
                               headers=(),
                               content_type="text/plain",
                               body=b"late")
    bench.finish(old.complete("a", late))
    bench.advance(30)
    assert bench.acquire(new, "c").answer == ANSWER


def test_pause_within_the_claim_write_gives_it_up():
    bench = Bench()
    store = bench.make_store()
    put = bench.service.put

    async def put_slowly(*args, **kwargs):
        bench.clock.advance(datetime.timedelta(hours=24))
        return await put(*args, **kwargs)

    bench.service.put = put_slowly
    assert bench.acquire(store, "a").verdict is VERDICT.UNAVAILABLE
    bench.advance(5)
    assert not bench.service.values


def test_claims_of_an_hour_share_a_lease():
    bench = Bench()
    store = bench.make_store()
    for hour in range(3):
        for n in range(4):
            key = f"{hour}.{n}"
            bench.finish(store.acquire("org", key, "f", key))
        bench.advance(3600, step=60)
    assert bench.service.grants == 3


def test_ended_lease_is_replaced():
    bench = Bench()
    store = bench.make_store()
    bench.acquire(store, "a")
    bench.service.end_lease("lease1")
    assert bench.acquire(store, "b").verdict is VERDICT.UNAVAILABLE
    assert bench.acquire(store, "c").verdict is VERDICT.ACQUIRED


FAULT = strategies.sampled_from(["", "", "lost", "done", "late", "down"])


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(faults=strategies.lists(FAULT, max_size=12),
                  reads=strategies.lists(strategies.sampled_from(["", "down"]),
                                         max_size=8),
                  landings=strategies.lists(strategies.booleans(),
                                            min_size=5,
                                            max_size=5))
def test_any_faults_acquire_at_most_once(faults, reads, landings):
    bench = Bench()
    bench.service.faults.extend(faults)
    bench.service.read_faults.extend(reads)
    stores = [bench.make_store("vm1"), bench.make_store("vm2")]
    sent = 0
    for n, lands in enumerate(landings):
        answer = bench.acquire(stores[n % 2], f"a{n}")
        sent += answer.verdict is VERDICT.ACQUIRED
        if lands:
            bench.service.land()
        bench.advance(2)
    assert sent <= 1
