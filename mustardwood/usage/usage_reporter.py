"""Decides when windows are finalized and reported, and what they contain."""

import collections.abc
import datetime
import typing

from mustardwood import dispatch
from mustardwood import leadership
from mustardwood import timing
from mustardwood.usage import record_read
from mustardwood.usage import record_write
from mustardwood.usage import retry_delay
from mustardwood.usage import term_end
from mustardwood.usage import true_time as true_time_module
from mustardwood.usage import usage_counter
from mustardwood.usage import usage_ledger
from mustardwood.usage import usage_record
from mustardwood.usage import usage_windows
from mustardwood.usage import window_choice
from mustardwood.usage import window_send

Action = (record_write.RecordWrite | record_read.RecordRead |
          window_send.WindowSend | term_end.TermEnd)
_TRUE_TIME_MARGIN = datetime.timedelta(milliseconds=500)
"""Time by which the VM that finalized a window may have been ahead of this VM.

A window is finalized half a second after its end at the earliest.
"""


class UsageReporter:
    """Finalizes windows and reports them while this VM holds the term.

    A window is finalized by a conditional write of the record, and only then
    sent. What the record holds is sent unchanged, by this VM and its
    successors, until it is accepted.

    Failure: the store is restored and lacks the last writes. VMs remember the
    records that they have seen and write them again. A window that another VM
    may have finalized before the restore, and whose counts are unknown here, is
    left out: two different counts for a window are worse than none.

    Attributes:
        finalized_count: Number of windows that this VM has finalized.
        accepted_count: Number of windows whose reports were accepted.
        skipped_count: Number of windows that this VM has left out.
        left_out_count: Number of requests whose counts arrived too late.
    """

    def __init__(self, vm: str, windows: usage_windows.UsageWindows,
                 true_time: true_time_module.TrueTime,
                 ledger: usage_ledger.UsageLedger, clock: timing.Clock,
                 journal: dispatch.Journal) -> None:
        """Creates a reporter that does not know the store yet.

        Args:
            vm: Name of this VM.
            windows: The windows.
            true_time: Estimate of true time.
            ledger: Holds the counts of all VMs.
            clock: Its monotonic time must include the time of suspensions.
            journal: Logs what is finalized, sent, accepted and left out.
        """
        self._vm = vm
        self._windows = windows
        self._true_time = true_time
        self._ledger = ledger
        self._clock = clock
        self._journal = journal
        self._record: usage_record.UsageRecord | None = None
        self._era: int | None = None
        self._revision = 0
        self._is_initialized = False
        self._must_restore = False
        self._uncertain_at: datetime.timedelta | None = None
        self._uncertain_window = -1
        self._term_token = -1
        self._exclusive_until = datetime.timedelta.min
        self._pending_write: record_write.RecordWrite | None = None
        self._is_store_busy = False
        self._sending: int | None = None
        self._accepted: set[int] = set()
        self._store_retry = retry_delay.RetryDelay()
        self._call_retry = retry_delay.RetryDelay()
        self.finalized_count = 0
        self.accepted_count = 0
        self.skipped_count = 0
        self.left_out_count = 0

    @property
    def finalized_through(self) -> int:
        """Last window that was finalized or left out; -1 if none is known."""
        return -1 if self._record is None else self._record.through

    @property
    def unsent_windows(self) -> list[int]:
        """Finalized windows that are not known to be accepted, in order."""
        record = self._record
        if record is None:
            return []
        return sorted(each for each in record.windows
                      if each > record.accepted and each not in self._accepted)

    def decide(self, term: leadership.Term | None,
               vms: collections.abc.Iterable[str]) -> list[Action]:
        """Returns what to do now.

        Args:
            term: This VM's term; None if it has none that is proven.
            vms: Names of all VMs that count requests, with this one.

        Returns:
            At most one access to the store and one report. Their results must
            be passed to this object.
        """
        now = self._clock.monotonic()
        if term is None:
            self._exclusive_until = min(self._exclusive_until, now)
        else:
            self._term_token = term.token
            self._exclusive_until = term.expires_at
        actions: list[Action] = []
        write = self._choose_write(term, tuple(vms), now)
        if write is not None:
            actions.append(write)
        if term is not None and self._sending is None:
            send = self._choose_send(term, now)
            if send is not None:
                actions.append(send)
        return actions

    def handle_listing(self, era: int, record: usage_record.UsageRecord | None,
                       revision: int) -> None:
        """Handles the state of the key in a listing of the store.

        Args:
            era: The store's era.
            record: The record; None if there is none.
            revision: Revision of its last change; 0 if the key does not exist.
        """
        if self._era is not None and era > self._era:
            self.handle_restore()
        if self._era is None:
            if not self._is_initialized and era:
                self._uncertain_at = self._clock.monotonic()
            self._is_initialized = True
            self._era = era
        if era == self._era:
            self._adopt(record, revision)

    def handle_restore(self) -> None:
        """Handles a restore of the store, before it is read again.

        A VM whose term is still proven, and that has written the record in this
        term, knows all that was finalized before the restore. A write of it
        that got no response may have taken effect, so its windows count as
        finalized, too. Any other VM does not know what was finalized last.
        """
        if not self._is_initialized:
            return
        now = self._clock.monotonic()
        knows_all = (now <= self._exclusive_until and
                     self._record is not None and
                     self._record.token == self._term_token)
        pending, self._pending_write = self._pending_write, None
        if knows_all and pending is not None:
            self._record = _merge(self._record, pending.record)
        self._must_restore = knows_all
        if not knows_all:
            self._uncertain_at = now
        self._exclusive_until = datetime.timedelta.min
        self._journal.write("usage_store_restored",
                            previous_era=self._era,
                            knows_all=knows_all,
                            finalized_through=self.finalized_through)
        self._era = None
        self._revision = 0

    def handle_change(self, era: int, record: usage_record.UsageRecord | None,
                      revision: int) -> None:
        """Handles a change of the key.

        Args:
            era: The store's era.
            record: The record; None if it was removed.
            revision: Revision of the change; 0 if the key does not exist.
        """
        if era != self._era or 0 < revision <= self._revision:
            return
        if record is not None and record.era < era:
            # A write of an earlier era has taken effect in the restored store.
            # Its windows may have been finalized with other counts.
            self._uncertain_window = max(self._uncertain_window, record.through)
            record = None
        self._adopt(record, revision)

    def handle_written(self, write: record_write.RecordWrite,
                       revision: int | None) -> list[Action]:
        """Handles the response to a write.

        Args:
            write: The write.
            revision: Revision of the key; None if the key had changed.

        Returns:
            What to do now.
        """
        self._is_store_busy = False
        self._store_retry.record_success()
        if revision is None:
            if write is not self._pending_write:
                # The change of the key is known already.
                return []
            # Perhaps an earlier try took effect, and its response was lost, or
            # another VM has the term.
            self._store_retry.record_failure(self._clock.monotonic())
            self._is_store_busy = True
            return [record_read.RecordRead()]
        if write.era == self._era:
            self._adopt(write.record, max(revision, self._revision))
        return []

    def handle_store_failure(self, reason: str) -> None:
        """Handles a write or read that got no valid response.

        A write may have taken effect or do so later, so it is repeated
        unchanged.

        Args:
            reason: Reason for the log.
        """
        self._is_store_busy = False
        self._store_retry.record_failure(self._clock.monotonic())
        self._journal.write("usage_store_failed", error=reason)

    def handle_read(self, era: int, record: usage_record.UsageRecord | None,
                    revision: int) -> None:
        """Handles the result of a read, as `handle_listing` does."""
        self._is_store_busy = False
        self.handle_listing(era, record, revision)

    def handle_call_result(self, send: window_send.WindowSend,
                           result: leadership.CallResult) -> list[Action]:
        """Handles the result of a report.

        Args:
            send: The report.
            result: Its result.

        Returns:
            What to do now.
        """
        self._sending = None
        outcome = result.outcome
        if outcome is leadership.CallOutcome.ACCEPTED:
            self._call_retry.record_success()
            self._accepted.add(send.window)
            self.accepted_count += 1
            now = self._true_time.now()
            self._journal.write(
                "usage_accepted",
                window=send.window,
                after_s=_to_seconds(now - self._windows.find_end(send.window)),
                late=now > self._windows.find_due_time(send.window))
            return []
        if outcome is leadership.CallOutcome.TOKEN_REFUSED:
            self._exclusive_until = datetime.timedelta.min
            return [term_end.TermEnd("token_refused")]
        self._call_retry.record_failure(self._clock.monotonic(),
                                        result.retry_after)
        return []

    def handle_left_out(self, vm: str,
                        requests: collections.abc.Mapping[int, int]) -> None:
        """Logs requests whose counts arrived after their window's end.

        Args:
            vm: The VM that had counted them.
            requests: Their number by window.
        """
        self.left_out_count += sum(requests.values())
        self._journal.write(
            "usage_left_out",
            source=vm,
            requests={
                str(window): count for window, count in sorted(requests.items())
            })

    def _adopt(self, record: usage_record.UsageRecord | None,
               revision: int) -> None:
        """Adopts the record that the store holds at a revision."""
        self._revision = revision
        pending, self._pending_write = self._pending_write, None
        if record is None:
            return
        if pending is not None and record == pending.record:
            self._log_finalized(pending.record)
        if record.era == self._era:
            # It was complete when it was written in this era.
            self._uncertain_at = None
            self._uncertain_window = -1
            self._must_restore = False
        self._record = _merge(self._record, record)
        self._ledger.close_windows(self._record.through)
        oldest = min(self._record.windows, default=self._record.through)
        self._accepted = {each for each in self._accepted if each >= oldest}

    def _choose_write(self, term: leadership.Term | None, vms: tuple[str, ...],
                      now: datetime.timedelta) -> Action | None:
        if (self._era is None or self._is_store_busy or
                not self._store_retry.is_over(now)):
            return None
        if self._pending_write is None:
            if self._must_restore and self._record is not None:
                self._pending_write = self._make_write(self._record, None)
            elif term is not None and self._true_time.is_settled:
                record = self._finalize(term, vms)
                if record is None:
                    return None
                self._pending_write = self._make_write(record, term.token)
            else:
                return None
        elif term is None and not self._must_restore:
            return None
        self._is_store_busy = True
        return self._pending_write

    def _make_write(self, record: usage_record.UsageRecord,
                    token: int | None) -> record_write.RecordWrite:
        era = typing.cast(int, self._era)
        return record_write.RecordWrite(
            usage_record.UsageRecord(era, record.token, record.through,
                                     record.accepted, record.windows), era,
            self._revision, token)

    def _finalize(self, term: leadership.Term,
                  vms: tuple[str, ...]) -> usage_record.UsageRecord | None:
        """Returns the record with further windows; None to wait.

        One write finalizes two windows where their due times allow it, since
        each write ends the pending watch of every VM.
        """
        now = self._true_time.now()
        first = self._find_first_window(now)
        if first is None:
            return None
        count = window_choice.count_ready_windows(first, now, self._windows,
                                                  self._ledger, vms)
        if not count:
            return None
        previous = self._record or usage_record.UsageRecord(through=first - 1)
        uncertain_through = self._find_uncertain_through()
        # The record is complete for its era, so it decides on all of these.
        count = max(count, uncertain_through - first + 1)
        windows = {
            window: self._ledger.find_total(window)
            for window in range(first, first + count)
            if window > uncertain_through and
            self._ledger.is_covered(window, self._vm)
        }
        record = previous.add_windows(typing.cast(int, self._era), term.token,
                                      first + count - 1, windows,
                                      self._find_accepted(previous))
        skipped = record.through - previous.through - len(windows)
        if skipped:
            self.skipped_count += skipped
            self._journal.write("usage_skipped",
                                count=skipped,
                                after=previous.through,
                                through=record.through,
                                uncertain_through=uncertain_through)
        return record

    def _find_first_window(self, now: datetime.datetime) -> int | None:
        """Returns the next window to finalize; None if it is unknown."""
        oldest = (self._windows.find_window(now) - usage_counter.MAX_WINDOWS +
                  1)
        if self._record is not None:
            return max(self._record.through + 1, oldest)
        first = self._ledger.find_first_window()
        return None if first is None else max(first, oldest)

    def _find_uncertain_through(self) -> int:
        """Returns the last window that an unknown write may have finalized."""
        if self._uncertain_at is None:
            return self._uncertain_window
        return max(
            self._uncertain_window,
            self._windows.find_last_ended(
                self._true_time.convert(self._uncertain_at) +
                _TRUE_TIME_MARGIN))

    def _find_accepted(self, record: usage_record.UsageRecord) -> int:
        """Returns the last window up to which all were accepted."""
        accepted = record.accepted
        for window in sorted(record.windows):
            if window > accepted:
                if window not in self._accepted:
                    break
                accepted = window
        return accepted

    def _choose_send(self, term: leadership.Term,
                     now: datetime.timedelta) -> window_send.WindowSend | None:
        record = self._record
        if (record is None or self._must_restore or
                not self._call_retry.is_over(now)):
            return None
        true_now = self._true_time.now()
        # A report that is late already must not delay one that is not.
        window = min(self.unsent_windows,
                     key=lambda each:
                     (self._windows.find_due_time(each) < true_now, each),
                     default=None)
        if window is None:
            return None
        self._sending = window
        counts = record.windows[window]
        self._journal.write("usage_sent",
                            window=window,
                            token=term.token,
                            requests=sum(counts.values()),
                            failures=self._call_retry.failures)
        return window_send.WindowSend(term, window, counts)

    def _log_finalized(self, record: usage_record.UsageRecord) -> None:
        known = self.finalized_through
        for window, counts in sorted(record.windows.items()):
            if window > known:
                self.finalized_count += 1
                self._journal.write(
                    "usage_finalized",
                    window=window,
                    token=record.token,
                    requests=sum(counts.values()),
                    organisations=len(counts),
                    after_s=_to_seconds(self._true_time.now() -
                                        self._windows.find_end(window)))


def _merge(known: usage_record.UsageRecord | None,
           found: usage_record.UsageRecord) -> usage_record.UsageRecord:
    return found if known is None else known.merge(found)


def _to_seconds(span: datetime.timedelta) -> float:
    return round(span.total_seconds(), 3)
