"""Tests of the priority that engines receive with a request."""

import json

from mustardwood import dispatch
from mustardwood import http1
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import configuration_decoder
from mustardwood.platform import endpoint_client
from mustardwood.platform import request_decoder
from mustardwood.platform.tests import documents


class _Pool:

    def __init__(self):
        self.sent = []

    def send(self, address, http_request, listener, max_idle_time, before_write,
             request_id):
        """Records the request."""
        del address, listener, max_idle_time, before_write, request_id
        self.sent.append(http_request)


def _make_table(organisation_priorities,
                route_priorities) -> dispatch.RouteTable:
    """Returns a table with a route for each priority, named after it."""
    routes = [{
        "name": f"r-{priority}",
        "hostname": documents.HOST,
        "path_prefix": f"/{priority}/",
        "route_type": "streaming",
        "timeout_ms": 12000,
        "priority": priority,
        "service": "engine",
    } for priority in route_priorities]
    tenants = [{
        "name": f"o-{priority}",
        "api_keys": [f"key-{priority}"],
        "priority": priority,
    } for priority in organisation_priorities]
    document = documents.make_document(routes=routes, tenants=tenants)
    return configuration_decoder.decode_configuration(
        json.dumps(document).encode()).table


def _find_engine_priority(table, organisation_priority, route_priority):
    """Returns the priority that an engine receives from a caller's request."""
    http_request = http1.HttpRequest(
        "POST", f"/{route_priority}/x",
        [(b"Host", documents.HOST.encode()),
         (b"Authorization", f"Bearer key-{organisation_priority}".encode()),
         (b"Mustardwood-Attempt-Id", b"a1"),
         (b"Mustardwood-Token-Usage", b"100,10")], b"")
    request = request_decoder.decode_request(http_request, table,
                                             harness_module.ms(0))
    pool = _Pool()
    endpoint_client.HttpEndpointClient(pool).send(
        request, harness_module.make_endpoint(0), harness_module.ms(1000), None,
        None, lambda: None)
    return next(
        int(value)
        for name, value in pool.sent[0].headers
        if name == b"Mustardwood-Request-Priority")


def test_engine_priority_distinguishes_the_routes_of_an_organisation():
    table = _make_table((0, 1), (0, 1, 2))
    priorities = [
        _find_engine_priority(table, organisation, route)
        for organisation in (0, 1)
        for route in (0, 1, 2)
    ]
    # The organisation's priority comes before that of the route.
    assert priorities == sorted(set(priorities))


def test_more_tiers_than_engine_priorities_keep_their_order():
    table = _make_table(range(6), range(6))
    priorities = [
        _find_engine_priority(table, organisation, route)
        for organisation in range(6)
        for route in range(6)
    ]
    assert priorities == sorted(priorities)
    assert set(priorities) == set(range(10))


def test_most_urgent_tiers_never_share_an_engine_priority():
    """Engines preempt the newest of the requests that they take for equals."""
    table = _make_table(range(4), range(3))
    priorities = [
        _find_engine_priority(table, organisation, route)
        for organisation in range(4)
        for route in range(3)
    ]
    assert priorities[:10] == list(range(10))
    assert set(priorities[10:]) == {9}


def test_organisation_without_priority_has_that_of_the_route():
    table = _make_table((None, 1), (0, 2))
    assert [
        _find_engine_priority(table, organisation, route)
        for organisation, route in ((None, 0), (1, 0), (1, 2), (None, 2))
    ] == [0, 1, 2, 3]
