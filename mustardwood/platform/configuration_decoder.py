"""The operator's configuration as the platform's store holds it."""

import datetime

import msgspec

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import http1

_STREAM = "streaming"
_IDEMPOTENT = "idempotent"


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    """A route on the wire.

    `goal_ms` is the aim to the first byte, `itl_goal_ms` the longest pause
    between events (not between tokens), `backends` the services with their
    weights (not endpoints), and `anonymous` tells that no key is asked for.
    """

    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    goal_ms: float = 1000.0
    priority: int = 5
    service: str = ""
    backends: tuple[_Share, ...] = ()
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    itl_goal_ms: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Engine(msgspec.Struct, frozen=True):
    """Figures of an engine; `stride` is the number of tokens in an event."""

    kv_capacity: int = 0
    stride: int = 1


class _Service(msgspec.Struct, frozen=True):
    """A service on the wire; `runtime` tells of its engines."""

    name: str
    runtime: _Engine | None = None


class _Document(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        table: Routes and keys.
        limits: Bounds on callers' connections.
    """

    table: dispatch.RouteTable
    limits: http1.ConnectionLimits


def decode_configuration(value: bytes) -> Configuration:
    """Decodes a configuration.

    Raises:
        errors.ConfigurationError: If it can't be read or holds wrong types.
    """
    try:
        document = msgspec.json.decode(value, type=_Document, strict=False)
    except msgspec.MsgspecError as error:
        raise errors.ConfigurationError(
            f"The stored configuration can't be read: {error}.",
            "Write a valid one; the version before stays in force.")
    has_keys = document.tenants is not None
    table = dispatch.RouteTable(
        document.version,
        [_decode_route(each, has_keys) for each in document.routes], [
            dispatch.Organisation(each.name, frozenset(each.api_keys),
                                  each.priority)
            for each in document.tenants or ()
        ], [_decode_service(each) for each in document.services])
    limits = document.limits
    return Configuration(
        table,
        http1.ConnectionLimits(limits.max_header_bytes, limits.max_body_bytes,
                               _to_span(limits.header_timeout_ms),
                               _to_span(limits.idle_timeout_ms)))


def _decode_route(route: _Route, has_keys: bool) -> dispatch.Route:
    is_stream = route.route_type == _STREAM
    backends = tuple(
        dispatch.Backend(each.service, each.weight) for each in route.backends)
    return dispatch.Route(name=route.name,
                          host=route.hostname.lower(),
                          path_prefix=route.path_prefix,
                          backends=backends or
                          (dispatch.Backend(route.service, 1.0),),
                          tier=route.priority,
                          first_byte_target=_to_span(route.goal_ms),
                          inter_event_target=_to_span(route.itl_goal_ms),
                          time_limit=_to_span(route.timeout_ms),
                          retry_policy=_decode_repeat(route),
                          is_stream=is_stream,
                          max_runs=max(1, route.max_attempts),
                          needs_key=has_keys and not route.anonymous)


def _decode_service(service: _Service) -> dispatch.ServiceParameters:
    if service.runtime is None:
        return dispatch.ServiceParameters(service.name)
    return dispatch.ServiceParameters(service.name, service.runtime.kv_capacity,
                                      max(1, service.runtime.stride))


def _decode_repeat(route: _Route) -> dispatch.RetryPolicy:
    if route.route_type == _STREAM and route.resumable:
        return dispatch.RetryPolicy.RESUMABLE
    if route.route_type == _IDEMPOTENT:
        return dispatch.RetryPolicy.IDEMPOTENT
    return dispatch.RetryPolicy.AT_MOST_ONCE


def _to_span(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)
