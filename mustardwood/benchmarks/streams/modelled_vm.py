"""Model of a router VM between modelled callers and engines."""

import collections.abc
import random

from mustardwood import dispatch
from mustardwood import hedging
from mustardwood import profiles
from mustardwood.benchmarks.streams import engine_client
from mustardwood.benchmarks.streams import engine_parameters
from mustardwood.benchmarks.streams import modelled_endpoint
from mustardwood.benchmarks.streams import null_objects
from mustardwood.benchmarks.streams import scheduler as scheduler_module
from mustardwood.profiles import response_observer

SERVICE = "engines"
"""Name of the only service."""
_RETRY_RATIO = 0.2
"""Retries allowed for each request, from the users' data sheets."""
_RETRY_BURST = 58.0
"""Additional retries allowed within a window, from the first user's data."""


class ModelledVm:
    """A VM that runs the real code of `dispatch` on modelled engines.

    Attributes:
        name: Name of the VM.
        context: Objects of `dispatch` that the requests of the VM share.
        hedging: Limits and counts of its hedged requests.
        learned: What it has learned of the engines.
    """

    def __init__(
        self,
        name: str,
        scheduler: scheduler_module.Scheduler,
        engines: collections.abc.Mapping[str,
                                         modelled_endpoint.ModelledEndpoint],
        parameters: engine_parameters.EngineParameters,
        settings: dispatch.PlacementSettings,
        vms: int,
        rng: random.Random,
        fixed_profile: profiles.EngineProfile | None,
        hedge_settings: hedging.HedgeSettings = (hedging.HedgeSettings())
    ) -> None:
        self.name = name
        self.learned = profiles.EngineProfiles(scheduler)
        self._table: profiles.ProfileTable = (
            self.learned
            if fixed_profile is None else profiles.FixedProfiles(fixed_profile))
        notices = dispatch.EndpointNotices(name, scheduler)
        self._service = dispatch.ServiceParameters(SERVICE,
                                                   parameters.memory_tokens,
                                                   parameters.event_tokens)
        self._directory = _make_directory(scheduler, engines, parameters,
                                          notices)
        loads = dispatch.LoadTable(scheduler)
        health = dispatch.EndpointHealth(scheduler)
        prefix_index = dispatch.PrefixCacheIndex(scheduler)
        rate_limits = dispatch.EndpointRateLimits(name, scheduler, lambda: ())
        self._pauses = dispatch.EndpointPauses(scheduler, rng, notices)
        self.hedging = hedging.Hedging(hedge_settings, scheduler,
                                       self._take_hedge)
        self.context = dispatch.ForwardingContext(
            clock=scheduler,
            scheduler=scheduler,
            client=engine_client.EngineClient(scheduler, engines),
            authorizer=null_objects.AllowAllAuthorizer(),
            directory=self._directory,
            notices=notices,
            loads=loads,
            health=health,
            prefix_caches=prefix_index,
            crashes=dispatch.CrashRecord(scheduler),
            part_crashes=dispatch.PromptPartCrashes(scheduler, rng),
            rate_limits=rate_limits,
            pauses=self._pauses,
            brittleness=dispatch.EndpointBrittleness(scheduler, self._pauses,
                                                     lambda: vms, rng),
            admission=dispatch.TierAdmission(scheduler, loads, rate_limits,
                                             settings, self._table,
                                             health.list_avoided,
                                             self._directory.list_usable),
            placement=dispatch.Placement("zone", scheduler, loads, health,
                                         prefix_index, rate_limits,
                                         self._pauses, settings,
                                         lambda _: self._service, rng,
                                         self._table),
            retry_budgets=dispatch.ServiceRetryBudgets(rng, _RETRY_RATIO,
                                                       _RETRY_BURST,
                                                       lambda: vms),
            retry_after=dispatch.RetryAfterPolicy(rng),
            queue=dispatch.PlacementQueue(scheduler, scheduler),
            journal=null_objects.NullJournal(),
            metrics=null_objects.NullMetrics(),
            streams=dispatch.StreamVersionTable(scheduler),
            version_record=null_objects.SingleVersionRecord(),
            registrations=null_objects.NullRegistrationReader(),
            observer=response_observer.ResponseObserver(
                self._table, scheduler, loads, health, rate_limits,
                lambda _: self._service),
            process_exit=dispatch.ProcessExit(),
            hedging=self.hedging)

    def _take_hedge(self, service: str) -> bool:
        return self.context.retry_budgets.take_hedge(service)

    def send_peer_update(self, other: "ModelledVm", streams: dict[str, bytes],
                         questions: bytes) -> None:
        """Sends this VM's loads, moved prefixes and streams to another VM.

        Args:
            other: The other VM, which replies to the questions at once.
            streams: This VM's new streams.
            questions: Streams that it does not know.
        """
        other.context.streams.record_peer_streams(streams)
        self.context.streams.record_peer_streams(
            other.context.streams.find_answers(questions))
        other.context.loads.set_peer_loads(self.name,
                                           self.context.loads.list_own_loads())
        other.context.admission.set_peer_demands(
            self.name, self.context.admission.list_demands(),
            self.context.admission.list_corrections())
        other.learned.set_peer_reports(self.name, self.learned.list_reports())
        for engine, prefix_key in self.context.prefix_caches.list_moves():
            other.context.prefix_caches.record_prefix(engine, prefix_key)


def _make_directory(
        scheduler: scheduler_module.Scheduler,
        engines: collections.abc.Mapping[str,
                                         modelled_endpoint.ModelledEndpoint],
        parameters: engine_parameters.EngineParameters,
        notices: dispatch.EndpointNotices) -> dispatch.EndpointDirectory:
    directory = dispatch.EndpointDirectory(scheduler, notices)
    for number, (name, engine) in enumerate(engines.items()):
        directory.set_endpoint(
            dispatch.Endpoint(name,
                              SERVICE,
                              "192.0.2.1",
                              8000 + number,
                              "zone",
                              parameters.slots,
                              version=engine.version))
    directory.record_listing(scheduler.monotonic())
    return directory
