"""A small deployment for a case: the store, instances, servers, clients and the record."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import tempfile
import time
from pathlib import Path
from typing import Any

from http1 import Answer, call
from instances import Instance, free_network, settings
from servers import Server
from store import Store

__all__ = ('HOST', 'TROUBLE', 'Fleet', 'batch_route', 'finish', 'make_job')

HOST = 'gaz.example'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
READY_WITHIN_S = 20.0
LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': 4_194_304,
    'header_timeout_ms': 3_000,
    'idle_timeout_ms': 15_000,
}


def batch_route(max_wait_s: float) -> dict[str, Any]:
    """Return the route of a batch job, with the figures of `history-draft` of aspenhollow-gaz."""
    return {
        'name': 'r-drafts',
        'hostname': HOST,
        'path_prefix': '/drafts/',
        'type': 'batch',
        'timeout_ms': 15_000,
        'slo_ms': 400,
        'priority': 2,
        'service': 'toponym-lm',
        'max_attempts': 3,
        'sticky': True,
        'resumable': True,
        'completion_slo_ms': 18_000,
        'max_wait_s': max_wait_s,
        'max_count': 0,
    }


def make_job(
    draw: random.Random, items_count: int, body_bytes: int
) -> tuple[str, list[dict[str, Any]]]:
    """Return the id and the items of a batch job as a client sends it."""
    items = [
        {
            'id': f'{draw.getrandbits(64):016x}',
            'path': f'/drafts/{number}/{draw.getrandbits(16):04x}',
            'headers': {
                'Model': 'm',
                'Token-Usage': '350,1200',
                'Prefix-Hash': f'9c2e41:100,{draw.getrandbits(32):08x}:250',
            },
            'body': base64.b64encode(draw.randbytes(body_bytes)).decode(),
            'tokens': 1_550,
        }
        for number in range(items_count)
    ]
    return f'{draw.getrandbits(64):016x}', items


class Fleet:
    """What a case starts; ``record`` keeps what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        """Prepare; nothing runs yet.

        :param folder: folder of the case, for the record.
        """
        self._record = (folder / 'record.txt').open('w')
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = Store()
        self.instances: list[Instance] = []
        self.servers: list[Server] = []
        self.ports: list[int] = []
        self.network = ''
        self.began = time.monotonic()

    def record(self, text: str) -> None:
        """Write one line, with the time since the start."""
        self._record.write(f'{time.monotonic() - self.began:8.3f} s  {text}\n')
        self._record.flush()

    async def start(
        self, instances_count: int, servers: list[dict[str, Any]], routes: list[dict[str, Any]]
    ) -> None:
        """Start the store, the servers and the instances, and wait until these are ready."""
        self.network = free_network(instances_count + len(servers))
        await self.configure(routes)
        for number, values in enumerate(servers):
            ip = f'{self.network}.{instances_count + 1 + number}'
            slots = values.pop('slots', 8)
            server = Server(f'i-{number:08x}', 'toponym-lm', ip, 'prairie-west-a', slots=slots)
            for name, value in values.items():
                setattr(server, name, value)
            await server.start(self.store)
            self.servers.append(server)
        for number in range(instances_count):
            port = await self.store.open_port('127.0.0.1')
            self.ports.append(port)
            values = settings(
                f'edge-prairie-west-a-{number + 1}',
                f'{self.network}.{number + 1}',
                'prairie-west-a',
                f'127.0.0.1:{port}',
            )
            self.instances.append(Instance(self.folder, values))
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            await self.wait_ready(instance)
        # All heartbeats are known to all instances, and all machines are in touch.
        await asyncio.sleep(3.5)
        self.record(f'{instances_count} instances are ready')

    async def configure(self, routes: list[dict[str, Any]], version: int = 3) -> None:
        """Write a configuration as the operator does."""
        services = [
            {
                'name': 'toponym-lm',
                'health_path': '/healthz',
                'max_conns': 360,
                'protocol': 'h1',
                'tls': False,
            }
        ]
        config = {'version': version, 'routes': routes, 'services': services, 'limits': LIMITS}
        await self.store.put('op', 'config', config)

    async def wait_ready(self, instance: Instance) -> None:
        """Wait for a 200 of the readiness check."""
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            answer = await call(instance.ready, 'GET', '/-/readyz', {'Host': 'ready'}, b'', 1.0)
            if answer is not None and answer.status == 200:  # noqa: PLR2004
                return
            await asyncio.sleep(0.05)
        raise SystemExit(2)

    async def submit(
        self, instance: Instance, job_id: str, items: list[dict[str, Any]]
    ) -> Answer | None:
        """Hand in a batch job, once."""
        headers = {
            'Host': HOST,
            'Attempt-Id': job_id,
            'Content-Type': 'application/json',
            'Deadline-Ms': '4000',
        }
        body = json.dumps({'requests': items}).encode()
        answer = await call(
            instance.callers, 'POST', f'/drafts/{job_id}', headers, body, timeout_s=5.5
        )
        status = None if answer is None else answer.status
        self.record(f'job {job_id} of {len(items)} items to {instance.name}: {status}')
        return answer

    async def results(self, instance: Instance, job_id: str) -> list[dict[str, Any]] | int | None:
        """Read a batch job from the start; a status, or ``None``, if it can't be read."""
        found: list[dict[str, Any]] = []
        while True:
            answer = await call(
                instance.callers, 'GET', f'/-/lots/{job_id}?after={len(found)}', {'Host': HOST}
            )
            if answer is None or answer.status != 200:  # noqa: PLR2004
                return None if answer is None else answer.status
            page = json.loads(answer.body)['results']
            if not page:
                return found
            found += page

    def end(self) -> None:
        """End all that was started."""
        for instance in self.instances:
            instance.kill()
        for instance in self.instances:
            lines = instance.log.read_text(errors='replace').splitlines()
            for line in lines:
                if '"WARNING"' in line or '"ERROR"' in line:
                    self._record.write(f'log of {instance.name}: {line[:300]}\n')
        self._record.close()
        self._temporary.cleanup()


async def finish(fleet: Fleet, broken: bool | None, text: str) -> int:
    """End a case; return its exit status: 1 for a broken rule, 0 for a kept one, 2 for neither."""
    status = 2 if broken is None else int(broken)
    fleet.record(f'{text}; exit {status}')
    fleet.end()
    print(text)
    return status
