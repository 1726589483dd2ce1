"""One program of ours as a process of its own."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

__all__ = ('Program',)

STOP_WITHIN_S = 30.0


class Program:
    """A process that a test started, and only that."""

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        folder: Path,
        variables: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self._log = folder / f'{name}.log'
        with self._log.open('ab') as out:
            self._process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                env={**os.environ, 'PYTHONUNBUFFERED': '1', **(variables or {})},
            )

    @property
    def is_running(self) -> bool:
        return self._process.poll() is None

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def log_text(self) -> str:
        return self._log.read_text(errors='replace')

    def kill(self) -> None:
        """End it at once, with no chance to tidy up."""
        self._process.kill()
        self._process.wait()

    def freeze(self) -> None:
        self._process.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        self._process.send_signal(signal.SIGCONT)

    def ask_to_stop(self) -> None:
        self._process.send_signal(signal.SIGTERM)

    def send_signal(self, number: signal.Signals) -> None:
        self._process.send_signal(number)

    def wait(self) -> int:
        return self._process.wait(STOP_WITHIN_S)

    def end(self) -> None:
        """Leave nothing running, whatever state it is in."""
        if self.is_running:
            self.wake()
            self.kill()
