"""Decoding of records of the platform's store into the project's types."""

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from expression import Error, Ok, Result

from bilberryspoke._internal.models.routetable import RouteTable
from bilberryspoke._internal.models.routing import (
    ApiKeyHolder,
    EngineLimits,
    IngressLimits,
    ListedUpstream,
    RetrySafety,
    Route,
    Service,
    Target,
)
from bilberryspoke._internal.utils.addresses import is_address

# Keys in the platform's store: that of the configuration record, and the
# prefix of the upstreams' keys, which is followed by the instance id.
CONFIG_KEY = 'op/config'
UPSTREAM_PREFIX = 'servers/'

_MS_PER_S = 1000.0
_STREAMING = 'streaming'
_SAFE = 'safe'
_NON_IDEMPOTENT = 'non_idempotent'
_READY = 'ready'
_DRAINING = 'draining'


# Twice the largest value of the store. A decoded one is many times as large.
_MAX_RECORD_BYTES = 2_097_152
# VMs pass entries on to one another, in messages of limited size and with
# numbers of 64 bits.
_MAX_NUMBER = 9_223_372_036_854_775_807
_MAX_TEXT_LENGTH = 200
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_Text = Annotated[str, msgspec.Meta(max_length=_MAX_TEXT_LENGTH)]
_MAX_WARMUP_MS = 1e10


class _Record(msgspec.Struct, rename='kebab'):
    """Base of all records; unknown fields are ignored."""


class _Target(_Record):
    service: str
    weight: float = 1


class _Route(_Record):
    """Route in the configuration record.

    ``kind``: ``streaming``, ``safe`` (idempotent) or ``non_idempotent``.
    ``priority``: 0 is the most urgent.
    ``service``: target of all calls, used if ``traffic_split`` is empty.
    ``stream_resume``: whether an interrupted stream may be resumed.
    ``gap_target_ms``: target of the inter-token gap; None if there is none.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    priority: int = 5
    service: str = ''
    traffic_split: list[_Target] = []
    max_attempts: int = 1
    skip_auth: bool = False
    stream_resume: bool = False
    gap_target_ms: float | None = None


class _Engine(_Record):
    """Capacity of a model engine.

    ``slots``: number of calls it works on at the same time.
    ``kv_capacity``: size of its key-value cache, in tokens.
    """

    slots: int
    kv_capacity: int = 0


class _Service(_Record):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(_Record):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(_Record):
    """The platform's record of a workspace.

    ``priority``: replaces the priority of the route unless it is None.
    """

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(_Record):
    version: _Count
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Server(_Record):
    """The platform's record of one incarnation of an upstream.

    ``slots``: number of calls it works on at the same time.
    ``cold_remaining_ms``: time for which it is still slow after its start.
    ``born``: Unix time of its creation, in milliseconds.
    ``sequence``: counts what it has written since its start, from 1.
    ``version``: that of its software, not of the weights that it serves.
    """

    service: _Text
    address: _Text
    zone: _Text
    slots: Annotated[int, msgspec.Meta(le=_MAX_NUMBER)]
    state: str
    version: _Text
    cold_remaining_ms: Annotated[float, msgspec.Meta(le=_MAX_WARMUP_MS)]
    sequence: Annotated[int, msgspec.Meta(ge=1, le=_MAX_NUMBER)]
    born: _Count = 0


def decode_route_table(raw: bytes) -> Result[RouteTable, str]:
    """Decode a route table from the JSON of the configuration record.

    A ``max-attempts`` below 1 is read as 1. The error says what was expected
    and where.
    """
    decoded = _decode_json(raw, _Config)
    if decoded.is_error():
        return Error(decoded.error)
    config = decoded.ok
    known_kinds = {_STREAMING, _SAFE, _NON_IDEMPOTENT}
    for index, route in enumerate(config.routes):
        if route.kind not in known_kinds:
            return Error(
                f'unknown route kind {route.kind}, expected streaming, safe or '
                f'non_idempotent - at `$.routes[{index}]`'
            )
        if not route.service and not route.traffic_split:
            return Error(
                f'expected service or traffic-split, got neither'
                f' - at `$.routes[{index}]`'
            )
    return Ok(_make_route_table(config, raw))


def decode_upstream(key: str, raw: bytes) -> Result[ListedUpstream, str]:
    """Decode an upstream from the key and JSON of its record.

    A number of slots below 1 is read as 1. The error says what was expected
    and where.
    """
    decoded = _decode_json(raw, _Server)
    if decoded.is_error():
        return Error(decoded.error)
    server = decoded.ok
    if server.state not in {_READY, _DRAINING}:
        return Error(
            f'unknown server state {server.state}, expected ready or draining'
            f' - at `$.state`'
        )
    if not is_address(server.address):
        return Error(
            f'expected an address HOST:PORT, got {server.address}'
            f' - at `$.address`'
        )
    return Ok(
        ListedUpstream(
            instance=key.removeprefix(UPSTREAM_PREFIX),
            service=server.service,
            address=server.address,
            data_centre=server.zone,
            slots=max(1, server.slots),
            leaving=server.state == _DRAINING,
            warmup_remaining_s=server.cold_remaining_ms / _MS_PER_S,
            created_ms=server.born,
            sequence=server.sequence,
            software_version=server.version,
        ),
    )


def _decode_json(raw: bytes, record_type: type) -> Result[Any, str]:
    """Decode a record; any bytes may be stored under its key."""
    if len(raw) > _MAX_RECORD_BYTES:
        return Error(f'the record is over {_MAX_RECORD_BYTES} bytes')
    try:
        return Ok(msgspec.json.decode(raw, type=record_type))
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Error(str(exc))
    except RecursionError:
        return Error('nested too deeply')


def _make_route_table(config: _Config, raw: bytes) -> RouteTable:
    limits = config.limits
    return RouteTable(
        version=config.version,
        routes=tuple(_make_route(route) for route in config.routes),
        services={each.name: _make_service(each) for each in config.services},
        limits=IngressLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=limits.idle_timeout_ms / _MS_PER_S,
        ),
        api_key_holders=_index_api_keys(config.tenants),
        uses_keys=bool(config.tenants),
        encoded=raw,
    )


def _make_route(route: _Route) -> Route:
    targets = route.traffic_split or [_Target(route.service)]
    gap_ms = route.gap_target_ms
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        targets=tuple(Target(each.service, each.weight) for each in targets),
        repeats=_get_retry_safety(route),
        streams=route.kind == _STREAMING,
        timeout_s=route.timeout_ms / _MS_PER_S,
        latency_target_s=route.target_latency_ms / _MS_PER_S,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        needs_key=not route.skip_auth,
        max_event_gap_s=None if gap_ms is None else gap_ms / _MS_PER_S,
    )


def _get_retry_safety(route: _Route) -> RetrySafety:
    if route.kind == _SAFE:
        return RetrySafety.any_time
    if route.kind == _STREAMING and route.stream_resume:
        return RetrySafety.resumed
    return RetrySafety.never


def _make_service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        name=service.name,
        max_connections=service.max_connections,
        engine=EngineLimits(engine.slots, engine.kv_capacity)
        if engine
        else None,
    )


def _index_api_keys(tenants: list[_Tenant]) -> Mapping[str, ApiKeyHolder]:
    return {
        key: ApiKeyHolder(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }
