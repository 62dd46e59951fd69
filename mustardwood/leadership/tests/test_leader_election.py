"""Tests of the election without I/O; each names the failure it is about."""

import datetime

import pytest

from mustardwood import leadership
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_ERA = 3
_TIMES = leadership.ElectionTimes.from_bound(ms(3000), ms(500))
_NEVER = datetime.timedelta.max


class _Election:
    """An election whose commands the test answers, among VMs a, b and c."""

    def __init__(self, vm="a"):
        self.vm = vm
        self.clock = timing.ManualClock()
        self.journal = harness_module.FakeJournal()
        self.order = leadership.CandidateOrder()
        self.order.set_registrations({"a": (_ERA, 1)})
        self.machine = leadership.LeaderElection(vm, self.clock, _TIMES,
                                                 self.order, self.journal)
        self.sent = []

    @property
    def now(self):
        """Present monotonic time."""
        return self.clock.monotonic()

    @property
    def term(self):
        """The VM's own term, if it may act."""
        return self.machine.find_term()

    @property
    def ended(self):
        """Reasons of the ends of terms."""
        return list(self.machine.ended_terms.elements())

    def do(self, event, *arguments):
        """Reports an event; returns the commands."""
        commands = getattr(self.machine, event)(*arguments)
        self.sent += commands
        return commands

    def run(self, span):
        """Lets time pass, and wakes the election whenever it asks for it."""
        until = self.now + span
        sent = []
        while self.machine.wake_at <= until:
            self.clock.advance(max(self.machine.wake_at - self.now, ms(0)))
            sent += self.do("check_time")
        self.clock.advance(until - self.now)
        return sent

    def run_to_grant(self, limit=ms(10_000)):
        """Lets time pass until the VM asks for a lease; returns that command.
        """
        until = self.now + limit
        while self.now < until:
            for command in self.run(ms(10)):
                if isinstance(command, leadership.GrantLease):
                    return command
        raise AssertionError("no lease was requested")

    def show(self, holder, revision, lease_id=0, era=_ERA):
        """Reports a change of the key."""
        key = leadership.LeaderKey(holder, lease_id, era, revision)
        return self.do("show_change", key, era, revision)

    def acquire(self, revision=20, lease_id=7):
        """Lets the VM acquire the term from the beginning."""
        self.do("show_listing", None, _ERA, 10)
        grant, = self.run(_TIMES.lease)
        write, = self.do("receive_lease", grant, lease_id, _ERA)
        self.do("receive_write", write, revision)
        assert self.machine.phase is leadership.ElectionPhase.HOLDING
        return grant, write

    def renew(self):
        """Answers renewals for a time, so that all waits are over."""
        for _ in range(6):
            for command in self.run(_TIMES.renewal_interval):
                assert isinstance(command, leadership.RenewLease)
                self.do("receive_renewal", command)
        assert self.term is not None


def _list_kinds(commands):
    return [type(each) for each in commands]


def _make_holder():
    election = _Election()
    election.acquire()
    election.renew()
    election.sent.clear()
    return election


def test_token_is_era_and_revision_of_the_acquiring_write():
    """Revisions are reused after a restore, so they are no token alone."""
    election = _make_holder()
    assert election.term.token == 3 * 2**40 + 20
    assert election.machine.token == election.term.token
    assert election.machine.holder == election.term.holder == "a"


def test_lease_is_counted_from_before_the_renewal_was_sent():
    """An answer that was delayed must not prolong the term."""
    election = _make_holder()
    renewal = election.run(_TIMES.renewal_interval)[0]
    election.clock.advance(ms(400))
    election.do("receive_renewal", renewal)
    assert election.term.expires_at == renewal.sent_at + ms(2500)


def test_term_expires_before_the_lease_without_any_event():
    """A frozen holder must stop although none of its timers ran."""
    election = _make_holder()
    expires_at = election.term.expires_at
    election.clock.advance(expires_at - election.now - ms(1))
    assert election.term is not None
    election.clock.advance(ms(1))
    assert election.term is None


def test_answer_that_arrives_after_the_expiry_does_not_revive_the_term():
    """A frozen VM may find a renewal's answer when it is resumed."""
    election = _make_holder()
    renewal = election.run(_TIMES.renewal_interval)[0]
    election.clock.advance(ms(20_000))
    commands = election.do("receive_renewal", renewal)
    assert election.term is None
    assert _list_kinds(commands) == [leadership.EndLease]
    assert election.ended == ["expired"]


