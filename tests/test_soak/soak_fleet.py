"""Gateway programs as processes, with the store and the servers behind proxies."""

from __future__ import annotations

import os
import time
from functools import partial
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent.pywsgi import WSGIServer

from citrondyke.platform.rows import CONFIG_KEY, CONFIG_TABLE, SERVERS_TABLE
from citrondyke.platform.settings_file import FILE_VARIABLE
from citrondyke.standin.platform_server import PlatformServer
from citrondyke.standin.store_app import StoreApp
from citrondyke.standin.stream_faults import StreamFaults
from tests.support.gateway import ROUTES, account, route
from tests.support.peers import server_row
from tests.support.program import Program
from tests.test_soak.fault_proxy import FaultProxy

__all__ = (
    'HOT_ALLOWED',
    'HOT_KEY',
    'STEADY_KEY',
    'WINDOW_S',
    'SoakFleet',
    'changing_key',
)

CALLERS_PORT, HEALTH_PORT, PEER_PORT = 18_100, 18_101, 18_102
ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVERS = {'app': 3, 'lm': 4}
READY_WITHIN_S = 30.0
EVENT_GAP_MS = 10.0
#: Servers of a version from which on its streams must go on.
SERVING_ENOUGH = 2
#: Number of a server from which on its version is a later one.
VERSION_LIFE = 12
#: From a server's end until it is off the list.
LAPSE_S = 1.5
STEADY_KEY, HOT_KEY = 'key-of-steady', 'key-of-hot'
HOT_RATE_PER_S, HOT_BURST = 5.0, 5.0
WINDOW_S, OVERSHOOT, SLACK = 5, 0.1, 20
#: Requests of the hot account that servers may run in any window.
HOT_ALLOWED = (HOT_RATE_PER_S * WINDOW_S + HOT_BURST) * (1 + OVERSHOOT) + SLACK


def changing_key(version: int) -> str:
    """Give the key that a version of the configuration brings in."""
    return f'key-of-changing-{version}'


