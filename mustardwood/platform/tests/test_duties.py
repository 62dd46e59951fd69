"""Tests of what the settings of duties create."""

import random

import pytest

from mustardwood import dispatch
from mustardwood import http1
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import duties
from mustardwood.platform import metrics
from mustardwood.platform import settings
from mustardwood.platform import store_client
from mustardwood.platform.tests import simulated_store

_TEXT = """
node_name = "edge-a-1"
zone = "a"
ip = "192.0.2.1"
[listen]
front_addr = "192.0.2.1:8000"
ready = "192.0.2.1:8001"
[platform]
address = "192.0.2.9:8223"
"""


class _Watcher:

    def __init__(self):
        self.prefixes = []

    def add_listener(self, prefix, on_listing, on_item):
        """See `store_watcher.StoreWatcher`."""
        del on_listing, on_item
        self.prefixes.append(prefix)


def _create(tmp_path, names):
    path = tmp_path / "settings.toml"
    path.write_text(_TEXT + (f"""
[cloud_api]
address = "192.0.2.9:8424"
duties = {names}
""" if names is not None else ""),
                    encoding="utf-8")
    clock = timing.ManualClock()
    scheduler = harness_module.FakeScheduler(clock)
    journal = harness_module.FakeJournal()
    watcher = _Watcher()
    pool = simulated_store.SimulatedPool(simulated_store.SimulatedStore(clock),
                                         scheduler, random.Random(1),
                                         lambda _: None)
    client = store_client.StoreClient(simulated_store.STORE_ADDRESS, pool,
                                      scheduler)
    found = duties.Duties.from_settings(settings.read_settings(path), client,
                                        watcher, clock, scheduler, journal,
                                        pool, lambda: (), random.Random(2))
    return found, watcher, journal


def _build_metrics(found):
    page_metrics = metrics.ProcessMetrics()
    found.add_metrics(page_metrics)
    page = page_metrics.build_page()
    assert isinstance(page, http1.Page)
    return page.body.decode()


def test_nothing_is_watched_or_measured_without_duties(tmp_path):
    """Deployments without duties must be served as before."""
    found, watcher, journal = _create(tmp_path, None)
    assert found.settings is None and found.leadership is None
    assert found.usage is None
    assert isinstance(found.request_counter, dispatch.NoRequestCounter)
    found.start()
    assert not watcher.prefixes
    assert not journal.lines
    assert "duty" not in _build_metrics(found)
    found.stop()


def test_unknown_duties_are_logged_once_and_the_others_go_on(tmp_path):
    """A later platform may name duties that this version does not know."""
    found, watcher, journal = _create(tmp_path, ["compact", "usage_report"])
    assert journal.lines == [("duties_unknown", {"duties": ("compact",)})]
    assert found.leadership is not None
    assert "duties/" in watcher.prefixes


def test_only_unknown_duties_need_no_leader(tmp_path):
    """An election would cost calls for nothing."""
    found, watcher, _ = _create(tmp_path, ["compact"])
    assert found.leadership is None
    assert not watcher.prefixes


def test_metrics_tell_the_holder_the_token_and_ended_terms(tmp_path):
    found, _, _ = _create(tmp_path, ["usage_report"])
    page = _build_metrics(found)
    assert "mustardwood_duty_holder 0.0" in page
    assert "mustardwood_duty_token 0.0" in page
    assert "# TYPE mustardwood_terms_ended_total counter" in page
    found.leadership.ended_terms["expired"] += 2
    assert 'mustardwood_terms_ended_total{reason="expired"} 2.0' in (
        _build_metrics(found))


class _Scaling:

    def __init__(self):
        self.is_started = False

    def start(self):
        """See `endpoint_scaling.EndpointScaling`."""
        self.is_started = True


@pytest.mark.parametrize("names, expected", [(None, False),
                                             (["usage_report"], False),
                                             (["autoscale"], True)])
def test_endpoints_are_ordered_where_the_settings_name_that_duty(
        tmp_path, names, expected):
    """Deployments without that duty must not call the API."""
    found, _, _ = _create(tmp_path, names)
    scaling = _Scaling()
    made = []

    def make(leaders, calls):
        made.append((leaders, calls))
        return scaling

    found.add_endpoint_scaling(make)
    found.start()
    assert scaling.is_started == expected
    assert made == ([(found.leadership, found.calls)] if expected else [])
