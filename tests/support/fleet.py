"""A small fleet of real processes: instances, engines, a service, the platform's stand-in."""

from __future__ import annotations

import itertools
import socket
from collections.abc import Iterable
from functools import cache
from pathlib import Path
from typing import Any

from citrondyke.cmd.embedded import DEMO_OPERATOR_KEY, DEMO_TENANT_KEY
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
from citrondyke.ids import ClassName, TenantId, WriteId
from citrondyke.storage.table_service import Check, Transaction, Write
from citrondyke.util.hashing import key_hash
from tests.support.caller import Caller
from tests.support.program import Program
from tests.support.waiting import wait_until

__all__ = ('OTHER_TENANT_KEY', 'Fleet')

OTHER_TENANT_KEY = 'other-tenant-key'
PEER_KEY = 'a-key-for-tests-only'
FIRST_PORT = 12_000
PORTS_PER_PROCESS = 500
RANGES = 40
_PORTS = itertools.count()
#: Held open, so that no other process claims the same range.
_GUARDS: list[socket.socket] = []
ZONES = ('zone-1', 'zone-2', 'zone-3')
SETTINGS = """
[instance]
id = '{id}'
zone = '{zone}'
http_port = {http_port}
peer_port = {peer_port}

[platform]
table_url = '{platform}'
objects_url = '{platform}'
lists_url = '{platform}'
timeout_ms = 700

[peers]
keys = ['{peer_key}']

[limits]
connections = 400
body_within_ms = 1500
body_bytes = 100_000
job_items = 20_000

[stop]
balancer_delay_ms = 600
finish_within_ms = 20_000

[statsd]
ip = '127.0.0.1'
port = {statsd_port}
every_ms = 200

[decisions]
lease_ms = 2000
lease_renew_every_ms = 400
config_poll_every_ms = 500
lists_poll_every_ms = 200
gossip_every_ms = 200
load_poll_every_ms = 150
segment_items = 50
evidence_every_ms = 400
evidence_records_limit = 50
part_every_ms = 300
shortest_look_ms = 100
fleet_intent_transactions_per_s = {intent_pace}
"""


def free_ports(count: int) -> list[int]:
    """Find ports on loopback that nothing listens on, all different.

    Each process that asks has a range of its own, below those that the kernel gives to outgoing
    connections: a port that is only free at the moment of the look can be taken by another test
    before its program listens.
    """
    first = _own_range()
    found: list[int] = []
    while len(found) < count:
        port = first + 1 + next(_PORTS) % (PORTS_PER_PROCESS - 1)
        if _is_free(port):
            found.append(port)
    return found


@cache
def _own_range() -> int:
    """Claim a range for as long as this process lives, by holding its first port."""
    for number in range(RANGES):
        first = FIRST_PORT + number * PORTS_PER_PROCESS
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind(('127.0.0.1', first))
            guard.listen()
        except OSError:
            guard.close()
            continue
        _GUARDS.append(guard)
        return first
    raise RuntimeError('all ranges of ports are taken')


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True


def entries() -> list[ConfigEntry]:
    """Give the configuration that every test fleet starts with."""
    calls, nightly = ClassName('calls'), ClassName('nightly')
    tenants = {'coastal': DEMO_TENANT_KEY, 'aspenhollow': OTHER_TENANT_KEY}
    return [
        ClassEntry(name=calls, kind=ClassKind.ONLINE, first_token_target_ms=5000.0),
        ClassEntry(name=nightly, kind=ClassKind.BATCH),
        *(
            TenantEntry(
                id=TenantId(name),
                key_hashes=(key_hash(key),),
                online_class=calls,
                batch_class=nightly,
            )
            for name, key in tenants.items()
        ),
        ServiceEntry(name='orders', is_repeatable=False),
        ServiceEntry(name='lookup', is_repeatable=True),
        OperatorEntry(id='olive', key_hashes=(key_hash(DEMO_OPERATOR_KEY),)),
    ]


