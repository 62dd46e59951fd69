"""Elects the VM that carries out the duties, by a key in the store."""

import collections.abc
import datetime

import msgspec
from twisted.internet import defer
from twisted.python import failure

from mustardwood import decoding
from mustardwood import dispatch
from mustardwood import errors
from mustardwood import leadership
from mustardwood import timing
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher

PREFIX = "duties/"
"""Prefix of the keys that concern duties."""
LEADER_KEY = PREFIX + "leader"
"""Key of the holder of the term."""


class _Leader(msgspec.Struct, frozen=True):
    """Value of the key.

    Attributes:
        holder: Name of the VM.
        lease_id: Id of the lease under which it was written.
    """

    holder: str
    lease_id: int = 0


class DutyLeadership:
    """Carries out the commands of a `leadership.LeaderElection`.

    Implements `leadership.Leadership`. The key arrives with the watch that
    each VM has in any case, so VMs that do not hold the term make no calls.
    """

    def __init__(self, client: store_client.StoreClient, clock: timing.Clock,
                 scheduler: dispatch.Scheduler, journal: dispatch.Journal,
                 vm: str, times: leadership.ElectionTimes) -> None:
        """Creates a leadership; `attach` starts it.

        Args:
            client: Calls the store.
            clock: Its monotonic time must include the time of suspensions.
            scheduler: Schedules renewals and attempts.
            journal: Logs changes of the holder, ended terms and failed calls.
            vm: Name of this VM.
            times: Times of the election.
        """
        self._client = client
        self._clock = clock
        self._scheduler = scheduler
        self._journal = journal
        self._vm = vm
        self._order = leadership.CandidateOrder()
        self._election = leadership.LeaderElection(vm, clock, times,
                                                   self._order, journal)
        self._leases: dict[int, store_client.Lease] = {}
        self._timer: dispatch.Timer | None = None
        self._wake_at = datetime.timedelta.max
        self._has_failed = False

    @property
    def holder(self) -> str:
        """See `leadership.Leadership`."""
        return self._election.holder

    @property
    def token(self) -> int:
        """Fencing token of the term that is held as far as is known, or 0."""
        return self._election.token

    @property
    def candidates(self) -> tuple[str, ...]:
        """Names of the registered VMs in the order of the candidates."""
        return self._order.list_candidates()

    @property
    def ended_terms(self) -> collections.abc.Mapping[str, int]:
        """Number of this VM's terms that ended, by reason."""
        return self._election.ended_terms

    def find_term(self) -> leadership.Term | None:
        """See `leadership.Leadership`."""
        return self._election.find_term()

    def end_term(self, reason: str) -> None:
        """See `leadership.Leadership`."""
        self._execute(self._election.end_term(reason))

    def attach(self, watcher: store_watcher.StoreWatcher) -> None:
        """Takes part in the election with what the watch shows.

        Args:
            watcher: Watches the store; it is not started yet.
        """
        watcher.add_listener(PREFIX, self._apply_listing, self._apply_item)
        watcher.add_listener(store_watcher.VM_PREFIX, self._apply_vms,
                             self._apply_vm)
        self._client.add_era_listener(
            lambda: self._execute(self._election.change_era()))

    def stop(self) -> None:
        """Ends the term and the part in the election; the process stops."""
        self._execute(self._election.stop())

    def _apply_listing(self, items: list[store_client.Item],
                       position: store_client.Position) -> None:
        found = [each for each in items if each.key == LEADER_KEY]
        key = _decode_key(found[0]) if found else None
        self._execute(self._election.show_listing(key, *position))

    def _apply_item(self, item: store_client.Item) -> None:
        if item.key == LEADER_KEY:
            self._execute(
                self._election.show_change(_decode_key(item), *item.position))

    def _apply_vms(self, items: list[store_client.Item],
                   position: store_client.Position) -> None:
        del position
        self._order.set_registrations({
            each.key.removeprefix(store_watcher.VM_PREFIX): each.position
            for each in items
        })
        self._check_time()

    def _apply_vm(self, item: store_client.Item) -> None:
        self._order.set_registration(
            item.key.removeprefix(store_watcher.VM_PREFIX),
            None if item.value is None else item.position)
        self._check_time()

    def _check_time(self) -> None:
        self._wake_at = datetime.timedelta.max
        self._execute(self._election.check_time())

    def _execute(
            self, commands: collections.abc.Iterable[leadership.ElectionCommand]
    ) -> None:
        for command in commands:
            defer.Deferred.fromCoroutine(self._carry_out(command)).addErrback(
                self._log_error)
        self._schedule()

    def _schedule(self) -> None:
        wake_at = self._election.wake_at
        if wake_at == self._wake_at:
            return
        self._wake_at = wake_at
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wake_at != datetime.timedelta.max:
            delay = max(wake_at - self._clock.monotonic(), datetime.timedelta())
            self._timer = self._scheduler.call_later(delay, self._check_time)

    async def _carry_out(self, command: leadership.ElectionCommand) -> None:
        try:
            answer = await self._call(command)
            self._has_failed = False
        except errors.LeaseLostError as error:
            # A call that was pending in a restore fails before the listeners
            # of the era are told.
            answer = (self._election.change_era() if isinstance(
                error.__cause__, store_client.EraChangedError) else
                      self._election.lose_lease(command))
        except errors.RateLimitedError as error:
            self._log_failure(command, error.message)
            answer = self._election.lose_call(command, error.retry_after)
        except errors.KeyValueError as error:
            self._log_failure(command, error.message)
            answer = self._election.lose_call(command)
        except msgspec.MsgspecError as error:
            self._log_failure(command, str(error))
            answer = self._election.lose_call(command)
        self._execute(answer)

    async def _call(
        self, command: leadership.ElectionCommand
    ) -> tuple[leadership.ElectionCommand, ...]:
        if isinstance(command, leadership.GrantLease):
            granted = await self._client.grant_lease(command.time_to_live)
            self._leases[command.attempt] = granted
            return self._election.receive_lease(command, granted.lease_id,
                                                granted.era)
        self._forget_leases(command.attempt)
        lease = self._leases[command.attempt]
        if isinstance(command, leadership.WriteKey):
            value = msgspec.json.encode(_Leader(self._vm, lease.lease_id))
            revision = await self._client.replace_key(LEADER_KEY, value,
                                                      command.expected_revision,
                                                      lease)
            return self._election.receive_write(command, revision)
        if isinstance(command, leadership.RenewLease):
            await self._client.renew_lease(lease)
            return self._election.receive_renewal(command)
        await self._client.revoke_lease(lease)
        return ()

    def _forget_leases(self, attempt: int) -> None:
        self._leases = {
            each: lease
            for each, lease in self._leases.items()
            if each >= attempt
        }

    def _log_failure(self, command: leadership.ElectionCommand,
                     error: str) -> None:
        """Logs the first of a series of failures."""
        if not self._has_failed:
            self._journal.write("leadership_call_failed",
                                call=type(command).__name__,
                                error=error)
        self._has_failed = True

    def _log_error(self, reason: failure.Failure) -> None:
        """Logs an unexpected error; the lease ends by itself."""
        self._journal.write("error",
                            part="duty_leadership",
                            error=reason.getErrorMessage(),
                            traceback=reason.getTraceback())


def _decode_key(item: store_client.Item) -> leadership.LeaderKey | None:
    """Returns the key; None if it was removed.

    A value that this version cannot read belongs to a holder without a name.
    """
    if item.value is None:
        return None
    try:
        found = decoding.decode_json(item.decode_value(), _Leader)
    except decoding.DecodingError:
        found = _Leader("unknown")
    return leadership.LeaderKey(found.holder, found.lease_id, item.era,
                                item.revision)
