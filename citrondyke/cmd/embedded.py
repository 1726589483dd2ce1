"""An instance and its stand-ins in one process, to try out the product."""

from __future__ import annotations

from typing import Any

import gevent
import msgspec

from citrondyke.cmd.run_daemon import run_daemon
from citrondyke.decisions.configuration.change import first_change, log_row_key
from citrondyke.decisions.configuration.entries import (
    ClassEntry,
    ClassKind,
    ConfigEntry,
    OperatorEntry,
    ServiceEntry,
    TenantEntry,
)
from citrondyke.decisions.core.commit import encode_row
from citrondyke.ids import (
    AvailabilityZone,
    ClassName,
    InstanceId,
    ServerId,
    TargetName,
    TenantId,
    WriteId,
)
from citrondyke.settings.model import DaemonSettings
from citrondyke.standin.abortable_server import make_server
from citrondyke.standin.engine_app import engine_app
from citrondyke.standin.engine_curve import EngineCurve
from citrondyke.standin.platform_app import PlatformApp, platform_app
from citrondyke.standin.service_app import service_app
from citrondyke.storage.fleet_lists import ListedInstance, ListedServer
from citrondyke.storage.table_service import Transaction, Write
from citrondyke.util.clock import SystemClock
from citrondyke.util.hashing import key_hash

__all__ = ('DEMO_OPERATOR_KEY', 'DEMO_TENANT_KEY', 'demo_entries', 'serve_embedded')

IP = '127.0.0.1'
HTTP_PORT = 8080
#: Ports of peers and stand-ins, as offsets from the HTTP port of the instance.
PEER_OFFSET = 1
PLATFORM_OFFSET = 10
FIRST_SERVER_OFFSET = 11
DEMO_TENANT_KEY = 'demo-tenant-key'
DEMO_OPERATOR_KEY = 'demo-operator-key'
DEMO_PEER_KEY = 'demo-peer-key-not-for-real-use'


def demo_entries() -> list[ConfigEntry]:
    """Return the configuration of the embedded instance."""
    return [
        ClassEntry(
            name=ClassName('calls'),
            kind=ClassKind.ONLINE,
            first_token_target_ms=620.0,
            token_gap_target_ms=42.0,
        ),
        ClassEntry(name=ClassName('overnight'), kind=ClassKind.BATCH),
        TenantEntry(
            id=TenantId('demo'),
            key_hashes=(key_hash(DEMO_TENANT_KEY),),
            online_class=ClassName('calls'),
            batch_class=ClassName('overnight'),
        ),
        ServiceEntry(name='orders', is_repeatable=False),
        OperatorEntry(id='demo-operator', key_hashes=(key_hash(DEMO_OPERATOR_KEY),)),
    ]


def seed_configuration(platform: PlatformApp, entries: list[ConfigEntry]) -> None:
    """Write the first version of the configuration to the table of the stand-in."""
    change = first_change(entries, 'embedded')
    key = log_row_key(change.version)
    platform.table.transact(Transaction(WriteId('seed'), (), (Write(key, encode_row(change)),)))


def serve_embedded(port: int) -> int:
    """Run an instance, the platform, two engines and a service in this process.

    :param port: HTTP port of the instance; the other ports are at fixed offsets from it.
    """
    clock = SystemClock()
    app, platform = platform_app(clock)
    _start(port + PLATFORM_OFFSET, app)
    seed_configuration(platform, demo_entries())
    apps: list[tuple[str, str, Any]] = [
        ('engine-1', 'demo-model', engine_app('demo-model', EngineCurve(), clock)[0]),
        ('engine-2', 'demo-model', engine_app('demo-model', EngineCurve(), clock)[0]),
        ('orders-1', 'service:orders', service_app()[0]),
    ]
    for server_port, (server_id, target, server_app) in enumerate(apps, port + FIRST_SERVER_OFFSET):
        _start(server_port, server_app)
        listed = ListedServer(
            ServerId(server_id), IP, server_port, AvailabilityZone('zone-1'), TargetName(target)
        )
        platform.lists.put_server(listed, clock.now_ms())
    settings = _settings(port)
    own = settings.instance
    instance = ListedInstance(
        InstanceId(own.id), own.ip, own.http_port, own.peer_port, AvailabilityZone(own.zone)
    )
    platform.lists.put_instance(instance, clock.now_ms())
    print(f'citrondyke is serving on http://{IP}:{port}; key: {DEMO_TENANT_KEY}', flush=True)
    return run_daemon(settings)


def _start(port: int, app: Any) -> None:
    server = make_server(IP, port, app)
    server.start()
    gevent.sleep(0)


def _settings(port: int) -> DaemonSettings:
    platform_url = f'http://{IP}:{port + PLATFORM_OFFSET}'
    return msgspec.convert(
        {
            'instance': {
                'id': 'demo-1',
                'zone': 'zone-1',
                'http_port': port,
                'peer_port': port + PEER_OFFSET,
            },
            'platform': {
                'table_url': platform_url,
                'objects_url': platform_url,
                'lists_url': platform_url,
            },
            'peers': {'keys': [DEMO_PEER_KEY]},
            'stop': {'balancer_delay_ms': 0, 'finish_within_ms': 10_000},
            'logs': {'requests': False},
            'decisions': {'part_every_ms': 1000},
        },
        DaemonSettings,
        strict=False,
    )
