"""Decodes the operator's configuration from the platform's store."""

import datetime

import msgspec

from mustardwood import decoding
from mustardwood import dispatch
from mustardwood import errors
from mustardwood import http1
from mustardwood import scaling
from mustardwood.platform import scaling_decoder

_STREAMING_ROUTE = "streaming"
_IDEMPOTENT_ROUTE = "idempotent"


class _WeightedService(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    """A route as the store holds it.

    `goal_ms` is the latency target for the first byte and `itl_goal_ms` that
    between two events (not tokens) of a stream; `backends` are services (not
    endpoints) with weights; `anonymous` means that no API key is required.
    """

    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    goal_ms: float = 1000.0
    priority: int = 5
    service: str = ""
    backends: tuple[_WeightedService, ...] = ()
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


class _Runtime(msgspec.Struct, frozen=True):
    """Parameters of an engine.

    `kv_capacity` is the capacity of its KV cache in tokens, 0 if unknown;
    `stride` is the number of tokens in an event of a stream.
    """

    kv_capacity: int = 0
    stride: int = 1


class _Service(msgspec.Struct, frozen=True):
    """A service as the store holds it.

    `runtime` describes its engines; `scaling` is decoded apart, so that an
    error in it concerns nothing else.
    """

    name: str
    runtime: _Runtime | None = None
    scaling: msgspec.Raw = msgspec.Raw(b"null")


class _Document(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        table: Routes, services and API keys.
        limits: Limits of callers' connections.
        problems: Parts of the document that were left out because they are
            invalid, each with its reason.
    """

    table: dispatch.RouteTable
    limits: http1.ConnectionLimits
    problems: tuple[str, ...] = ()


def decode_configuration(value: bytes) -> Configuration:
    """Decodes a configuration.

    Raises:
        errors.ConfigurationError: If the value is malformed or holds wrong
            types.
    """
    try:
        return _build_configuration(
            decoding.decode_json(value, _Document, strict=False))
    except (decoding.DecodingError, OverflowError) as error:
        raise errors.ConfigurationError(
            f"The stored configuration is malformed: {error}.",
            "Write a valid one; the previous version stays in use.")


def _build_configuration(document: _Document) -> Configuration:
    """Builds a configuration.

    Raises:
        OverflowError: If a time is longer than can be represented.
    """
    has_keys = document.tenants is not None
    problems: list[str] = []
    table = dispatch.RouteTable(
        document.version,
        [_decode_route(each, has_keys) for each in document.routes], [
            dispatch.Organisation(each.name, frozenset(each.api_keys),
                                  each.priority)
            for each in document.tenants or ()
        ], [_decode_service(each, problems) for each in document.services])
    limits = document.limits
    return Configuration(
        table,
        http1.ConnectionLimits(limits.max_header_bytes, limits.max_body_bytes,
                               _to_timedelta(limits.header_timeout_ms),
                               _to_timedelta(limits.idle_timeout_ms)),
        tuple(problems))


def _decode_route(route: _Route, has_keys: bool) -> dispatch.Route:
    is_stream = route.route_type == _STREAMING_ROUTE
    targets = tuple(
        dispatch.RouteTarget(each.service, each.weight)
        for each in route.backends)
    return dispatch.Route(name=route.name,
                          host=route.hostname.lower(),
                          path_prefix=route.path_prefix,
                          targets=targets or
                          (dispatch.RouteTarget(route.service, 1.0),),
                          tier=route.priority,
                          first_byte_target=_to_timedelta(route.goal_ms),
                          inter_event_target=_to_timedelta(route.itl_goal_ms),
                          time_limit=_to_timedelta(route.timeout_ms),
                          retry_policy=_decode_retry_policy(route),
                          is_stream=is_stream,
                          max_runs=max(1, route.max_attempts),
                          needs_key=has_keys and not route.anonymous)


def _decode_service(service: _Service,
                    problems: list[str]) -> dispatch.ServiceParameters:
    """Returns the parameters of a service.

    Args:
        service: The service.
        problems: Receives the reason why a part of it is left out.
    """
    runtime = service.runtime or _Runtime()
    limits: scaling.ScalingParameters | None = None
    try:
        limits = scaling_decoder.decode_scaling(service.scaling)
    except errors.ConfigurationError as error:
        problems.append(f"Service {service.name!r}: {error}")
    return dispatch.ServiceParameters(service.name,
                                      runtime.kv_capacity,
                                      max(1, runtime.stride),
                                      scaling=limits)


def _decode_retry_policy(route: _Route) -> dispatch.RetryPolicy:
    if route.route_type == _STREAMING_ROUTE and route.resumable:
        return dispatch.RetryPolicy.RESUMABLE
    if route.route_type == _IDEMPOTENT_ROUTE:
        return dispatch.RetryPolicy.IDEMPOTENT
    return dispatch.RetryPolicy.AT_MOST_ONCE


def _to_timedelta(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)