def test_expired_term_stays_expired_although_its_lease_was_renewed():
    """A VM that was suspended at the end of its term may not have noticed.

    Others may have seen that it had no term.
    """
    election = _make_holder()
    renewals = []
    while len(renewals) < 3:
        renewals += election.run(_TIMES.renewal_interval)
    election.clock.advance(ms(400))
    assert election.term is None
    election.do("receive_renewal", renewals[-1])
    assert election.term is None
    assert election.ended == ["expired"]


def test_lost_renewals_end_the_term_and_the_lease():
    """A holder cut off in one direction would keep the key without acting."""
    election = _make_holder()
    commands = election.run(ms(3000))
    assert _list_kinds(
        commands) == 3 * [leadership.RenewLease] + [leadership.EndLease]
    assert election.ended == ["expired"]
    assert not election.run(ms(20_000))


def test_term_outlives_two_lost_renewals():
    """A store that is slow or loses single answers does not move the term."""
    election = _make_holder()
    for _ in range(20):
        for lose in ("lose_call", "lose_call", "receive_renewal"):
            for command in election.run(_TIMES.renewal_interval):
                election.do(lose, command)
            assert election.term is not None
    assert not election.ended


def test_term_outlives_answers_that_take_half_a_second():
    """A store slowed down a hundredfold answers after 0.4 s."""
    election = _make_holder()
    pending = []
    for _ in range(200):
        pending += election.run(ms(50))
        while pending and election.now - pending[0].sent_at >= ms(500):
            election.do("receive_renewal", pending.pop(0))
        assert election.term is not None


def test_successor_does_not_act_while_a_call_may_be_in_flight():
    """A call of the predecessor would arrive after one with a higher token."""
    election = _Election("a")
    election.do("show_listing", None, _ERA, 10)
    election.show("b", 11)
    election.run(ms(10_000))
    grant, = election.do("show_change", None, _ERA, 12)
    write, = election.do("receive_lease", grant, 7, _ERA)
    election.do("receive_write", write, 13)
    assert election.machine.holder == "a"
    assert election.term is None
    election.clock.advance(leadership.MAX_CALL_TIME - ms(1))
    assert election.term is None
    election.clock.advance(ms(1))
    assert election.term is not None


def test_killed_holder_is_replaced_within_five_seconds():
    """The lease and the wait of the successor bound the vacancy."""
    assert _TIMES.lease + _TIMES.call + _TIMES.stagger < ms(5000)


def test_only_the_first_candidate_calls_and_the_next_one_follows():
    """80 VMs that call at the same time would cost 160 calls."""
    elections = []
    for vm in ("a", "b", "c"):
        election = _Election(vm)
        election.order.set_registrations({
            each: (_ERA, number) for number, each in enumerate("dabc", 1)
        })
        election.do("show_listing", None, _ERA, 10)
        election.show("d", 11)
        election.run(ms(10_000))
        elections.append(election)
    elections.sort(key=lambda each: each.order.find_rank(each.vm, "d"))
    first, second, third = elections[0], elections[1], elections[2]
    assert _list_kinds(first.do("show_change", None, _ERA,
                                12)) == [leadership.GrantLease]
    assert not second.do("show_change", None, _ERA, 12)
    assert not third.do("show_change", None, _ERA, 12)
    assert not second.run(_TIMES.stagger - ms(1))
    # The first one is silent.
    assert _list_kinds(second.run(ms(1))) == [leadership.GrantLease]
    assert not third.run(_TIMES.stagger)
    third.show("b", 13)
    assert not third.run(ms(20_000))


def test_former_holder_waits_after_another_vm_has_held_the_term():
    """VMs must not act in the order A, B, A within that time."""
    election = _make_holder()
    election.do("end_term", "token_refused")
    election.do("show_change", None, _ERA, 21)
    election.show("b", 22)
    election.run(ms(10_000))
    assert not election.do("show_change", None, _ERA, 23)
    assert not election.run(_TIMES.exclusion - ms(1))
    assert _list_kinds(election.run(ms(1))) == [leadership.GrantLease]


