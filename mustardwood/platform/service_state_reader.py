"""Reads the state of the services whose endpoints are ordered."""

import collections.abc

from mustardwood import dispatch
from mustardwood import scaling

_FULL_PREFILL_TOKENS = 2048
"""Prompt tokens that wait on an engine from which it counts as busy.

It prefills about as many in one step.
"""
_MIN_REPORTING_SHARE = 0.7
"""Minimum share of the registered VMs whose reports must be known.

Their demand is missing otherwise. A few VMs may just have been lost.
"""


class ServiceStateReader:
    """Reads demand, load and registrations of services with `scaling`."""

    def __init__(self, directory: dispatch.EndpointDirectory,
                 admission: dispatch.TierAdmission, loads: dispatch.LoadTable,
                 list_services: collections.abc.Callable[
                     [], collections.abc.Iterable[dispatch.ServiceParameters]],
                 count_vms: collections.abc.Callable[[], int],
                 pinned_counts: collections.abc.Mapping[str, int],
                 journal: dispatch.Journal) -> None:
        """Creates a reader.

        Args:
            directory: The registered endpoints.
            admission: The demand of all VMs.
            loads: The load of all VMs.
            list_services: Returns the services of the present configuration.
            count_vms: Returns the number of other VMs that are registered.
            pinned_counts: Numbers of endpoints that the operator has set.
            journal: Logs zones that the configuration has no price for.
        """
        self._directory = directory
        self._admission = admission
        self._loads = loads
        self._list_services = list_services
        self._count_vms = count_vms
        self._pinned_counts = pinned_counts
        self._journal = journal
        self._unpriced: set[tuple[str, str]] = set()

    def list_states(self) -> list[scaling.ServiceState]:
        """Returns the states of all services that have `scaling`."""
        is_complete = (self._directory.is_complete and
                       self._loads.count_peers()
                       >= _MIN_REPORTING_SHARE * self._count_vms())
        return [
            self._make_state(each.name, each.scaling, is_complete)
            for each in self._list_services()
            if each.scaling is not None
        ]

    def may_have_open_streams(self, service: str, version: str) -> bool:
        """Returns whether a service may have open streams of a version.

        Streams of other VMs are not known by service. So each version of a
        service with routes for streams may have some.

        Args:
            service: Name of the service.
            version: Version of its software.
        """
        del version
        return any(each.name == service and
                   each.shortest_inter_event_target is not None
                   for each in self._list_services())

    def _make_state(self, service: str, parameters: scaling.ScalingParameters,
                    is_complete: bool) -> scaling.ServiceState:
        usable = {each.name for each in self._directory.list_usable(service)}
        registered = self._directory.list_registered(service)
        self._check_prices(service, parameters, registered)
        loads = self._loads.list_total_loads()
        return scaling.ServiceState(
            service, parameters, self._admission.find_demands(service),
            sum(
                _find_busy_share(each, loads[each.name])
                for each in registered
                if each.name in loads),
            tuple(
                scaling.PresentEndpoint(each.zone, each.is_preemptible,
                                        each.name not in usable, each.version)
                for each in registered), is_complete,
            self._pinned_counts.get(service))

    def _check_prices(
            self, service: str, parameters: scaling.ScalingParameters,
            registered: collections.abc.Iterable[dispatch.Endpoint]) -> None:
        if not parameters.zone_prices:
            return
        for each in registered:
            place = service, each.zone
            if (each.zone not in parameters.zone_prices and
                    place not in self._unpriced):
                self._unpriced.add(place)
                self._journal.write("zone_without_price",
                                    service=service,
                                    zone=each.zone,
                                    assumed=parameters.find_price(each.zone))


def _find_busy_share(endpoint: dispatch.Endpoint,
                     load: dispatch.EndpointLoad) -> float:
    """Returns how far the requests in flight fill an endpoint.

    An engine with few long prompts has free slots but no time, so the prompts
    that wait for their prefill count, too.

    Args:
        endpoint: The endpoint.
        load: Its load by all VMs; more requests than slots give above 1.
    """
    return max(load.requests / max(1, endpoint.slots),
               min(1.0, load.prefill_tokens / _FULL_PREFILL_TOKENS))
