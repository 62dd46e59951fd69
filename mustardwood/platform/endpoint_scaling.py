"""Assembles the ordering of endpoints."""

from mustardwood import dispatch
from mustardwood import leadership
from mustardwood import scaling
from mustardwood import timing
from mustardwood.platform import metrics as metrics_module
from mustardwood.platform import scaling_metrics
from mustardwood.platform import scaling_settings
from mustardwood.platform import service_state_reader
from mustardwood.scaling import scaling_duty


class EndpointScaling:
    """The ordering of endpoints on this VM."""

    def __init__(self, clock: timing.Clock, scheduler: dispatch.Scheduler,
                 journal: dispatch.Journal,
                 reader: service_state_reader.ServiceStateReader,
                 leaders: leadership.Leadership, calls: leadership.DutyCalls,
                 settings: scaling_settings.ScalingSettings,
                 metrics: metrics_module.ProcessMetrics) -> None:
        """Creates the parts; `start` starts them.

        Args:
            clock: Source of the monotonic time, which includes suspensions.
            scheduler: Schedules the plans.
            journal: Logs orders, and settings that are ignored.
            reader: Reads the states of the services.
            leaders: Tells whether this VM holds the term.
            calls: Sends the orders.
            settings: The operators' settings.
            metrics: Receives the metrics.
        """
        self._journal = journal
        self._settings = settings
        planner = scaling.EndpointPlanner(reader.may_have_open_streams)
        self._duty = scaling_duty.ScalingDuty(clock, scheduler, leaders, calls,
                                              reader.list_states, planner,
                                              journal, settings.is_enabled)
        metrics.add_collector(
            scaling_metrics.ScalingMetrics(planner, self._duty))

    def start(self) -> None:
        """Starts to plan and, with a term, to order."""
        for problem in self._settings.problems:
            self._journal.write("scaling_setting_rejected", error=problem)
        if not self._settings.is_enabled or self._settings.pinned_counts:
            self._journal.write("scaling_settings",
                                enabled=self._settings.is_enabled,
                                pinned=dict(self._settings.pinned_counts))
        self._duty.start()
