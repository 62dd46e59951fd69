"""Tests of the decoders of configurations, registrations and requests."""

import datetime
import json

import pytest

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import http1
from mustardwood.platform import configuration_decoder
from mustardwood.platform import endpoint_decoder
from mustardwood.platform import request_decoder
from mustardwood.platform.tests import documents

_START = datetime.timedelta(seconds=100)


def _decode(**changes):
    return configuration_decoder.decode_configuration(
        json.dumps(documents.make_document(**changes)).encode())


def _make_http_request(path, headers=(), method="POST"):
    sent = {
        b"Host": documents.HOST.encode(),
        b"Mustardwood-Attempt-Id": b"a1",
        b"Authorization": b"Bearer key-1",
        b"Mustardwood-Deadline-Ms": b"5000",
    }
    sent.update(headers)
    return http1.HttpRequest(method, path, list(sent.items()), b"body")


def _decode_request(path, headers=(), table=None):
    return request_decoder.decode_request(_make_http_request(path, headers),
                                          table or _decode().table, _START)


def test_route_type_determines_the_retry_policy():
    table = _decode().table
    expected = {
        "/stream/x": dispatch.RetryPolicy.RESUMABLE,
        "/post/x": dispatch.RetryPolicy.AT_MOST_ONCE,
        "/open/x": dispatch.RetryPolicy.IDEMPOTENT,
    }
    for path, retry_policy in expected.items():
        assert table.find_route(documents.HOST,
                                path).retry_policy is retry_policy


def test_stream_that_is_not_resumable_runs_at_most_once():
    document = documents.make_document()
    document["routes"][0]["resumable"] = False
    found = configuration_decoder.decode_configuration(
        json.dumps(document).encode())
    route = found.table.find_route(documents.HOST, "/stream/x")
    assert route.retry_policy is dispatch.RetryPolicy.AT_MOST_ONCE


@pytest.mark.parametrize("value", [
    b"", b"{", b"[]", b"null", b"\xff\xfe", b'{"version": "x"}',
    b'{"version": 3, "routes": [{}]}', b'{"version": 3, "routes": 4}',
    b'{"version": 3, "x": ' + b"[" * 5000 + b"]" * 5000 + b"}",
    b'{"version": 3, "limits": {"idle_timeout_ms": 1e300}}'
])
def test_malformed_configuration_raises_an_error_with_a_remedy(value):
    with pytest.raises(errors.ConfigurationError) as caught:
        configuration_decoder.decode_configuration(value)
    assert caught.value.remedy


@pytest.mark.parametrize("changes", [{
    "address": 4
}, {
    "address": "nowhere"
}, {
    "state": "paused"
}, {
    "state": None
}, {
    "service": 3
}, {
    "slots": "many"
}, {
    "born": "yesterday"
}, {
    "version": 2
}, {
    "version": "v" * 101
}, {
    "cold_remaining_ms": "none"
}, {
    "sequence": 1.5
}, {
    "slots": 0
}, {
    "slots": -5
}, {
    "slots": 2**64
}, {
    "born": -2**63
}, {
    "born": 2**64 - 1
}, {
    "born": 2**80
}])
def test_registration_with_an_invalid_field_is_rejected(changes):
    value = json.dumps(documents.make_registration(**changes)).encode()
    with pytest.raises(errors.ConfigurationError):
        endpoint_decoder.decode_endpoint("servers/i-1", value)


@pytest.mark.parametrize("address", [
    "192.0.2.5", "192.0.2.5:", ":80", "192.0.2.5:0", "192.0.2.5:70000",
    "192.0.2.5:" + "9" * 400, "192.0.2.5:" + "9" * 5000,
    "192.0.2.5:\u0668\u0660", "192.0.2.5:+80", "192.0.2.5: 80", "\0:80",
    "..:80", "h" * 300 + ":80", "host:80", "192.0.2:80", "192.0.2.256:80"
])
def test_registration_with_an_impossible_address_is_rejected(address):
    """A connection to it raises other errors than an unreachable one."""
    value = json.dumps(documents.make_registration(address=address)).encode()
    with pytest.raises(errors.ConfigurationError) as caught:
        endpoint_decoder.decode_endpoint("servers/i-1", value)
    assert len(str(caught.value)) < 500


@pytest.mark.parametrize("name", ["models", "zone", "unknown"])
@pytest.mark.parametrize("levels", [1000, 100_000])
def test_deeply_nested_registration_is_rejected(name, levels):
    """The decoder raises `RecursionError` for it, even in an unused field."""
    entry = documents.make_registration(**{name: "nested"})
    value = json.dumps(entry).replace('"nested"', "[" * levels + "]" * levels)
    with pytest.raises(errors.ConfigurationError):
        endpoint_decoder.decode_endpoint("servers/i-1", value.encode())


@pytest.mark.parametrize("name", [
    "service", "address", "zone", "version", "slots", "state",
    "cold_remaining_ms", "sequence"
])
def test_registration_that_lacks_a_field_is_rejected(name):
    """It is not an endpoint's, and nobody may answer at its address."""
    entry = documents.make_registration()
    del entry[name]
    with pytest.raises(errors.ConfigurationError):
        endpoint_decoder.decode_endpoint("servers/i-1",
                                         json.dumps(entry).encode())