def test_former_holder_waits_if_the_watch_skipped_another_holder():
    """VMs act in the order A, B, A if the watch shows only the last event.

    B has acquired the term after A had ended its own, and has ended it.
    """
    election = _make_holder()
    election.run(_TIMES.lease - _TIMES.margin + _TIMES.call)
    assert election.ended == ["expired"]
    assert not election.do("show_change", None, _ERA, 23)
    assert not election.run(_TIMES.exclusion - ms(1))
    assert _list_kinds(election.run(ms(1))) == [leadership.GrantLease]


def test_former_holder_does_not_wait_after_the_end_of_its_own_lease():
    """A deployment with one VM would lose seconds with each lost term."""
    election = _make_holder()
    commands = election.run(_TIMES.lease)
    assert _list_kinds(commands)[-1] is leadership.EndLease
    commands = election.do("show_change", None, _ERA, 21)
    assert _list_kinds(commands) == [leadership.GrantLease]


def test_attempt_of_a_former_holder_ends_if_another_term_was_skipped():
    """VMs act in the order A, B, A if a lost write is repeated after B's end.

    The key did not exist when the attempt began, so its removal shows that
    another VM has written it.
    """
    election = _make_holder()
    election.run(_TIMES.lease)
    grant, = election.do("show_change", None, _ERA, 21)
    write, = election.do("receive_lease", grant, 8, _ERA)
    election.do("lose_call", write)
    commands = election.do("show_change", None, _ERA, 23)
    assert commands == (leadership.EndLease(grant.attempt, 8),)
    assert not election.run(_TIMES.exclusion - ms(1))


def test_former_holder_waits_after_a_time_without_knowledge():
    """Another VM may have held the term while this one was cut off."""
    election = _make_holder()
    election.clock.advance(ms(60_000))
    commands = election.do("show_listing", None, _ERA, 40)
    assert leadership.GrantLease not in _list_kinds(commands)
    assert not election.run(_TIMES.exclusion - ms(1))
    assert _list_kinds(election.run(ms(1))) == [leadership.GrantLease]


def test_refused_token_ends_the_term_and_is_not_used_again():
    """A call with a higher token was seen, so another VM acts."""
    election = _make_holder()
    token = election.term.token
    commands = election.do("end_term", "token_refused")
    assert _list_kinds(commands) == [leadership.EndLease]
    assert election.term is None
    assert election.ended == ["token_refused"]
    assert not election.do("show_change", None, _ERA, 21)
    grant, = election.run(_TIMES.exclusion)
    write, = election.do("receive_lease", grant, 8, _ERA)
    election.do("receive_write", write, 22)
    election.renew()
    assert election.term.token > token


def test_stop_ends_the_lease_at_once_and_acquires_nothing_more():
    """A VM that is being replaced must not hold up its successor."""
    election = _make_holder()
    assert _list_kinds(election.do("stop")) == [leadership.EndLease]
    assert election.term is None
    assert election.ended == ["stopped"]
    assert not election.do("show_change", None, _ERA, 21)
    assert not election.run(ms(60_000))


def test_stop_during_an_acquiring_write_ends_its_lease():
    """The write may take effect after the process has stopped."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    election.do("receive_lease", grant, 7, _ERA)
    assert _list_kinds(election.do("stop")) == [leadership.EndLease]


@pytest.mark.parametrize("change", ["removed", "replaced", "lease_lost"])
def test_holder_stops_when_the_store_shows_that_it_does_not_hold(change):
    """Two VMs would believe at the same time that they hold the term."""
    election = _make_holder()
    if change == "removed":
        election.do("show_change", None, _ERA, 30)
    elif change == "replaced":
        election.show("b", 30)
    else:
        renewal = election.run(_TIMES.renewal_interval)[0]
        election.do("lose_lease", renewal)
    assert election.term is None
    assert len(election.ended) == 1
    last_events = [event for event, _ in election.journal.lines[-2:]]
    assert last_events == ["term_ended", "duty_holder"]


def test_older_state_of_the_key_does_not_end_the_term():
    """A listing and a watch may show changes before the acquiring write."""
    election = _make_holder()
    election.show("b", 15)
    election.do("show_change", None, _ERA, 16)
    election.do("show_listing", None, _ERA, 19)
    assert election.term is not None


def test_lost_answer_to_the_write_is_found_in_the_key():
    """The write took effect, but its answer was lost."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    write, = election.do("receive_lease", grant, 7, _ERA)
    election.show("a", 20, lease_id=7)
    election.do("lose_call", write)
    election.renew()
    assert election.term.token == _ERA * 2**40 + 20
    assert leadership.WriteKey not in _list_kinds(election.sent[2:])


