"""Instances of the project, started as processes with the command of the deploy file."""

from __future__ import annotations

import atexit
import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

__all__ = ('ROOT', 'Instance', 'free_network', 'settings')

ROOT = Path(__file__).resolve().parents[2]
CALLERS, READY, CONTROL, INTERNAL = 8144, 8140, 8146, 7660


def free_network(count: int) -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    for number in range(200):
        network = f'127.{70 + (os.getpid() + number) % 90}.{1 + os.getpid() // 90 % 250}'
        try:
            for host in range(1, count + 1):
                for port in (CALLERS, READY, INTERNAL, INTERNAL + 1, 9464):
                    with socket.socket() as sock:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        sock.bind((f'{network}.{host}', port))
        except OSError:
            continue
        return network
    raise SystemExit(2)


def settings(name: str, ip: str, zone: str, store: str, memory_mb: int = 170) -> dict[str, Any]:
    """Return the settings of an instance, like those of a small deployment in DEPLOY.md."""
    return {
        'node_name': name,
        'role': 'instance',
        'machine_class': 'edge',
        'serves': ['edge', 'control'],
        'ip': ip,
        'zone': zone,
        'region': 'prairie-west',
        'zones': {'prairie-west-a': 'prairie-west', 'prairie-west-b': 'prairie-west'},
        'listen': {
            'frontend': f'{ip}:{CALLERS}',
            'ready': f'{ip}:{READY}',
            'control_plane': f'{ip}:{CONTROL}',
        },
        'internal_ports': [INTERNAL, INTERNAL + 15],
        'seeds': [],
        'bootstrap': True,
        'fault_counted': False,
        'discovery': 'platform',
        'entry': 'vip',
        'heartbeat_ms': 1200,
        'limits': {'cpu_share': 0.717, 'cores': 3, 'memory_mb': memory_mb, 'max_fds': 8200},
        'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
        'bounds': {
            'contact_ms': 3000,
            'ack_ms': 4000,
            'drain_ms': 2000,
            'grace_s': 8,
            'config_apply_ms': 2000,
            'finish_s': 18,
            'status_s': 120,
            'cancel_ms': 3000,
            'settle_ms': 1000,
            'quota_overshoot': 0.1,
        },
        'platform': {
            'address': store,
            'form': 'table',
            'writes_per_s': 800,
            'reads_per_s': 2000,
            'tx_ms': 5.0,
            'part_writes_s': 200,
            'row_bytes': 65536,
            'cross_shard': False,
            'history_s': 20,
            'blob_bytes': 8388608,
            'blob_ms': 25.0,
            'blob_mb_s': 80.0,
        },
    }


class Instance:
    """One instance; only what this object started is ever signalled."""

    def __init__(self, folder: Path, values: dict[str, Any]) -> None:
        """Write its settings; nothing runs yet."""
        self.name: str = values['node_name']
        self.ip: str = values['ip']
        self.memory_mb: int = values['limits']['memory_mb']
        self.callers = (self.ip, CALLERS)
        self.ready = (self.ip, READY)
        self._values = values
        self._file = folder / f'{self.name}.json'
        self._file.write_text(json.dumps(values))
        self.log = folder / f'{self.name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        # Nothing stays behind, however the script ends.
        atexit.register(self.kill)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    def start(self) -> None:
        """Start it with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['instance']['run'].split()
        environment = {name: os.environ[name] for name in ('PATH', 'HOME') if name in os.environ}
        environment |= {
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'CITRONDYKE_NODE_FILE': str(self._file),
            'CITRONDYKE_LISTEN': f'{self.ip}:{CALLERS} {self.ip}:{READY}',
        }
        with self.log.open('ab') as out:
            self.process = subprocess.Popen(
                words, stdout=out, stderr=out, stdin=subprocess.DEVNULL, env=environment, cwd=ROOT
            )
        self.starts += 1

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to its process."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        if self.process is not None and self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_mb_now(self) -> float:
        """Return the memory that is its own and in use, in MB."""
        if self.process is None or not self.is_running:
            return 0.0
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) / 1024
        return 0.0


if __name__ == '__main__':
    sys.exit(2)
