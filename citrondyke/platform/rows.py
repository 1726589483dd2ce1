"""Decodes rows that the platform writes: the operator's configuration and backend servers."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Literal

import msgspec

from citrondyke.decisions.accounts.account import Account
from citrondyke.decisions.forwarding.route import Route, RouteKind, RouteLimits, ServiceShare
from citrondyke.decisions.forwarding.route_table import RouteTable
from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.ids import (
    AvailabilityZone,
    ConfigVersion,
    RouteName,
    ServerId,
    ServiceName,
    SoftwareVersion,
    TenantId,
)
from citrondyke.util.decoding import decode_json
from citrondyke.util.hashing import key_hash
from citrondyke.util.numbers import read_count

__all__ = ('CONFIG_KEY', 'CONFIG_TABLE', 'SERVERS_TABLE', 'decode_config', 'decode_server')

CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'
SERVERS_TABLE = 'servers'

ROUTE_KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.ONCE,
    'streaming': RouteKind.STREAM,
    'batch': RouteKind.BATCH,
}
#: Ids are sent in a header unescaped: printable ASCII, at most as long as a row key.
ID_PATTERN = re.compile(r'[!-~]{1,200}')
#: Range of a counter in messages between instances.
NonNegativeInt64 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
#: Capacity of a server: counts of its requests have 16 bits in messages between instances.
SlotsCount = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
#: Ranges of other numbers, far beyond any real value; products of them stay finite.
Int32 = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]
Measure = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
NonEmpty = Annotated[str, msgspec.Meta(min_length=1)]
#: Name of a service or a zone, which log lines and messages between instances repeat.
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
#: Software version of a server, which messages between instances repeat.
VersionText = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
MAX_PORT = 65_535
#: Limits on the accounts and keys of one configuration, which takes 40 MB at both limits.
MAX_ACCOUNTS = 20_000
MAX_KEYS = 50_000


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: Measure = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: Measure
    slo_ms: Measure = 1_000.0
    priority: Int32 = 0
    #: Alternative to ``split``.
    service: str = ''
    split: list[_Share] = []
    max_attempts: Int32 = 1
    resumable: bool = False
    completion_slo_ms: Measure = 0.0
    #: Age from which an item may be abandoned; does not limit the wait of a caller.
    max_wait_s: Measure = 0.0
    #: Backlog limit of the route, in tokens rather than requests; 0 for no limit.
    max_count: NonNegativeInt64 = 0
    #: Whether the route needs no API key.
    public: bool = False


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: NonNegativeInt64 = 16_384
    max_body_bytes: NonNegativeInt64 = 4_194_304
    #: Time to receive a whole head, from its first byte.
    header_timeout_ms: Measure = 3_000.0
    #: Idle time between two requests on a connection.
    idle_timeout_ms: Measure = 15_000.0


class _Tenant(msgspec.Struct, frozen=True):
    name: Annotated[str, msgspec.Meta(pattern=r'^[!-~]{1,100}$')]
    api_keys: list[NonEmpty]
    priority: Int32 | None = None
    #: 0 for no limit.
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Config(msgspec.Struct, frozen=True):
    version: NonNegativeInt64
    routes: list[_Route] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET


class _Server(msgspec.Struct, frozen=True):
    service: Name
    address: str
    zone: Name
    version: VersionText
    slots: SlotsCount
    state: Literal['ready', 'draining']
    cold_left_ms: float
    #: Number of the write, counted from the start of this incarnation.
    seq: NonNegativeInt64
    #: Start of this incarnation, in Unix ms; set in some deployments only.
    born: NonNegativeInt64 | msgspec.UnsetType = msgspec.UNSET


def decode_config(value: bytes) -> RouteTable:
    """Decode the operator's configuration.

    :raises UnreadableBytesError: when the bytes are not a configuration.
    """
    config = decode_json(value, _Config)
    limits = config.limits
    return RouteTable(
        ConfigVersion(config.version),
        tuple(_route(route) for route in config.routes if route.type in ROUTE_KINDS),
        RouteLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
        None if config.tenants is msgspec.UNSET else _accounts(config.tenants),
    )


def _accounts(tenants: list[_Tenant]) -> tuple[Account, ...]:
    """Validate and create the accounts; errors name the field and never show a key.

    :raises UnreadableBytesError: when a name or a key is used twice, or there are too many.
    """
    if len(tenants) > MAX_ACCOUNTS:
        raise UnreadableBytesError(f'tenants: {len(tenants)}, at most {MAX_ACCOUNTS}')
    names: set[str] = set()
    index_by_key: dict[str, int] = {}
    accounts = []
    for index, tenant in enumerate(tenants):
        if tenant.name in names:
            raise UnreadableBytesError(f'tenants[{index}].name: {tenant.name!r} is used twice')
        names.add(tenant.name)
        for key in tenant.api_keys:
            if index_by_key.setdefault(key, index) != index:
                raise UnreadableBytesError(
                    f'tenants[{index}].api_keys: tenants[{index_by_key[key]}] has the same key'
                )
        if len(index_by_key) > MAX_KEYS:
            raise UnreadableBytesError(f'tenants[{index}].api_keys: more than {MAX_KEYS} keys')
        accounts.append(
            Account(
                id=TenantId(tenant.name),
                key_hashes=tuple(key_hash(key) for key in tenant.api_keys),
                priority=tenant.priority,
                rate_per_s=tenant.rate_per_s,
                burst=tenant.burst,
            )
        )
    return tuple(accounts)


def decode_server(key: str, value: bytes) -> ServerListEntry:
    """Decode a backend server's row.

    An entry with a field that is missing, of another type or out of range was not written by a
    server. Requests sent to its address would be lost, or would run in an unrelated process.

    :raises UnreadableBytesError: when the key or the value is not that of a server.
    """
    if not ID_PATTERN.fullmatch(key):
        raise UnreadableBytesError(f'the key {key!r} is not a valid server id')
    server = decode_json(value, _Server)
    ip, port = _address(server.address)
    return ServerListEntry(
        id=ServerId(key),
        service=ServiceName(server.service),
        ip=ip,
        port=port,
        zone=AvailabilityZone(server.zone),
        slots_count=server.slots,
        is_leaving=server.state == 'draining',
        born_epoch_ms=None if server.born is msgspec.UNSET else server.born,
        seq=server.seq,
        software_version=SoftwareVersion(server.version),
    )


def _address(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as error:
        raise UnreadableBytesError(f'address: {error}') from error
    number = read_count(port, 'address: invalid port', MAX_PORT)
    if number < 1:
        raise UnreadableBytesError(f'address: invalid port {port!r}')
    return ip, number


def _route(route: _Route) -> Route:
    split = route.split or [_Share(route.service)]
    return Route(
        name=RouteName(route.name),
        host=route.hostname.lower(),
        prefix=route.path_prefix,
        kind=ROUTE_KINDS[route.type],
        shares=tuple(ServiceShare(ServiceName(each.service), each.weight) for each in split),
        timeout_ms=route.timeout_ms,
        target_ms=route.slo_ms,
        priority=route.priority,
        attempts_limit=max(1, route.max_attempts),
        is_resumable=route.resumable,
        completion_target_ms=route.completion_slo_ms,
        item_wait_ms=route.max_wait_s * 1e3,
        waiting_tokens_limit=route.max_count,
        is_public=route.public,
    )
