"""A gateway's daemon as a process, started as the deploy file does."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

from gevent import socket

from citrondyke.platform.early_addresses import LISTEN_VARIABLE
from citrondyke.platform.settings_file import FILE_VARIABLE

__all__ = ('GatewayProcess',)

SETTINGS = """
node_name = '{ip}'
ip = '{ip}'
zone = 'zone-a'
internal_ports = [18002, 18010]
[listen]
frontend = '{ip}:18000'
ready = '{ip}:18001'
[platform]
address = '{store}'
"""


class GatewayProcess:
    """One that a test started, and only that."""

    def __init__(self, folder: Path, ip: str, store: str, tree: str = '') -> None:
        """Write its settings; nothing runs yet.

        :param tree: folder that the package is taken from; empty for this program's own.
        """
        self.ip = ip
        self._path = tree or os.pathsep.join(sys.path)
        self.callers, self.health = (ip, 18_000), (ip, 18_001)
        self.file = folder / f'{ip}.toml'
        self.file.write_text(SETTINGS.format(ip=ip, store=store))
        self._log = folder / f'{ip}.log'
        self._process: subprocess.Popen[bytes]

    def start(self) -> None:
        """Start it; what ran before is gone."""
        variables = {
            FILE_VARIABLE: str(self.file),
            LISTEN_VARIABLE: f'{self.ip}:18000 {self.ip}:18001',
        }
        with self._log.open('ab') as out:
            self._process = subprocess.Popen(
                [sys.executable, '-P', '-S', '-m', 'citrondyke.cmd.gateway'],
                stdout=out,
                stderr=out,
                env={**os.environ, 'PYTHONPATH': self._path, **variables},
            )

    def connect(self) -> socket.socket | None:
        """Connect as a caller; ``None`` when it is refused."""
        try:
            return socket.create_connection(self.callers, timeout=20.0)
        except ConnectionRefusedError:
            return None

    def ran_s(self) -> float:
        """Give the processor time that it has had."""
        fields = Path(f'/proc/{self._process.pid}/stat').read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    def send_signal(self, number: signal.Signals) -> None:
        self._process.send_signal(number)

    def wait(self) -> int:
        return self._process.wait(30.0)

    @property
    def is_running(self) -> bool:
        return self._process.poll() is None

    @property
    def log_text(self) -> str:
        return self._log.read_text(errors='replace')

    def kill(self) -> None:
        if self.is_running:
            self._process.kill()
        self._process.wait()
