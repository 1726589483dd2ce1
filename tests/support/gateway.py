"""Gateway instances, a store and servers in one process, on loopback."""

from __future__ import annotations

import base64
import os
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType
from typing import Any

import gevent
import h11
import msgspec
from gevent import socket
from gevent.pywsgi import WSGIServer

from citrondyke.gateway.instance import GatewayInstance
from citrondyke.gateway.settings import Address, GatewaySettings, StoreSettings
from citrondyke.ids import AvailabilityZone, InstanceId
from citrondyke.platform.adapters import create_platform_adapters
from citrondyke.platform.dialect import ATTEMPT_HEADER
from citrondyke.platform.rows import CONFIG_KEY, CONFIG_TABLE, SERVERS_TABLE
from citrondyke.standin.platform_server import PlatformServer
from citrondyke.standin.store_app import StoreApp
from citrondyke.util.clock import SystemClock
from tests.support.peers import server_row

__all__ = ('GatewayFleet', 'Reply', 'wait_until_seen')

LONGEST_S = 30.0
HOST = 'calls.example'
#: Below the range that outgoing connections take theirs from.
CALLERS_PORT, HEALTH_PORT, PEER_PORT = 18_000, 18_001, 18_002
#: Addresses of their own for each test process, so that none takes a port from another.
LOOPBACK = f'127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}'


def wait_until_seen(look: Callable[[], Any], what: str) -> Any:
    """Look until there is something; the limit only ends a test that would hang."""
    with gevent.Timeout(LONGEST_S, AssertionError(f'waited in vain for: {what}')):
        while not (found := look()):
            gevent.sleep(0.01)
    return found


class Reply(msgspec.Struct):
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    #: Whether it came whole; what ends early does not.
    is_whole: bool


def account(name: str, *keys: str, **more: Any) -> dict[str, Any]:
    """A client account as the operator writes it."""
    return {'name': name, 'api_keys': list(keys), **more}


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """A route as the operator writes it."""
    return {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'type': kind,
        'timeout_ms': 5_000,
        'slo_ms': 300,
        'priority': 0,
        'service': service,
        'max_attempts': 3,
        'resumable': False,
        **more,
    }


ROUTES = [
    route('fetch', 'idempotent', 'app'),
    route('order', 'non_idempotent', 'app'),
    route('stream', 'streaming', 'lm', resumable=True),
    route('stream-once', 'streaming', 'lm', max_attempts=1),
    route('batch-stream', 'batch', 'lm', completion_slo_ms=18_000, max_wait_s=40),
]