def test_lost_write_is_repeated_under_the_same_lease():
    """Whichever of the writes takes effect, the key is under the lease."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    write, = election.do("receive_lease", grant, 7, _ERA)
    election.do("lose_call", write)
    again = [
        each for each in election.run(ms(600))
        if isinstance(each, leadership.WriteKey)
    ]
    assert again == [write]
    # The first one has taken effect, so the second one finds the key changed.
    election.do("receive_write", again[0], None)
    election.show("a", 20, lease_id=7)
    assert election.machine.holder == "a"


def _answer_without_watch(election, span):
    """Refuses all writes 1 ms later and answers the other commands.

    Returns:
        The commands that the election sent.
    """
    until = election.now + span
    sent = []
    pending = election.run(ms(0))
    while election.now < until:
        sent += pending
        election.clock.advance(ms(1))
        answers = []
        for command in pending:
            if isinstance(command, leadership.WriteKey):
                answers += election.do("receive_write", command, None)
            elif isinstance(command, leadership.RenewLease):
                answers += election.do("receive_renewal", command)
            elif isinstance(command, leadership.GrantLease):
                answers += election.do("receive_lease", command, 8, _ERA)
        pending = (*answers, *election.run(ms(0)))
    return sent


def test_refused_repeat_of_a_lost_write_is_not_repeated():
    """A repeat after each refusal made 9,500 calls in 10 s at 1 ms each.

    The refusal shows that the key has changed, and the watch is late.
    """
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    write, = election.do("receive_lease", grant, 7, _ERA)
    election.do("lose_call", write)
    election.clock.advance(ms(500))
    sent = _list_kinds(_answer_without_watch(election, ms(2500)))
    assert 1 <= sent.count(leadership.WriteKey) <= 4
    assert leadership.RenewLease in sent


def test_attempt_with_a_refused_write_ends_if_the_watch_shows_nothing():
    """A key under the own lease would be kept without a term for good."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    write, = election.do("receive_lease", grant, 7, _ERA)
    election.do("lose_call", write)
    election.clock.advance(ms(500))
    sent = _answer_without_watch(election, ms(20_000))
    kinds = _list_kinds(sent)
    assert leadership.EndLease(grant.attempt, 7) in sent
    assert kinds.count(leadership.WriteKey) <= 8


def test_late_write_of_an_abandoned_attempt_does_not_begin_a_term():
    """Its lease is not renewed, so another VM soon gets the key."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    write, = election.do("receive_lease", grant, 7, _ERA)
    election.do("lose_call", write)
    for command in election.run(ms(4000)):
        election.do("lose_call", command)
    election.show("a", 20, lease_id=7)
    assert election.term is None
    assert election.machine.holder == ""
    election.do("show_change", None, _ERA, 21)
    grant = election.run_to_grant()
    write, = election.do("receive_lease", grant, 9, _ERA)
    assert write.expected_revision == 0


def test_late_write_under_an_older_lease_does_not_begin_a_term():
    """The older lease ends in the store while the present one is renewed."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    write, = election.do("receive_lease", grant, 7, _ERA)
    election.do("lose_call", write)
    grant = election.run_to_grant()
    election.do("receive_lease", grant, 9, _ERA)
    election.show("a", 20, lease_id=7)
    assert election.machine.holder == ""
    assert election.machine.phase is leadership.ElectionPhase.WAITING


def test_key_of_this_vm_that_nobody_renews_is_replaced():
    """After a restore, a late write may be under the lease of another VM."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    election.show("a", 20, lease_id=99)
    assert not election.run(_TIMES.lease)
    grant, = election.run(_TIMES.call)
    write, = election.do("receive_lease", grant, 7, _ERA)
    assert write.expected_revision == 20


def test_another_vm_that_was_first_wins():
    """Two VMs wrote at the same time; the condition holds for one of them."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    write, = election.do("receive_lease", grant, 7, _ERA)
    assert not election.do("receive_write", write, None)
    election.show("b", 20)
    assert election.machine.holder == "b"
    assert not election.run(ms(20_000))


