"""Example documents as the platform's store holds them."""

import base64
import json

from mustardwood.platform import store_client

HOST = "example.org"


def make_document(version=7, **changes):
    """Returns a configuration document of the operator, with changed fields."""
    document = {
        "version":
            version,
        "routes": [{
            "name": "r-stream",
            "hostname": HOST,
            "path_prefix": "/stream/",
            "route_type": "streaming",
            "timeout_ms": 12000,
            "goal_ms": 300,
            "priority": 0,
            "service": "engine",
            "max_attempts": 2,
            "anonymous": False,
            "affinity": True,
            "resumable": True,
            "itl_goal_ms": 250
        }, {
            "name": "r-post",
            "hostname": HOST,
            "path_prefix": "/post/",
            "route_type": "non_idempotent",
            "timeout_ms": 1200,
            "goal_ms": 200,
            "priority": 2,
            "backends": [{
                "service": "api",
                "weight": 90
            }, {
                "service": "engine",
                "weight": 10
            }],
            "max_attempts": 1
        }, {
            "name": "r-open",
            "hostname": HOST,
            "path_prefix": "/open/",
            "route_type": "idempotent",
            "timeout_ms": 1200,
            "priority": 2,
            "service": "api",
            "max_attempts": 2,
            "anonymous": True
        }],
        "services": [{
            "name": "engine",
            "runtime": {
                "slots": 64,
                "kv_capacity": 1000
            }
        }, {
            "name": "api"
        }],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 1000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000
        },
        "tenants": [{
            "name": "tatra",
            "api_keys": ["key-1", "key-2"],
            "priority": 1
        }, {
            "name": "strih",
            "api_keys": ["key-3"]
        }]
    }
    return {**document, **changes}


def make_item(key, value, revision=1, era=0):
    """Returns an item of the store; values other than bytes become JSON."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return store_client.Item(key,
                             base64.b64encode(data).decode(), revision, era)


def make_registration(**changes):
    """Returns the registration of an endpoint, with changed fields."""
    entry = {
        "service": "api",
        "address": "192.0.2.5:8080",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 4,
        "born": 1700000000000
    }
    return {**entry, **changes}