class SoakFleet:
    """A deployment of its own on loopback addresses of its own."""

    def __init__(
        self, folder: Path, instances_count: int, services: dict[str, int] = SERVERS
    ) -> None:
        """Start the store and the servers; instances start by ``start``."""
        self.folder = folder
        self.instances_count = instances_count
        #: Below the networks of the other tests.
        self._network = f'127.{251 + os.getpid() // 250 % 4}.{1 + os.getpid() % 250}'
        self.store = StoreApp()
        self._wsgi = WSGIServer(('127.0.0.1', 0), self.store, log=None, error_log=None)
        self._wsgi.start()
        #: One for each instance, so that each can be cut off alone.
        self.store_proxies = [
            FaultProxy('127.0.0.1', self._wsgi.server_port) for _ in range(instances_count)
        ]
        self.servers: dict[str, PlatformServer] = {}
        self.server_proxies: dict[str, FaultProxy] = {}
        self.services: dict[str, str] = {}
        self.seqs: dict[str, int] = {}
        #: When a server said that it leaves.
        self.left_s: dict[str, float] = {}
        #: Bodies under which servers end.
        self.crash_bodies: set[bytes] = set()
        #: Prompt parts under which servers end.
        self.crash_parts: set[str] = set()
        #: How runs of streams end, at all servers.
        self.stream_faults = StreamFaults()
        self.programs: list[Program | None] = [None] * instances_count
        self.version = 0
        self.configure()
        for service, count in services.items():
            for number in range(count):
                self.add_server(f'{service}-{number}', service)

    def configure(self) -> None:
        """Write the next configuration, with a route of its own."""
        self.version += 1
        routes = [*ROUTES, route(f'added-{self.version}', 'idempotent', 'app')]
        accounts = [
            account('steady', STEADY_KEY),
            account('hot', HOT_KEY, rate_per_s=HOT_RATE_PER_S, burst=HOT_BURST),
            # One key is on its way out, one is new.
            account('changing', *(changing_key(self.version - n) for n in (0, 1))),
        ]
        config: dict[str, Any] = {
            'version': self.version,
            'routes': routes,
            'limits': {},
            'tenants': accounts,
        }
        self.store.put(CONFIG_TABLE, CONFIG_KEY, msgspec.json.encode(config))

    def add_server(self, name: str, service: str) -> None:
        """Start a server and list it."""
        self.servers[name] = server = PlatformServer(name, software_version=self._version(name))
        server.event_gap_ms = EVENT_GAP_MS
        server.crash_bodies = self.crash_bodies
        server.crash_parts = self.crash_parts
        server.stream_faults = self.stream_faults
        server.on_crash = partial(gevent.spawn, self._restart, name)
        self.server_proxies[name] = FaultProxy('127.0.0.1', server.port)
        self.services[name] = service
        self.list_server(name)

    def _version(self, name: str) -> str:
        """Give the version of a server: two serve side by side, and a third one comes later."""
        service, _, number = name.rpartition('-')
        return f'v{1 + int(number) % 2 + int(number) // VERSION_LIFE}' if service == 'lm' else ''

    def _restart(self, name: str) -> None:
        """Have a server that ended lapse, and start it anew as another one."""
        self.server_proxies[name].stop()
        gevent.sleep(LAPSE_S)
        if name not in self.left_s:
            self.add_server(f'{self.services[name]}-{len(self.servers)}', self.services[name])
        self.store.remove(SERVERS_TABLE, name)

    def list_server(self, name: str, state: str = 'ready') -> None:
        """Write a server's entry."""
        self.seqs[name] = self.seqs.get(name, 0) + 1
        number = int(name.rpartition('-')[2])
        entry = server_row(
            service=self.services[name],
            address=f'127.0.0.1:{self.server_proxies[name].port}',
            zone=ZONES[number % len(ZONES)],
            slots=6,
            state=state,
            seq=self.seqs[name],
            version=self.servers[name].software_version or 'v1',
        )
        self.store.put(SERVERS_TABLE, name, msgspec.json.encode(entry))

    def is_served(self, version: str) -> bool:
        """Tell whether two servers of a version serve, so that its streams can go on."""
        serving = [
            name
            for name, server in self.servers.items()
            if server.software_version == version
            and not server.has_crashed
            and name not in self.left_s
        ]
        return len(serving) >= SERVING_ENOUGH

    def runs_of(self, body: bytes) -> int:
        """Count how often servers began to run a body."""
        return sum(run.body == body for server in self.servers.values() for run in server.runs)

    def leave_server(self, name: str) -> None:
        """Have a server say that it leaves; it goes on serving."""
        self.list_server(name, 'draining')
        self.left_s[name] = time.monotonic()

    def ip(self, number: int) -> str:
        """Give an instance's address."""
        return f'{self._network}.{11 + number}'

    def start(self, number: int) -> None:
        """Start an instance, or its next life."""
        assert self.program(number) is None, 'a process that nobody would end'
        ip = self.ip(number)
        settings = '\n'.join(
            (
                f'node_name = "instance-{number}"',
                f'ip = "{ip}"',
                f'zone = "{ZONES[number % len(ZONES)]}"',
                f'internal_ports = [{PEER_PORT}, {PEER_PORT + 2}]',
                f'seeds = ["{self.ip(0)}:1", "{self.ip(1)}:1"]',
                '[bounds]',
                f'quota_window_s = {WINDOW_S}',
                f'quota_overshoot = {OVERSHOOT}',
                f'quota_slack = {SLACK}',
                '[listen]',
                f'frontend = "{ip}:{CALLERS_PORT}"',
                f'ready = "{ip}:{HEALTH_PORT}"',
                '[platform]',
                f'address = "127.0.0.1:{self.store_proxies[number].port}"',
            )
        )
        file = self.folder / f'instance-{number}.toml'
        file.write_text(settings)
        self.programs[number] = Program(
            f'instance-{number}',
            'citrondyke.cmd.gateway',
            [],
            self.folder,
            {FILE_VARIABLE: str(file)},
        )

    def program(self, number: int) -> Program | None:
        """Give an instance's process; ``None`` while there is none."""
        program = self.programs[number]
        return program if program is not None and program.is_running else None

    def wait_ready(self) -> None:
        """Wait until all instances say that they serve."""
        with gevent.Timeout(READY_WITHIN_S, AssertionError('instances did not become ready')):
            for number in range(self.instances_count):
                while not self.is_ready(number):
                    gevent.sleep(0.05)

    def is_ready(self, number: int) -> bool:
        """Ask an instance's health check, as the balancer does."""
        try:
            with gevent.socket.create_connection((self.ip(number), HEALTH_PORT), 1.0) as sock:
                sock.sendall(b'GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n')
                return bool(sock.recv(64).startswith(b'HTTP/1.1 200'))
        except OSError:
            return False

    def end(self) -> None:
        """End what this fleet started."""
        for program in self.programs:
            if program is not None:
                program.end()
        for proxy in (*self.store_proxies, *self.server_proxies.values()):
            proxy.stop()
        for server in self.servers.values():
            server.stop()
        self._wsgi.stop(timeout=0)