def test_restore_ends_the_term_which_is_acquired_again_with_a_higher_token():
    """The store has lost the lease and gives revisions out again."""
    election = _make_holder()
    token = election.term.token
    election.do("change_era")
    assert election.term is None
    assert election.ended == ["store_restored"]
    # The copy is older than the acquiring write.
    grant, = election.do("show_listing", None, _ERA + 1, 12)
    write, = election.do("receive_lease", grant, 5, _ERA + 1)
    election.do("receive_write", write, 13)
    assert election.term is None
    election.renew()
    assert election.term.token == (_ERA + 1) * 2**40 + 13 > token


def test_copy_of_the_own_key_is_replaced_after_a_restore():
    """The copied key is under a lease that may belong to another VM."""
    election = _make_holder()
    election.do("change_era")
    copied = leadership.LeaderKey("a", 7, _ERA + 1, 20)
    grant, = election.do("show_listing", copied, _ERA + 1, 25)
    write, = election.do("receive_lease", grant, 9, _ERA + 1)
    assert write.expected_revision == 20


def test_former_holder_that_reads_a_restored_store_late_waits_like_others():
    """Another VM may have held the term since its own lease has ended."""
    election = _make_holder()
    expires_at = election.term.expires_at
    election.do("change_era")
    election.clock.advance(expires_at - election.now)
    assert not election.do("show_listing", None, _ERA + 1, 12)
    assert not election.run(_TIMES.lease - ms(1))


def test_restore_ends_no_lease():
    """Its id may belong to another VM now."""
    election = _make_holder()
    assert not election.do("change_era")
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    election.do("receive_lease", grant, 7, _ERA)
    assert not election.do("change_era")


def test_others_wait_after_a_restore_until_a_lost_lease_has_ended():
    """The holder acts until it learns of the restore."""
    election = _Election("a")
    election.do("show_listing", None, _ERA, 10)
    election.show("b", 11)
    election.run(ms(10_000))
    election.do("change_era")
    assert not election.do("show_listing", None, _ERA + 1, 8)
    assert not election.run(_TIMES.lease - ms(1))
    assert _list_kinds(election.run(ms(1))) == [leadership.GrantLease]


def test_vm_that_starts_waits_for_leases_that_it_does_not_know():
    """The store may have been restored just before."""
    election = _Election()
    assert not election.do("show_listing", None, _ERA, 10)
    assert not election.run(_TIMES.lease - ms(1))
    assert _list_kinds(election.run(ms(1))) == [leadership.GrantLease]


def test_answers_of_an_earlier_era_are_ignored():
    """A lease's id of an earlier era may belong to another VM."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    election.do("change_era")
    election.do("show_listing", None, _ERA + 1, 8)
    assert not election.do("receive_lease", grant, 7, _ERA)
    assert election.machine.phase is leadership.ElectionPhase.WAITING


def test_unavailable_store_is_called_less_and_less():
    """80 VMs must not add to the load of a store in trouble."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    calls = 0
    for _ in range(600):
        for command in election.run(ms(100)):
            calls += 1
            election.do("lose_call", command)
    assert 12 <= calls <= 20


def test_delay_that_the_store_asks_for_is_kept():
    """A rate limit refused the call."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    grant, = election.run(_TIMES.lease)
    election.do("lose_call", grant, ms(2500))
    assert not election.run(ms(2499))
    assert _list_kinds(election.run(ms(1))) == [leadership.GrantLease]


def test_each_change_of_the_holder_is_logged_once():
    """Operators follow the term through the logs."""
    election = _Election()
    election.do("show_listing", None, _ERA, 10)
    election.show("b", 11)
    election.show("b", 11)
    election.do("show_change", None, _ERA, 12)
    assert election.journal.lines == [
        ("duty_holder", {
            "holder": "b",
            "token": _ERA * 2**40 + 11,
            "previous": ""
        }),
        ("duty_holder", {
            "holder": "",
            "token": 0,
            "previous": "b"
        }),
    ]


def test_nothing_is_done_before_the_store_was_read():
    """A VM that does not know the key must not acquire the term."""
    election = _Election()
    assert election.machine.wake_at == _NEVER
    assert not election.show("b", 11)
    assert not election.run(ms(60_000))