class GatewayFleet:
    """A small deployment."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.store = StoreApp()
        self._wsgi = WSGIServer(('127.0.0.1', 0), self.store, log=None, error_log=None)
        self._wsgi.start()
        self.servers: dict[str, PlatformServer] = {}
        #: Servers that crashed and were replaced.
        self.ended: list[PlatformServer] = []
        self.instances: list[GatewayInstance] = []

    def configure(
        self,
        version: int = 1,
        routes: list[dict[str, Any]] | None = None,
        accounts: list[dict[str, Any]] | None = None,
        max_body_bytes: int = 100_000,
    ) -> None:
        """Write the operator's configuration; without accounts nobody needs a key."""
        config: dict[str, Any] = {
            'version': version,
            'routes': ROUTES if routes is None else routes,
            'services': [{'name': 'app'}, {'name': 'lm'}],
            'limits': {
                'max_header_bytes': 16_384,
                'max_body_bytes': max_body_bytes,
                'header_timeout_ms': 3_000,
                'idle_timeout_ms': 15_000,
            },
        }
        if accounts is not None:
            config['tenants'] = accounts
        self.store.put(CONFIG_TABLE, CONFIG_KEY, msgspec.json.encode(config))

    def wait_version(self, version: int) -> None:
        """Wait until all instances have a version of the configuration."""
        wait_until_seen(
            lambda: all(each.replicated.config.table.version >= version for each in self.instances),
            f'version {version} everywhere',
        )

    def add_server(self, name: str, service: str, version: str = '', **row: Any) -> PlatformServer:
        """Start a server and list it; one that states a version writes it into its events."""
        server = self.servers[name] = PlatformServer(name, software_version=version)
        self.list_server(name, service, **row)
        return server

    def list_server(self, name: str, service: str, **row: Any) -> None:
        """Write a server's entry."""
        address = f'127.0.0.1:{self.servers[name].port}'
        own = {'service': service, 'address': address, 'zone': 'zone-a', 'slots': 4, 'seq': 1}
        if self.servers[name].software_version:
            own['version'] = self.servers[name].software_version
        entry = server_row(**{**own, **row})
        self.store.put(SERVERS_TABLE, name, msgspec.json.encode(entry))

    def restart_ended(self) -> None:
        """Start each server that has ended again, as a new one, and wait until all know it."""
        for name, server in list(self.servers.items()):
            if not server.has_crashed:
                continue
            self.ended.append(self.servers.pop(name))
            self.store.remove(SERVERS_TABLE, name)
            kind = name.partition('-')[0]
            new_name = f'{kind}-{len(self.ended) + 100}'
            new = self.add_server(new_name, kind, server.software_version)
            new.crash_bodies = server.crash_bodies
            new.late_crash_bodies = server.late_crash_bodies
            new.crash_parts = server.crash_parts
            new.answer_ms = server.answer_ms
        self.wait_ready()

    def runs_of(self, body: bytes) -> int:
        """Count how often servers, those that have ended among them, began to run a body."""
        servers = [*self.servers.values(), *self.ended]
        return sum(run.body == body for server in servers for run in server.runs)

    def runs_with_part(self, part: str) -> int:
        """Count the runs of requests with a part in their prompts, at all servers ever."""
        servers = [*self.servers.values(), *self.ended]
        return sum(part in run.shared_parts for server in servers for run in server.runs)

    @property
    def store_address(self) -> str:
        """Give the store's address."""
        return f'127.0.0.1:{self._wsgi.server_port}'

    def store_settings(self, call_timeout_ms: float) -> StoreSettings:
        """Give the settings of the store for an instance."""
        return StoreSettings(
            address=Address('127.0.0.1', self._wsgi.server_port), call_timeout_ms=call_timeout_ms
        )

    def start_instance(self, **more: Any) -> GatewayInstance:
        """Start an instance at an address of its own."""
        ip = f'{LOOPBACK}.{11 + len(self.instances)}'
        store = self.store_settings(call_timeout_ms=300.0)
        wanted: dict[str, Any] = {
            'instance_id': InstanceId(f'instance-{len(self.instances)}'),
            'zone': AvailabilityZone('zone-a'),
            'ip': ip,
            'callers': Address(ip, CALLERS_PORT),
            'health': Address(ip, HEALTH_PORT),
            'peer_port': PEER_PORT,
            'metrics_port': 0,
            'seed_ips': (),
            'store': store,
            'memory_bytes': 256 * 1024 * 1024,
            'connections_limit': 200,
            'stop_within_ms': 3_000.0,
            'lapsed_grace_ms': 2_200.0,
            'job_kept_ms': 120_000.0,
            **more,
        }
        settings = GatewaySettings(**wanted)
        outside = create_platform_adapters(self.clock, settings, source_ip=ip)
        instance = GatewayInstance(settings, outside)
        instance.start()
        self.instances.append(instance)
        return instance

    def wait_ready(self) -> None:
        """Wait until all instances serve and know each other and all servers."""
        for instance in self.instances:
            wait_until_seen(lambda: self._is_ready(instance), 'all instances to be ready')  # noqa: B023

    def _is_ready(self, instance: GatewayInstance) -> bool:
        return (
            instance.replicated.is_complete
            and {state.listed.id for state in instance.book.states()} == set(self.servers)
            and len(instance.membership.peers) == len(self.instances) - 1
        )

    def call(
        self,
        path: str,
        body: bytes = b'body',
        *,
        at: int = 0,
        method: str = 'POST',
        request_id: str = 'request-1',
        **headers: str,
    ) -> Reply:
        """Make a call on a connection of its own."""
        with self.connection(at) as sock:
            return exchange(sock, path, body, method=method, request_id=request_id, **headers)

    @contextmanager
    def connection(self, at: int = 0) -> Iterator[socket.socket]:
        """Open a connection to an instance."""
        address = self.instances[at].address
        with socket.create_connection((address.ip, address.port), timeout=LONGEST_S) as sock:
            yield sock

    def submit(
        self,
        job_id: str,
        count: int = 3,
        *,
        at: int = 0,
        item_headers: Mapping[str, str] = MappingProxyType({}),
        **headers: str,
    ) -> Reply:
        """Hand a job in."""
        items = [
            {
                'id': f'{job_id}-{n}',
                'path': '/batch-stream/x',
                'headers': {'Model': 'm', **item_headers},
                'body': base64.b64encode(b'item %d' % n).decode(),
                'tokens': 10,
            }
            for n in range(count)
        ]
        body = msgspec.json.encode({'requests': items})
        return self.call('/batch-stream/job', body, at=at, request_id=job_id, **headers)

    def results(
        self, job_id: str, *, at: int = 0, after: int = 0, **headers: Any
    ) -> dict[str, Any]:
        """Read a job's results."""
        reply = self.call(f'/-/lots/{job_id}?after={after}', b'', at=at, method='GET', **headers)
        assert reply.status == 200, reply
        found: dict[str, Any] = msgspec.json.decode(reply.body)
        return found

    def wait_done(self, job_id: str, *, at: int = 0, **headers: Any) -> list[dict[str, Any]]:
        """Read a job's results page by page until all of its items have one."""
        found: list[dict[str, Any]] = []

        def look() -> bool:
            page = self.results(job_id, at=at, after=len(found), **headers)
            found.extend(page['results'])
            return bool(page['next'] == page['total'])

        wait_until_seen(look, f'all results of {job_id}')
        return found

    def end(self) -> None:
        """Stop everything."""
        for instance in self.instances:
            instance.stop_abruptly()
        for server in self.servers.values():
            server.stop()
        self._wsgi.stop(timeout=0)


def exchange(
    sock: socket.socket,
    path: str,
    body: bytes,
    *,
    method: str = 'POST',
    request_id: str = 'request-1',
    **headers: str,
) -> Reply:
    """Send one request and read its answer."""
    http = h11.Connection(h11.CLIENT)
    named = [(name.replace('_', '-'), value) for name, value in headers.items()]
    head = [
        ('Host', HOST),
        (ATTEMPT_HEADER.decode(), request_id),
        ('Content-Length', str(len(body))),
        *named,
    ]
    data = http.send(h11.Request(method=method, target=path, headers=head)) or b''
    data += (http.send(h11.Data(data=body)) or b'') if body else b''
    sock.sendall(data + (http.send(h11.EndOfMessage()) or b''))
    return read_reply(http, sock)


def read_reply(http: h11.Connection, sock: socket.socket) -> Reply:
    """Read an answer to its end."""
    reply = Reply(0, {}, b'', False)
    while True:
        try:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(sock.recv(65_536))
                continue
        except (OSError, h11.RemoteProtocolError):
            return reply
        if isinstance(event, h11.Response):
            reply.status = event.status_code
            reply.headers = {n.decode(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            reply.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            reply.is_whole = True
            return reply
        else:
            return reply
