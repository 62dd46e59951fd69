"""Tests of the states of services, the operators' settings and the metrics."""

import datetime
import random

from mustardwood import dispatch
from mustardwood import leadership
from mustardwood import scaling
from mustardwood import timing
from mustardwood.dispatch.tests import harness
from mustardwood.platform import endpoint_scaling
from mustardwood.platform import metrics
from mustardwood.platform import scaling_settings
from mustardwood.platform import service_state_reader

_SCALING = scaling.ScalingParameters(1, 20, datetime.timedelta(seconds=4), 0.22,
                                     {
                                         "a": 1.0,
                                         "b": 1.0
                                     })
_CHAT = dispatch.ServiceParameters("chat",
                                   scaling=_SCALING,
                                   shortest_inter_event_target=harness.ms(200))


class _Journal:

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        """Keeps a line."""
        self.lines.append((event, fields))


class _Leadership:

    def __init__(self):
        self.holder = "vm-1"

    def find_term(self):
        """Returns a term that does not end."""
        return leadership.Term("vm-1", 7, datetime.timedelta(days=1))

    def end_term(self, reason):
        """Fails, since no test ends the term."""
        raise AssertionError(reason)


class _Calls:

    def __init__(self):
        self.orders = []

    def order_endpoints(self, term, order, done):
        """Accepts an order."""
        del term
        self.orders.append(order)
        done(leadership.CallResult(leadership.CallOutcome.ACCEPTED))


class _Setup:

    def __init__(self, services=(_CHAT,), environment=None, vms=0):
        self.clock = timing.ManualClock()
        self.scheduler = harness.FakeScheduler(self.clock)
        self.journal = _Journal()
        self.notices = dispatch.EndpointNotices("vm-1", self.clock,
                                                lambda _: None)
        self.directory = dispatch.EndpointDirectory(self.clock, self.notices)
        self.loads = dispatch.LoadTable(self.clock)
        self.services = services
        self.vms = vms
        limits = dispatch.EndpointRateLimits("vm-1", self.clock, lambda: (),
                                             lambda _: None, lambda *_: None)
        self.admission = dispatch.TierAdmission(self.clock, self.loads, limits,
                                                dispatch.PlacementSettings())
        self.settings = scaling_settings.ScalingSettings.from_environment(
            environment or {})
        self.reader = service_state_reader.ServiceStateReader(
            self.directory, self.admission, self.loads, lambda: self.services,
            lambda: self.vms, self.settings.pinned_counts, self.journal)
        self.directory.record_listing(self.clock.monotonic())

    def add(self, name, zone="a", **changes):
        """Registers an endpoint."""
        self.directory.set_endpoint(
            dispatch.Endpoint(name, "chat", "192.0.2.1", 80, zone, 16,
                              **changes))

    def read(self):
        """Returns the state of the only service."""
        state, = self.reader.list_states()
        return state


def test_state_has_the_kind_zone_and_state_of_endpoints():
    setup = _Setup()
    setup.add("e1")
    setup.add("e2", "b", is_preemptible=True, version="v2")
    setup.add("e3", is_preemptible=True, is_leaving=True)
    found = setup.read().endpoints
    assert scaling.PresentEndpoint("a") in found
    assert scaling.PresentEndpoint("b", True, False, "v2") in found
    assert scaling.PresentEndpoint("a", True, True) in found


def test_endpoint_that_said_that_it_leaves_is_draining():
    # A response tells it seconds before the registration.
    setup = _Setup()
    setup.add("e1", started=5)
    setup.notices.record(
        setup.directory.find_endpoint("e1").incarnation,
        dispatch.NoticeKind.LEAVING)
    assert setup.read().endpoints[0].is_draining


def test_requests_and_waiting_prompts_make_endpoints_busy():
    setup = _Setup()
    setup.add("e1")
    setup.add("e2")
    setup.loads.add("e1", dispatch.EndpointLoad(requests=8))
    setup.loads.add("e2", dispatch.EndpointLoad(requests=1,
                                                prefill_tokens=9000))
    setup.loads.add("gone", dispatch.EndpointLoad(requests=16))
    assert setup.read().busy_count == 1.5


