"""Connects the decisions of usage reports with the store and the platform."""

import collections.abc
import datetime
import random
import typing

import msgspec
from twisted.internet import defer
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import leadership
from mustardwood import timing
from mustardwood import usage
from mustardwood.platform import duty_leadership
from mustardwood.platform import duty_settings
from mustardwood.platform import metrics as metrics_module
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher

USAGE_KEY = duty_leadership.PREFIX + "usage"
"""Key of the windows that have been finalized."""
_INTERVAL = datetime.timedelta(milliseconds=200)
"""Interval of the decisions; they also follow the result of each call."""
_REVISIONS_PER_ERA = 2**40
"""Factor of the era in a token; see `leadership.LeaderKey`."""


class UsageReporting:
    """Counts the requests of this VM, and reports the usage while it may.

    Attributes:
        counter: Counts the requests that began to run.
        exchange: Tells peers this VM's clock and counts, and receives theirs.
    """

    def __init__(self, settings: duty_settings.DutySettings, vm: str,
                 client: store_client.StoreClient,
                 elected: duty_leadership.DutyLeadership,
                 calls: leadership.DutyCalls,
                 list_peers: collections.abc.Callable[
                     [], collections.abc.Iterable[str]], clock: timing.Clock,
                 scheduler: dispatch.Scheduler, journal: dispatch.Journal,
                 rng: random.Random) -> None:
        """Creates a reporting; `attach` and `start` start it.

        Args:
            settings: The settings of the duties.
            vm: Name of this VM.
            client: Calls the store.
            elected: Tells whether this VM may act.
            calls: Sends the reports.
            list_peers: Returns the names of the peers.
            clock: Its monotonic time must include the time of suspensions.
            scheduler: Schedules the decisions.
            journal: Logs what is finalized, sent, accepted and left out.
            rng: Draws the number of this process.
        """
        self._vm = vm
        self._client = client
        self._leadership = elected
        self._calls = calls
        self._list_peers = list_peers
        self._scheduler = scheduler
        self._journal = journal
        windows = usage.UsageWindows(settings.report_window,
                                     settings.usage_delay)
        self._true_time = usage.TrueTime(clock, lambda: len([*list_peers()]))
        self.counter = usage.UsageCounter(windows, self._true_time, clock)
        ledger = usage.UsageLedger(windows)
        self._reporter = usage.UsageReporter(vm, windows, self._true_time,
                                             ledger, clock, journal)
        self.exchange = usage.UsageExchange(vm, clock, self._true_time,
                                            self.counter, ledger,
                                            self._list_keepers,
                                            self._handle_left_out, rng)

    def attach(self, watcher: store_watcher.StoreWatcher) -> None:
        """Receives what the watch shows of the finalized windows.

        Args:
            watcher: Watches the store; it is not started yet.
        """
        watcher.add_listener(duty_leadership.PREFIX, self._apply_listing,
                             self._apply_item)
        self._client.add_era_listener(self._reporter.handle_restore)

    def start(self) -> None:
        """Starts to decide in intervals."""
        self._decide()
        self._scheduler.call_later(_INTERVAL, self.start)

    def add_metrics(self, metrics: metrics_module.ProcessMetrics) -> None:
        """Adds the metrics of the usage.

        Args:
            metrics: The metrics of the process.
        """
        reporter = self._reporter
        for name, help_text, get_value in (
            ("mustardwood_usage_counted_requests",
             "Requests that this VM has counted.",
             lambda: float(self.counter.request_count)),
            ("mustardwood_usage_late_requests",
             "Requests that began in a window that had been finalized.",
             lambda: float(self.counter.late_count)),
            ("mustardwood_usage_finalized_windows",
             "Windows that this VM has finalized.",
             lambda: float(reporter.finalized_count)),
            ("mustardwood_usage_accepted_windows",
             "Reports of this VM that were accepted.",
             lambda: float(reporter.accepted_count)),
            ("mustardwood_usage_skipped_windows",
             "Windows that this VM has left out.",
             lambda: float(reporter.skipped_count)),
            ("mustardwood_usage_left_out_requests",
             "Requests whose counts arrived after their window was finalized.",
             lambda: float(reporter.left_out_count)),
            ("mustardwood_usage_unsent_windows",
             "Finalized windows that are not known to be accepted.",
             lambda: float(len(reporter.unsent_windows))),
            ("mustardwood_clock_deviation_seconds",
             "Time by which this VM's clock is ahead of the median of all VMs.",
             self._find_clock_deviation),
        ):
            metrics.add_gauge(name, help_text, get_value)

    def _find_clock_deviation(self) -> float:
        return self._true_time.own_deviation.total_seconds()

    def _list_keepers(self) -> tuple[str, ...]:
        return usage.choose_keepers(self._leadership.holder,
                                    self._leadership.candidates)

    def _handle_left_out(self, vm: str, requests: dict[int, int]) -> None:
        """Logs late counts once, although three VMs receive them."""
        if self._leadership.holder == self._vm:
            self._reporter.handle_left_out(vm, requests)

    def _apply_listing(self, items: list[store_client.Item],
                       position: store_client.Position) -> None:
        found = [each for each in items if each.key == USAGE_KEY]
        if not found:
            self._reporter.handle_listing(position.era, None, 0)
            return
        record = self._decode(found[0])
        if record is not None:
            self._reporter.handle_listing(found[0].era, record,
                                          found[0].revision)

    def _apply_item(self, item: store_client.Item) -> None:
        if item.key != USAGE_KEY:
            return
        if item.value is None:
            self._reporter.handle_change(item.era, None, 0)
            return
        record = self._decode(item)
        if record is not None:
            self._reporter.handle_change(item.era, record, item.revision)

    def _decode(self, item: store_client.Item) -> usage.UsageRecord | None:
        """Returns the record in an item; None if it can't be read.

        Such a record is never replaced, since its windows are not known.
        """
        record = usage.decode_record(item.decode_value())
        if record is None:
            self._journal.write("usage_record_rejected",
                                era=item.era,
                                revision=item.revision)
        return record

    def _decide(self) -> None:
        term = self._leadership.find_term()
        if term is not None:
            self.exchange.record_own_counts()
        self.counter.close_windows(self._reporter.finalized_through)
        self._execute(
            self._reporter.decide(term, (self._vm, *self._list_peers())))

    def _execute(self, actions: collections.abc.Iterable[usage.Action]) -> None:
        for each in actions:
            if isinstance(each, usage.RecordWrite):
                self._start_call(self._write(each))
            elif isinstance(each, usage.RecordRead):
                self._start_call(self._read())
            elif isinstance(each, usage.WindowSend):
                self._send(each)
            else:
                self._leadership.end_term(each.reason)

    def _send(self, send: usage.WindowSend) -> None:

        def finish(result: leadership.CallResult) -> None:
            self._execute(self._reporter.handle_call_result(send, result))
            self._decide()

        self._calls.report_usage(send.term, send.window, send.counts, finish)

    def _start_call(
            self, call: collections.abc.Coroutine[typing.Any, typing.Any,
                                                  None]) -> None:

        def fail(reason: failure.Failure) -> None:
            if reason.check(errors.KeyValueError, msgspec.MsgspecError) is None:
                self._journal.write("error",
                                    part="usage_reporting",
                                    error=reason.getErrorMessage(),
                                    traceback=reason.getTraceback())
            self._reporter.handle_store_failure(reason.getErrorMessage())

        defer.Deferred.fromCoroutine(call).addErrback(fail)

    async def _write(self, write: usage.RecordWrite) -> None:
        conditions = {}
        if write.token is not None:
            conditions[duty_leadership.LEADER_KEY] = (write.token %
                                                      _REVISIONS_PER_ERA)
        revision = await self._client.replace_key(USAGE_KEY,
                                                  write.record.encode(),
                                                  write.expected_revision,
                                                  conditions=conditions,
                                                  era=write.era)
        self._execute(self._reporter.handle_written(write, revision))
        self._decide()

    async def _read(self) -> None:
        item, position = await self._client.read_key(USAGE_KEY)
        if item is None:
            self._reporter.handle_read(position.era, None, 0)
        else:
            record = self._decode(item)
            if record is None:
                self._reporter.handle_store_failure("malformed record")
                return
            self._reporter.handle_read(item.era, record, item.revision)
        self._decide()
