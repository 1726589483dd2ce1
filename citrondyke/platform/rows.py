"""The rows that the platform writes: the operator's configuration and the backend servers."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.forwarding.listed_backend import ListedBackend
from citrondyke.decisions.forwarding.route import Route, RouteKind, RouteLimits, ServiceShare
from citrondyke.decisions.forwarding.route_table import RouteTable
from citrondyke.ids import AvailabilityZone, ConfigVersion, RouteName, ServerId, ServiceName

__all__ = ('CONFIG_KEY', 'CONFIG_TABLE', 'SERVERS_TABLE', 'decode_config', 'decode_server')

CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'
SERVERS_TABLE = 'servers'

KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.ONCE,
    'streaming': RouteKind.STREAM,
    'batch': RouteKind.BATCH,
}


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: float
    slo_ms: float = 1_000.0
    priority: int = 0
    #: Either this or ``split``.
    service: str = ''
    split: list[_Share] = []
    max_attempts: int = 1
    resumable: bool = False
    completion_slo_ms: float = 0.0
    #: Not a wait of a caller: how old an item may grow before it may be abandoned.
    max_wait_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    #: Of a whole head, counted from its first byte.
    header_timeout_ms: float = 3_000.0
    #: Between two requests of one connection.
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    limits: _Limits = _Limits()


class _Server(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = 'ready'


def decode_config(value: bytes) -> RouteTable:
    """Decode the operator's configuration.

    :raises msgspec.DecodeError: when it is none.
    """
    config = msgspec.json.decode(value, type=_Config)
    limits = config.limits
    return RouteTable(
        ConfigVersion(config.version),
        tuple(_route(route) for route in config.routes if route.type in KINDS),
        RouteLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
    )


def decode_server(key: str, value: bytes) -> ListedBackend:
    """Decode a backend server's row.

    :raises msgspec.DecodeError: when it is none.
    :raises ValueError: when its address is none.
    """
    server = msgspec.json.decode(value, type=_Server)
    ip, _, port = server.address.rpartition(':')
    return ListedBackend(
        id=ServerId(key),
        service=ServiceName(server.service),
        ip=ip,
        port=int(port),
        zone=AvailabilityZone(server.zone),
        slots_count=server.slots,
        is_leaving=server.state != 'ready',
    )


def _route(route: _Route) -> Route:
    split = route.split or [_Share(route.service)]
    return Route(
        name=RouteName(route.name),
        host=route.hostname.lower(),
        prefix=route.path_prefix,
        kind=KINDS[route.type],
        shares=tuple(ServiceShare(ServiceName(each.service), each.weight) for each in split),
        timeout_ms=route.timeout_ms,
        target_ms=route.slo_ms,
        priority=route.priority,
        attempts_limit=max(1, route.max_attempts),
        is_resumable=route.resumable,
        completion_target_ms=route.completion_slo_ms,
        item_wait_ms=route.max_wait_s * 1e3,
    )