def test_service_without_scaling_is_left_out():
    setup = _Setup(services=(dispatch.ServiceParameters("api"),))
    assert not setup.reader.list_states()


def test_state_is_incomplete_without_a_recent_list():
    setup = _Setup()
    assert setup.read().is_complete
    setup.clock.advance(datetime.timedelta(seconds=9))
    assert not setup.read().is_complete


def test_state_is_incomplete_without_the_reports_of_most_vms():
    # The demand of the others would be missing.
    setup = _Setup(vms=10)
    assert not setup.read().is_complete
    for each in range(6):
        setup.loads.set_peer_loads(f"vm-{each}", {})
    assert not setup.read().is_complete
    setup.loads.set_peer_loads("vm-7", {})
    assert setup.read().is_complete


def test_zone_without_a_price_is_logged_once():
    setup = _Setup()
    setup.add("e1", "c")
    setup.read()
    setup.read()
    assert [event for event, _ in setup.journal.lines] == ["zone_without_price"]


def test_versions_of_services_with_streams_may_have_open_streams():
    setup = _Setup(services=(_CHAT, dispatch.ServiceParameters("api")))
    assert setup.reader.may_have_open_streams("chat", "v1")
    assert not setup.reader.may_have_open_streams("api", "v1")


def test_settings_are_read_from_the_environment():
    found = scaling_settings.ScalingSettings.from_environment({
        scaling_settings.ORDERS_VARIABLE: "0",
        scaling_settings.PINS_VARIABLE: "chat=24, search = 3"
    })
    assert not found.is_enabled
    assert found.pinned_counts == {"chat": 24, "search": 3}
    assert not found.problems


def test_wrong_settings_are_ignored_one_by_one():
    found = scaling_settings.ScalingSettings.from_environment({
        scaling_settings.ORDERS_VARIABLE: "off",
        scaling_settings.PINS_VARIABLE: "chat=24,search=-3,=4,x,api="
    })
    assert found.is_enabled
    assert found.pinned_counts == {"chat": 24}
    assert len(found.problems) == 5


def test_settings_have_defaults():
    found = scaling_settings.ScalingSettings.from_environment({})
    assert found == scaling_settings.ScalingSettings()
    assert found.is_enabled


def _start(setup, calls):
    process_metrics = metrics.ProcessMetrics()
    endpoint_scaling.EndpointScaling(setup.clock, setup.scheduler,
                                     setup.journal, setup.reader, _Leadership(),
                                     calls, setup.settings,
                                     process_metrics).start()
    setup.scheduler.advance(datetime.timedelta(seconds=3))
    return process_metrics.build_page().body.decode()


def test_orders_are_sent_and_shown_in_the_metrics():
    setup = _Setup()
    for each in range(10):
        setup.add(f"e{each}", random.Random(each).choice("ab"))
    calls = _Calls()
    page = _start(setup, calls)
    assert {each.zone for each in calls.orders} == {"a", "b"}
    assert ('mustardwood_endpoints_wanted{kind="regular",service="chat",'
            'zone="a"}') in page
    assert ('mustardwood_endpoints_present{kind="preemptible",service="chat",'
            'state="draining",zone="b"} 0.0') in page
    assert (f'mustardwood_endpoint_orders_total{{outcome="accepted"}} '
            f'{float(len(calls.orders))}') in page
    assert any(event == "endpoint_order" for event, _ in setup.journal.lines)


def test_switched_off_orders_are_logged_and_not_sent():
    setup = _Setup(
        environment={
            scaling_settings.ORDERS_VARIABLE: "0",
            scaling_settings.PINS_VARIABLE: "chat"
        })
    for each in range(10):
        setup.add(f"e{each}")
    calls = _Calls()
    _start(setup, calls)
    assert not calls.orders
    events = [event for event, _ in setup.journal.lines]
    assert events == ["scaling_setting_rejected", "scaling_settings"]


def test_pinned_number_is_ordered():
    setup = _Setup(environment={scaling_settings.PINS_VARIABLE: "chat=14"})
    for each in range(10):
        setup.add(f"e{each}", "ab"[each % 2])
    calls = _Calls()
    _start(setup, calls)
    last = {
        (each.zone, each.is_preemptible): each.count for each in calls.orders
    }
    assert sum(last.values()) <= 14
    assert last
