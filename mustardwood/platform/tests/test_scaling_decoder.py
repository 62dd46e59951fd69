"""Tests that `scaling` and the kinds of endpoints are decoded."""

import datetime
import json

import pytest

from mustardwood import errors
from mustardwood.platform import configuration_decoder
from mustardwood.platform import endpoint_decoder
from mustardwood.platform.tests import documents

_SCALING = {
    "min_replicas": 1,
    "max_replicas": 38,
    "boot_time_s": 4.0,
    "preemptible_price": 0.22,
    "zone_pricing": {
        "pa-nord": 0.85,
        "ct-est": 1.2
    }
}


def _decode(*services):
    document = documents.make_document(services=list(services))
    return configuration_decoder.decode_configuration(
        json.dumps(document).encode())


def _decode_endpoint(**changes):
    registration = documents.make_registration(**changes)
    return endpoint_decoder.decode_endpoint("servers/e1",
                                            json.dumps(registration).encode())


def test_scaling_of_a_service_is_decoded():
    found = _decode({"name": "chat", "scaling": _SCALING})
    scaling = found.table.find_service("chat").scaling
    assert scaling.min_count == 1
    assert scaling.max_count == 38
    assert scaling.boot_time == datetime.timedelta(seconds=4)
    assert scaling.preemptible_price == 0.22
    assert scaling.find_price("ct-est") == 1.2
    assert not found.problems


def test_service_without_scaling_is_not_scaled():
    found = _decode({"name": "a"}, {"name": "b", "scaling": None})
    assert found.table.find_service("a").scaling is None
    assert found.table.find_service("b").scaling is None
    assert not found.problems


def test_missing_zones_and_price_have_defaults():
    found = _decode({"name": "chat", "scaling": {"max_replicas": 3}})
    scaling = found.table.find_service("chat").scaling
    assert scaling.preemptible_price is None
    assert scaling.find_price("anywhere") == 1.0


@pytest.mark.parametrize("changes", [{
    "min_replicas": 39
}, {
    "min_replicas": -1
}, {
    "max_replicas": 0
}, {
    "max_replicas": None
}, {
    "boot_time_s": -1
}, {
    "boot_time_s": 1e300
}, {
    "preemptible_price": -0.1
}, {
    "zone_pricing": {
        "a": -1
    }
}, {
    "zone_pricing": {
        "": 1
    }
}, {
    "zone_pricing": ["a"]
}])
def test_invalid_scaling_leaves_out_only_itself(changes):
    # One wrong limit must not reject the whole configuration.
    found = _decode(
        {
            "name": "chat",
            "runtime": {
                "kv_capacity": 7
            },
            "scaling": {
                **_SCALING,
                **changes
            }
        }, {
            "name": "search",
            "scaling": _SCALING
        })
    assert found.table.find_service("chat").scaling is None
    assert found.table.find_service("chat").memory_tokens == 7
    assert found.table.find_service("search").scaling is not None
    assert len(found.problems) == 1
    assert "'chat'" in found.problems[0]


@pytest.mark.parametrize("value", [4, "x", [], True])
def test_scaling_of_another_type_leaves_out_only_itself(value):
    found = _decode({"name": "chat", "scaling": value})
    assert found.table.find_service("chat").scaling is None
    assert len(found.problems) == 1


def test_kind_and_remaining_time_of_a_registration_are_decoded():
    found = _decode_endpoint(state="draining", preemptible=True, leaves_ms=2500)
    assert found.is_preemptible
    assert found.is_leaving
    assert found.leaves_after == datetime.timedelta(seconds=2.5)


def test_registration_without_kind_is_not_preemptible():
    found = _decode_endpoint()
    assert not found.is_preemptible
    assert found.leaves_after is None


def test_remaining_time_in_the_past_is_zero():
    found = _decode_endpoint(state="draining", leaves_ms=-5)
    assert found.leaves_after == datetime.timedelta()


@pytest.mark.parametrize("changes", [{
    "preemptible": "yes"
}, {
    "leaves_ms": "soon"
}, {
    "leaves_ms": 1e300
}])
def test_malformed_kind_or_time_raises_an_error(changes):
    with pytest.raises(errors.ConfigurationError):
        _decode_endpoint(**changes)
