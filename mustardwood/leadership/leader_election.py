"""Election of the VM that holds the term, without I/O."""

import collections
import datetime

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.leadership import candidate_order
from mustardwood.leadership import election_command
from mustardwood.leadership import election_phase
from mustardwood.leadership import election_times
from mustardwood.leadership import leader_key
from mustardwood.leadership import term as term_module

_MIN_RETRY_DELAY = datetime.timedelta(milliseconds=500)
"""Delay after the first failed call of an attempt; it doubles each time."""
_MAX_RETRY_DELAY = datetime.timedelta(seconds=4)
"""Longest delay between two attempts while the store is unavailable."""
_MAX_PENDING_RENEWALS = 3
"""Number of renewals without an answer at which no further one is sent.

A store that cannot be reached, or whose answers are lost, would otherwise keep
the lease of a holder that has already stopped.
"""
_NEVER = datetime.timedelta.max

Commands = tuple[election_command.ElectionCommand, ...]
Phase = election_phase.ElectionPhase


class LeaderElection:
    """Decides when this VM acquires, renews and ends a term.

    The key in the store decides who holds the term. Failures: a holder that is
    killed, frozen or cut off stops before its lease ends in the store, since
    the lease is counted from before the renewal was sent; a write without an
    answer is recognised by its lease when the key shows it; a restored store
    has lost leases that holders still rely on, so other VMs wait until those
    have ended.

    Events are methods that return the commands to carry out. `wake_at` is the
    time at which `check_time` must be called next.

    Attributes:
        phase: What this VM does at present.
        ended_terms: Number of own terms that ended, by reason.
    """

    def __init__(self, vm: str, clock: timing.Clock,
                 times: election_times.ElectionTimes,
                 order: candidate_order.CandidateOrder,
                 journal: dispatch.Journal) -> None:
        """Creates an election in which this VM knows nothing yet.

        Args:
            vm: Name of this VM.
            clock: Its monotonic time must include the time of suspensions.
            times: Times of the election.
            order: Order of the candidates.
            journal: Logs changes of the holder and ends of own terms.
        """
        self._vm = vm
        self._clock = clock
        self._times = times
        self._order = order
        self._journal = journal
        self.phase = Phase.WAITING
        self.ended_terms: collections.Counter[str] = collections.Counter()
        # What the store has shown.
        self._key: leader_key.LeaderKey | None = None
        self._position = (-1, -1)
        self._is_known = False
        self._holder = ""
        self._last_holder = ""
        # When this VM may acquire the term, and when the term may act.
        self._vacant_since = _NEVER
        self._era_floor = datetime.timedelta()
        self._excluded_until = clock.monotonic() + times.exclusion
        self._retry_at = datetime.timedelta()
        self._quiet_until = datetime.timedelta()
        self._reacquire_until = datetime.timedelta()
        self._was_holder = False
        # The present attempt.
        self._attempt = 0
        self._lease_id = 0
        self._lease_from = datetime.timedelta()
        self._renewal_at = _NEVER
        self._pending_renewals = 0
        self._failures = 0
        self._is_write_pending = False
        self._was_write_lost = False
        self._refused_at: datetime.timedelta | None = None
        self._acquired_at = datetime.timedelta()
        self._ended_at = datetime.timedelta()
        self._term_token = 0

    @property
    def holder(self) -> str:
        """VM that holds the term as far as is known; empty if none is known."""
        return self._holder

    @property
    def token(self) -> int:
        """Fencing token of the term that is held as far as is known, or 0."""
        if not self._holder or self._key is None:
            return 0
        return self._key.token

    def find_term(self) -> term_module.Term | None:
        """Returns this VM's own term; None if it must not act now."""
        now = self._clock.monotonic()
        if (self.phase is not Phase.HOLDING or
                not self._quiet_until <= now < self._expires_at):
            return None
        return term_module.Term(self._vm, self._term_token, self._expires_at)

    @property
    def wake_at(self) -> datetime.timedelta:
        """Monotonic time at which `check_time` must be called."""
        if self.phase is Phase.WAITING:
            return self._find_acquire_time()
        if self.phase in (Phase.ACQUIRING, Phase.HOLDING):
            times = [self._expires_at]
            if self._may_renew(self._renewal_at):
                times.append(self._renewal_at)
            if self._may_write_again():
                times.append(self._retry_at)
            return min(times)
        return _NEVER

    @property
    def _expires_at(self) -> datetime.timedelta:
        return self._lease_from + self._times.lease - self._times.margin

    # Events: what the store shows.

    def show_listing(self, key: leader_key.LeaderKey | None, era: int,
                     revision: int) -> Commands:
        """Handles the key as it was read, after which changes are watched.

        Changes before that may have been missed.

        Args:
            key: The key; None if it does not exist.
            era: The store's era.
            revision: A revision of the store that the key is not older than.
        """
        commands = self._expire()
        now = self._clock.monotonic()
        if era < self._position[0]:
            return commands
        if era > self._position[0]:
            commands += self.change_era()
            self._start_era(era, now)
        self._is_known = True
        if self.phase in (Phase.GRANTING, Phase.ACQUIRING):
            commands += self._abandon()
        position = (era, revision if key is None else key.revision)
        commands += self._show(key, position)
        if (self._was_holder and self.phase is not Phase.HOLDING and
                now >= self._reacquire_until):
            # Another VM may have held the term in the meantime.
            self._exclude(now)
        return commands + self.check_time()

    def show_change(self, key: leader_key.LeaderKey | None, era: int,
                    revision: int) -> Commands:
        """Handles a change of the key that a watch has shown.

        Args:
            key: The key; None if it was removed.
            era: The store's era.
            revision: Revision of the change.
        """
        commands = self._expire()
        if not self._is_known:
            return commands
        return commands + self._show(key, (era, revision)) + self.check_time()

    def change_era(self) -> Commands:
        """Handles a restore of the store, whose key is not known any more."""
        commands = self._expire()
        self._is_known = False
        if self.phase is Phase.HOLDING:
            # No other VM acquires the term before that time.
            self._reacquire_until = self._expires_at
            self._end("store_restored")
        elif self.phase in (Phase.GRANTING, Phase.ACQUIRING):
            # The lease's id may belong to another VM, so it is not ended.
            self._leave_attempt()
        self._vacant_since = _NEVER
        self._set_holder(None)
        return commands

    # Events: answers to commands.

    def receive_lease(self, command: election_command.GrantLease, lease_id: int,
                      era: int) -> Commands:
        """Handles the answer to a `GrantLease`.

        Args:
            command: The command.
            lease_id: Id of the lease.
            era: The store's era.
        """
        if (not self._is_current(command.attempt, Phase.GRANTING) or
                era != self._position[0]):
            return ()
        self._lease_id = lease_id
        self._lease_from = command.sent_at
        self._renewal_at = command.sent_at + self._times.renewal_interval
        self._pending_renewals = 0
        self.phase = Phase.ACQUIRING
        commands = self._expire()
        if self.phase is Phase.ACQUIRING:
            commands += (self._make_write(),)
        return commands + self.check_time()

    def receive_write(self, command: election_command.WriteKey,
                      revision: int | None) -> Commands:
        """Handles the answer to a `WriteKey`.

        Args:
            command: The command.
            revision: Revision of the write; None if the key had changed.
        """
        commands = self._expire()
        if not self._is_current(command.attempt, Phase.ACQUIRING):
            return commands
        self._is_write_pending = False
        if revision is not None:
            era = self._position[0]
            key = leader_key.LeaderKey(self._vm, self._lease_id, era, revision)
            commands += self._show(key, (era, revision))
        elif self._was_write_lost:
            # The key has changed, perhaps by the write without an answer. The
            # watch shows it soon; a repeat would be refused, too.
            self._refused_at = self._clock.monotonic()
        else:
            # The watch shows soon who was first.
            self._leave_attempt()
            now = self._clock.monotonic()
            self._vacant_since = now + self._times.lease
            if self._was_holder:
                self._exclude(self._vacant_since)
        return commands + self.check_time()

    def receive_renewal(self, command: election_command.RenewLease) -> Commands:
        """Handles the answer to a `RenewLease`."""
        commands = self._expire()
        if command.attempt == self._attempt:
            self._pending_renewals -= 1
            self._lease_from = max(self._lease_from, command.sent_at)
        return commands + self.check_time()

    def lose_lease(self, command: election_command.ElectionCommand) -> Commands:
        """Handles the answer that the lease of a command does not exist."""
        commands = self._expire()
        if command.attempt != self._attempt or isinstance(
                command, election_command.EndLease):
            return commands
        if self.phase is Phase.HOLDING:
            self._end("lease_lost")
            self._set_holder(None)
        elif self.phase is Phase.ACQUIRING:
            self._leave_attempt()
            self._back_off(datetime.timedelta())
        return commands + self.check_time()

    def lose_call(
        self,
        command: election_command.ElectionCommand,
        retry_after: datetime.timedelta = datetime.timedelta()
    ) -> Commands:
        """Handles a command without an answer, which may still take effect.

        Args:
            command: The command.
            retry_after: Time for which the store asked not to be called.
        """
        commands = self._expire()
        if command.attempt != self._attempt:
            return commands
        if isinstance(command, election_command.RenewLease):
            self._pending_renewals -= 1
        elif (isinstance(command, election_command.GrantLease) and
              self.phase is Phase.GRANTING):
            self._leave_attempt()
            self._back_off(retry_after)
        elif (isinstance(command, election_command.WriteKey) and
              self.phase is Phase.ACQUIRING):
            self._is_write_pending = False
            self._was_write_lost = True
            self._back_off(retry_after)
        return commands + self.check_time()

    # Other events.

    def check_time(self) -> Commands:
        """Does what is due."""
        commands = self._expire()
        now = self._clock.monotonic()
        if self.phase in (Phase.ACQUIRING, Phase.HOLDING):
            if now >= self._renewal_at and self._may_renew(now):
                self._renewal_at = now + self._times.renewal_interval
                self._pending_renewals += 1
                commands += (election_command.RenewLease(
                    self._attempt, self._lease_id, now),)
            if self._may_write_again() and now >= self._retry_at:
                commands += (self._make_write(),)
        elif self.phase is Phase.WAITING and now >= self._find_acquire_time():
            self._attempt += 1
            self.phase = Phase.GRANTING
            self._was_write_lost = False
            self._refused_at = None
            commands += (election_command.GrantLease(self._attempt, now,
                                                     self._times.lease),)
        return commands

    def end_term(self, reason: str) -> Commands:
        """Ends this VM's own term; does nothing if it has none.

        This VM does not acquire the next term for a while, so that one for
        which the duties can be carried out gets it.

        Args:
            reason: Reason for the log and the metrics.
        """
        commands = self._expire()
        if self.phase is not Phase.HOLDING:
            return commands
        command = self._make_end()
        self._end(reason)
        self._set_holder(None)
        self._exclude(self._clock.monotonic())
        return (*commands, command)

    def stop(self) -> Commands:
        """Ends this VM's part in the election, since the process stops."""
        commands = self._expire()
        if self.phase is Phase.HOLDING:
            commands += (self._make_end(),)
            self._end("stopped")
            self._set_holder(None)
        elif self.phase is Phase.ACQUIRING:
            commands += (self._make_end(),)
            self._leave_attempt()
        self.phase = Phase.STOPPED
        return commands

    # Decisions.

    def _find_acquire_time(self) -> datetime.timedelta:
        if not self._is_known or self._vacant_since == _NEVER:
            return _NEVER
        if self._clock.monotonic() < self._reacquire_until:
            return max(self._vacant_since, self._retry_at)
        rank = self._order.find_rank(self._vm, self._last_holder)
        return max(
            max(self._vacant_since, self._era_floor) +
            rank * self._times.stagger, self._excluded_until, self._retry_at)

    def _may_write_again(self) -> bool:
        return (self.phase is Phase.ACQUIRING and self._was_write_lost and
                not self._is_write_pending and self._refused_at is None)

    def _may_renew(self, time: datetime.timedelta) -> bool:
        """Returns whether the lease may be renewed at a time.

        If a refused write is not explained by the watch within a lease, the
        attempt ends with its lease.
        """
        return (self._pending_renewals < _MAX_PENDING_RENEWALS and
                (self._refused_at is None or
                 time < self._refused_at + self._times.lease))

    def _start_era(self, era: int, now: datetime.timedelta) -> None:
        """Takes into account what a restored store does not know any more.

        A holder in an earlier era relies on a lease that the store may have
        lost. It got it before the restore, so it has ended a lease from now.
        """
        self._position = (era, -1)
        self._key = None
        self._era_floor = now + self._times.lease
        if now >= self._reacquire_until:
            self._quiet_until = self._era_floor + self._times.call

    def _show(self, key: leader_key.LeaderKey | None,
              position: tuple[int, int]) -> Commands:
        """Applies the newest state of the key, if it is newer."""
        if position <= self._position:
            return ()
        self._position = position
        previous, self._key = self._key, key
        now = self._clock.monotonic()
        if key is None:
            return self._show_vacancy(previous, now)
        if (key.holder == self._vm and key.lease_id == self._lease_id and
                self.phase is Phase.ACQUIRING):
            self._vacant_since = _NEVER
            self._start_term(now)
            return ()
        commands: Commands = ()
        if self.phase is Phase.HOLDING:
            self._end("replaced")
        elif self.phase in (Phase.GRANTING, Phase.ACQUIRING):
            commands = self._abandon()
        self._vacant_since = _NEVER
        if now < self._reacquire_until:
            # The key is a copy of an earlier one, which this VM replaces.
            self._vacant_since = now
        elif key.holder == self._vm:
            # A late write, or one of the process before this one. Its lease is
            # not renewed by anyone, or belongs to another VM since a restore.
            self._vacant_since = now + self._times.lease + self._times.call
        self._set_holder(key)
        return commands

    def _show_vacancy(self, previous: leader_key.LeaderKey | None,
                      now: datetime.timedelta) -> Commands:
        """Handles the removal of the key.

        A watch that was slow may show only the newest event of the key. Another
        VM may have held the term since the own one ended. It would not have
        acted within the time of a call.
        """
        commands: Commands = ()
        if self.phase is Phase.HOLDING:
            self._end("key_removed")
        may_have_missed = now >= self._ended_at + self._times.call
        if previous is not None:
            self._last_holder = previous.holder
        if self._was_holder and (previous is None or may_have_missed or
                                 previous.holder != self._vm):
            self._exclude(now)
            if self.phase in (Phase.GRANTING, Phase.ACQUIRING):
                commands = self._abandon()
        self._vacant_since = min(self._vacant_since, now)
        self._set_holder(None)
        return commands

    def _exclude(self, since: datetime.timedelta) -> None:
        self._excluded_until = max(self._excluded_until,
                                   since + self._times.exclusion)

    def _make_write(self) -> election_command.WriteKey:
        self._is_write_pending = True
        expected = 0
        if self._key is not None and self._key.era == self._position[0]:
            expected = self._key.revision
        return election_command.WriteKey(self._attempt, self._lease_id,
                                         expected)

    def _make_end(self) -> election_command.EndLease:
        return election_command.EndLease(self._attempt, self._lease_id)

    def _back_off(self, retry_after: datetime.timedelta) -> None:
        delay = min(_MIN_RETRY_DELAY * 2**min(self._failures, 8),
                    _MAX_RETRY_DELAY)
        self._failures += 1
        self._retry_at = self._clock.monotonic() + max(
            delay, min(retry_after, _MAX_RETRY_DELAY))

    def _is_current(self, attempt: int, phase: Phase) -> bool:
        return attempt == self._attempt and self.phase is phase

    # Changes of phase.

    def _start_term(self, now: datetime.timedelta) -> None:
        self.phase = Phase.HOLDING
        self._was_holder = True
        self._failures = 0
        self._refused_at = None
        self._reacquire_until = datetime.timedelta()
        self._acquired_at = now
        assert self._key is not None
        self._term_token = self._key.token
        # The term before has ended by now, but a call of it may be in flight.
        self._quiet_until = max(self._quiet_until, now + self._times.call)
        self._set_holder(self._key)

    def _expire(self) -> Commands:
        """Ends a term or an attempt whose lease may have ended."""
        if (self.phase not in (Phase.ACQUIRING, Phase.HOLDING) or
                self._clock.monotonic() < self._expires_at):
            return ()
        command = self._make_end()
        if self.phase is Phase.HOLDING:
            self._end("expired")
            self._set_holder(None)
        else:
            self._leave_attempt()
            self._back_off(datetime.timedelta())
        return (command,)

    def _abandon(self) -> Commands:
        """Gives an attempt up; a write that may take effect late is undone."""
        has_written = self.phase is Phase.ACQUIRING
        command = self._make_end()
        self._leave_attempt()
        return (command,) if has_written else ()

    def _leave_attempt(self) -> None:
        self.phase = Phase.WAITING
        self._attempt += 1
        self._is_write_pending = False

    def _end(self, reason: str) -> None:
        self.ended_terms[reason] += 1
        now = self._clock.monotonic()
        self._ended_at = min(now, self._expires_at)
        held = now - self._acquired_at
        self._journal.write("term_ended",
                            token=self._term_token,
                            reason=reason,
                            held_s=held.total_seconds())
        self._leave_attempt()

    def _set_holder(self, key: leader_key.LeaderKey | None) -> None:
        holder = "" if key is None else key.holder
        if holder == self._vm and self.phase is not Phase.HOLDING:
            holder = ""
        if holder == self._holder:
            return
        previous, self._holder = self._holder, holder
        self._journal.write("duty_holder",
                            holder=holder,
                            token=0 if key is None else key.token,
                            previous=previous)