def test_registration_without_optional_fields_is_accepted():
    entry = documents.make_registration(state="draining")
    del entry["born"]
    found = endpoint_decoder.decode_endpoint("servers/i-1",
                                             json.dumps(entry).encode())
    assert (found.name, found.is_leaving) == ("i-1", True)
    assert not found.started


def test_version_of_the_software_is_read_from_the_registration():
    value = json.dumps(documents.make_registration(version="v1.1")).encode()
    found = endpoint_decoder.decode_endpoint("servers/i-1", value)
    assert found.version == "v1.1"


def test_deadline_is_the_earlier_of_the_routes_and_the_callers():
    assert _decode_request(
        "/stream/x").expires_at == _START + datetime.timedelta(seconds=5)
    assert _decode_request("/post/x").expires_at == _START + datetime.timedelta(
        milliseconds=1200)


def test_tier_ranks_the_organisation_before_the_route():
    other_key = {b"Authorization": b"Bearer key-3"}
    requests = [
        _decode_request("/stream/x", other_key),
        _decode_request("/stream/x"),
        _decode_request("/post/x"),
        _decode_request("/post/x", other_key),
    ]
    assert [each.tier for each in requests] == [0, 1, 2, 3]
    assert {each.tier_count for each in requests} == {4}


@pytest.mark.parametrize("headers, status", [
    ({
        b"Authorization": b"Bearer unknown"
    }, 401),
    ({
        b"Authorization": b"Basic key-1"
    }, 401),
    ({
        b"Host": b"other.example"
    }, 404),
])
def test_unknown_key_and_unknown_host_are_refused(headers, status):
    assert _decode_request("/stream/x", headers).status == status


def test_request_is_refused_with_503_before_the_first_configuration():
    found = request_decoder.decode_request(_make_http_request("/stream/x"),
                                           None, _START)
    assert found.status == 503
    assert found.retry_after is not None


def test_headers_that_only_the_router_sets_are_removed():
    headers = {
        b"Mustardwood-Tenant": b"forged",
        b"mustardwood-cache-retention": b"1",
        b"MUSTARDWOOD-PIN-MS": b"100",
        b"Kv-From": b"192.0.2.1:1/1",
        b"Mustardwood-Kv-Backup": b"192.0.2.1:1",
        b"Mustardwood-Request-Priority": b"0",
        b"Mustardwood-Expect-Replica": b"i-9",
        b"Connection": b"X-Own, Mustardwood-Attempt-Id",
        b"X-Own": b"1",
        b"X-Kept": b"2",
        b"Transfer-Encoding": b"chunked",
    }
    request = _decode_request("/stream/x", headers)
    assert sorted(name.lower() for name, _ in request.headers) == [
        b"host", b"mustardwood-attempt-id", b"x-kept"
    ]


def test_id_of_the_resumed_stream_is_decoded_and_forwarded():
    request = _decode_request("/stream/x", {
        b"Last-Event-Id": b"4",
        b"Resumes": b"a0"
    })
    assert (request.last_event_id, request.resumed_request_id) == (4, "a0")
    assert (b"Resumes", b"a0") in request.headers


def test_resumed_stream_keeps_its_service_on_a_split_route():
    routes = documents.make_document()["routes"]
    routes[0]["service"] = ""
    routes[0]["backends"] = [{
        "service": "api",
        "weight": 1
    }, {
        "service": "engine",
        "weight": 1
    }]
    table = _decode(routes=routes).table
    for number in range(20):
        first = _decode_request("/stream/x",
                                {b"Mustardwood-Attempt-Id": b"%d" % number},
                                table)
        resumed = _decode_request(
            "/stream/x", {
                b"Mustardwood-Attempt-Id": b"r%d" % number,
                b"Last-Event-Id": b"4",
                b"Resumes": b"%d" % number
            }, table)
        assert resumed.service == first.service


def test_request_names_the_past_services_of_its_route():
    routes = documents.make_document()["routes"]
    old = _decode(routes=routes).table
    past = routes[0]["service"]
    routes[0]["service"] = "engine-b"
    table = _decode(routes=routes).table
    table.record_previous(old, _START)
    request = _decode_request("/stream/x", {}, table)
    assert (request.service, request.past_services) == ("engine-b", {past})


@pytest.mark.parametrize("value", [b"", b"x" * 201, b"x" * 100_000])
def test_missing_or_oversized_id_of_a_resumed_stream_is_ignored(value):
    request = _decode_request("/stream/x", {
        b"Last-Event-Id": b"4",
        b"Resumes": value
    })
    assert (request.last_event_id, request.resumed_request_id) == (4, "")


def test_prompt_parts_and_token_counts_are_decoded():
    request = _decode_request(
        "/stream/x", {
            b"Mustardwood-Token-Usage": b"1460,80",
            b"Mustardwood-Prompt-Prefix": b"5c:800,91:410,e4:250",
        })
    assert request.prompt.prefix_key == "91"
    assert request.prompt.shared_tokens == 1210
    assert request.prompt.output_tokens == 80


@pytest.mark.parametrize("value", [b"", b"x", b"1,2,3", b"-4,5", b",,"])
def test_request_with_malformed_token_counts_is_accepted(value):
    request = _decode_request("/stream/x", {b"Mustardwood-Token-Usage": value})
    assert request.prompt.input_tokens == 0