class Fleet:
    """Starts everything, and ends what it started."""

    def __init__(self, folder: Path, intent_pace: int = 400) -> None:
        self._folder = folder
        self._intent_pace = intent_pace
        self._programs: dict[str, Program] = {}
        self._http_ports: dict[str, int] = {}
        self._peer_ports: dict[str, int] = {}
        self._server_ports: dict[str, int] = {}
        self._platform_port, self.statsd_port = free_ports(2)
        self.platform = Caller(self._platform_port)
        self._start_program(
            'platform', 'citrondyke.cmd.standin', ['platform', '--port', str(self._platform_port)]
        )
        wait_until(
            lambda: self.platform.try_call('GET', '/control/counts'), 'the platform to answer'
        )
        self._seed()

    # Starting and ending

    def start(self, instances: int, engines: int, services: Iterable[str]) -> None:
        """Start the whole fleet and wait until every instance is ready."""
        for number in range(engines):
            self.start_engine(f'engine-{number}')
        for service in services:
            self.start_service(f'{service}-server', service)
        names = [f'instance-{number}' for number in range(instances)]
        for name in names:
            self.start_instance(name)
        for name in names:
            self.wait_ready(name)

    def start_engine(self, name: str, **options: Any) -> None:
        arguments = [f'--{key.replace("_", "-")}={value}' for key, value in options.items()]
        self._start_server(name, 'demo-model', ['engine', *arguments])

    def start_service(self, name: str, service: str, run_ms: float = 5.0) -> None:
        self._start_server(name, f'service:{service}', ['service', f'--run-ms={run_ms}'])

    def start_instance(self, name: str) -> None:
        """Start an instance; one that ran before keeps its name and ports."""
        if name not in self._http_ports:
            self._http_ports[name], self._peer_ports[name] = free_ports(2)
        settings = self._folder / f'{name}.toml'
        settings.write_text(
            SETTINGS.format(
                id=name,
                zone=self._zone(name),
                http_port=self._http_ports[name],
                peer_port=self._peer_ports[name],
                platform=f'http://127.0.0.1:{self._platform_port}',
                peer_key=PEER_KEY,
                intent_pace=self._intent_pace,
                statsd_port=self.statsd_port,
            )
        )
        self._start_program(name, 'citrondyke.cmd.citrondyked', ['--settings', str(settings)])
        self.list_instance(name)

    def wait_ready(self, name: str) -> None:
        caller = Caller(self._http_ports[name])

        def look() -> bool:
            answer = caller.try_call('GET', '/health/ready')
            return answer is not None and answer.status == 200

        wait_until(look, f'{name} to be ready')

    def end(self) -> None:
        for program in self._programs.values():
            program.end()

    # Talking to it

    def caller(self, name: str = 'instance-0', key: str = DEMO_TENANT_KEY) -> Caller:
        return Caller(self._http_ports[name], key)

    def operator(self, name: str = 'instance-0') -> Caller:
        return Caller(self._http_ports[name], DEMO_OPERATOR_KEY)

    def server(self, name: str) -> Caller:
        return Caller(self._server_ports[name])

    def program(self, name: str) -> Program:
        return self._programs[name]

    def port(self, name: str) -> int:
        return self._http_ports.get(name) or self._server_ports[name]

    # Faults

    def fault(self, service: str, mode: str, calls_left: int = -1, delay_ms: float = 0) -> None:
        """Switch a fault of the platform: table, objects or lists."""
        body = {'mode': mode, 'calls_left': calls_left, 'delay_ms': delay_ms}
        self.platform.call('PUT', f'/control/faults/{service}', body)

    def server_faults(self, name: str, **faults: Any) -> None:
        self.server(name).call('PUT', '/control/faults', faults)

    def runs(self, name: str) -> dict[str, int]:
        """Tell how often a stand-in ran each key or request."""
        runs: dict[str, int] = self.server(name).get('/control/runs').json
        return runs

    def counts(self) -> dict[str, int]:
        counts: dict[str, int] = self.platform.get('/control/counts').json
        return counts

    def list_instance(self, name: str, state: str = 'live') -> None:
        entry = {
            'id': name,
            'ip': '127.0.0.1',
            'http_port': self._http_ports[name],
            'peer_port': self._peer_ports[name],
            'zone': self._zone(name),
            'state': state,
        }
        self.platform.call('PUT', '/control/instances', entry)

    def list_server(self, name: str, target: str, state: str = 'live') -> None:
        entry = {
            'id': name,
            'ip': '127.0.0.1',
            'port': self._server_ports[name],
            'zone': self._zone(name),
            'target': target,
            'state': state,
        }
        self.platform.call('PUT', '/control/servers', entry)

    # Jobs

    def submit(self, caller: Caller, lines: bytes, endpoint: str, key: str = '') -> str:
        """Upload and start a job; give its id."""
        file_id = caller.upload(lines).json['id']
        answer = self.create(caller, file_id, endpoint, key)
        assert answer.status == 200, answer.body
        job_id: str = answer.json['id']
        return job_id

    def create(self, caller: Caller, file_id: str, endpoint: str, key: str = '') -> Any:
        wish = {'input_file_id': file_id, 'endpoint': endpoint, 'completion_window': '24h'}
        headers = {'Idempotency-Key': key} if key else {}
        return caller.call('POST', '/v1/batches', wish, headers)

    def wait_final(self, caller: Caller, job_id: str) -> Any:
        """Wait for a job's end; give the job."""

        def look() -> Any:
            answer = caller.try_call('GET', f'/v1/batches/{job_id}')
            if answer is None or answer.status != 200:
                return None
            return answer.json if answer.json['citrondyke']['is_final'] else None

        return wait_until(look, f'{job_id} to end', 120.0)

    def outcomes(self, caller: Caller, job: Any) -> dict[str, Any]:
        """Read every outcome of a job; fail where an item has two."""
        found: dict[str, Any] = {}
        lines = caller.lines(job['output_file_id']) + caller.lines(job['error_file_id'])
        for line in lines:
            assert line['custom_id'] not in found, f'{line["custom_id"]} has two outcomes'
            found[line['custom_id']] = line
        return found

    def _zone(self, name: str) -> str:
        number = name.rsplit('-', 1)[1]
        return ZONES[int(number) % len(ZONES) if number.isdigit() else 0]

    def _start_server(self, name: str, target: str, arguments: list[str]) -> None:
        if name not in self._server_ports:
            (self._server_ports[name],) = free_ports(1)
        port = self._server_ports[name]
        self._start_program(name, 'citrondyke.cmd.standin', [*arguments, f'--port={port}'])
        server = Caller(port)
        wait_until(lambda: server.try_call('GET', '/load'), f'{name} to answer')
        self.list_server(name, target)

    def _start_program(self, name: str, module: str, arguments: list[str]) -> None:
        self._programs[name] = Program(name, module, arguments, self._folder)

    def _seed(self) -> None:
        change = first_change(entries(), 'seed')
        key = log_row_key(change.version)
        seed = Transaction(WriteId('seed'), (Check(key, None),), (Write(key, encode_row(change)),))
        assert self.platform.call('POST', '/v1/transact', seed).status == 200
