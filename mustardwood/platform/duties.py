"""What only exists in deployments whose settings name duties."""

import collections.abc
import datetime
import random

from mustardwood import dispatch
from mustardwood import http1
from mustardwood import leadership
from mustardwood import timing
from mustardwood.platform import duty_client
from mustardwood.platform import duty_leadership
from mustardwood.platform import duty_settings
from mustardwood.platform import endpoint_scaling
from mustardwood.platform import metrics as metrics_module
from mustardwood.platform import settings as settings_module
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher
from mustardwood.platform import usage_reporting

_NOTICE_TIME = datetime.timedelta(milliseconds=200)
"""Time of the calls by which a candidate acquires the term, and of the watch.

Together with the batch delay, for which VMs do not watch the store after the
key was removed, it is the stagger of the candidates.
"""

_MakeScaling = collections.abc.Callable[
    [leadership.Leadership, leadership.DutyCalls],
    endpoint_scaling.EndpointScaling]


class Duties:
    """Owns the leadership and the duties of this VM.

    Attributes:
        settings: The settings of the duties; None if there are no duties.
        leadership: Elects the VM that carries them out; None without duties.
        calls: Sends the calls of the duties; None without duties.
        usage: Reports the usage; None without that duty.
    """

    def __init__(self,
                 settings: duty_settings.DutySettings | None,
                 elected: duty_leadership.DutyLeadership | None = None,
                 calls: duty_client.DutyClient | None = None) -> None:
        """Creates the duties; `from_settings` creates all that they need.

        Args:
            settings: The settings of the duties; None if there are no duties.
            elected: The leadership; None if there are no duties.
            calls: Sends the calls; None if there are no duties.
        """
        self.settings = settings
        self.leadership = elected
        self.calls = calls
        self.usage: usage_reporting.UsageReporting | None = None
        self._scaling: endpoint_scaling.EndpointScaling | None = None

    @classmethod
    def from_settings(cls, found: settings_module.PlatformSettings,
                      client: store_client.StoreClient,
                      watcher: store_watcher.StoreWatcher, clock: timing.Clock,
                      scheduler: dispatch.Scheduler, journal: dispatch.Journal,
                      pool: http1.ConnectionPool,
                      list_peers: collections.abc.Callable[
                          [], collections.abc.Iterable[str]],
                      rng: random.Random) -> "Duties":
        """Creates what the settings require, and nothing without duties.

        Duties that this version does not know are logged once, and the others
        are carried out.

        Args:
            found: The settings of the process.
            client: Calls the store.
            watcher: Watches the store; it is not started yet.
            clock: Its monotonic time must include the time of suspensions.
            scheduler: Schedules calls.
            journal: Logs what the duties do.
            pool: Sends the calls of the duties.
            list_peers: Returns the names of the other VMs.
            rng: Draws the number of this process.
        """
        settings = duty_settings.DutySettings.from_settings(found)
        if settings is None:
            return cls(None)
        if settings.unknown_duties:
            journal.write("duties_unknown", duties=settings.unknown_duties)
        if not settings.duties:
            return cls(settings)
        elected = duty_leadership.DutyLeadership(
            client, clock, scheduler, journal, found.vm,
            leadership.ElectionTimes.from_bound(
                settings.lease_time, found.batch_delay + _NOTICE_TIME))
        elected.attach(watcher)
        calls = duty_client.DutyClient(
            settings.address, pool, scheduler, journal,
            lambda term: _has_token(elected, term.token))
        created = cls(settings, elected, calls)
        if duty_settings.USAGE_REPORT in settings.duties:
            created.usage = usage_reporting.UsageReporting(
                settings, found.vm, client, elected, calls, list_peers, clock,
                scheduler, journal, rng)
            created.usage.attach(watcher)
        return created

    @property
    def request_counter(self) -> dispatch.RequestCounter:
        """Counts the requests that began to run, if they are reported."""
        if self.usage is None:
            return dispatch.NoRequestCounter()
        return self.usage.counter

    def add_endpoint_scaling(self, make: _MakeScaling) -> None:
        """Adds the ordering of endpoints if the settings name that duty.

        Args:
            make: Creates it from the leadership and the calls.
        """
        if (self.settings is not None and self.leadership is not None and
                self.calls is not None and
                duty_settings.AUTOSCALE in self.settings.duties):
            self._scaling = make(self.leadership, self.calls)

    def start(self) -> None:
        """Starts the duties of which this VM has a part even without a term."""
        if self.usage is not None:
            self.usage.start()
        if self._scaling is not None:
            self._scaling.start()

    def stop(self) -> None:
        """Ends the term at once; the process stops."""
        if self.leadership is not None:
            self.leadership.stop()

    def add_metrics(self, metrics: metrics_module.ProcessMetrics) -> None:
        """Adds the metrics of the duties.

        Args:
            metrics: The metrics of the process.
        """
        elected = self.leadership
        if elected is None:
            return
        metrics.add_gauge(
            "mustardwood_duty_holder",
            "Whether this VM may carry out the duties at present.",
            lambda: float(elected.find_term() is not None))
        metrics.add_gauge(
            "mustardwood_duty_token",
            "Fencing token of the term that is known; 0 if none.",
            lambda: float(elected.token))
        metrics.add_counter("mustardwood_terms_ended",
                            "Terms of this VM that have ended, by reason.",
                            "reason", lambda: elected.ended_terms)
        calls = self.calls
        if calls is not None:
            metrics.add_counter(
                "mustardwood_duty_calls",
                "Duty calls of this VM that have ended, by path and outcome.",
                "end", lambda: {
                    f"{path} {outcome}": count
                    for (path, outcome), count in calls.calls.items()
                })
        if self.usage is not None:
            self.usage.add_metrics(metrics)


def _has_token(elected: duty_leadership.DutyLeadership, token: int) -> bool:
    """Returns whether the term with a token is still proven."""
    term = elected.find_term()
    return term is not None and term.token == token
