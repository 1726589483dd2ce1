"""What an instance adds to one streamed call, measured on a real process."""

from __future__ import annotations

import os
import tempfile
import threading
import time
from pathlib import Path

import numpy as np

from benchmarks.figure import Figure, Relation
from tests.support.caller import Caller
from tests.support.fleet import Fleet

__all__ = ('call_cost_figures', 'cpu_ms')

TOKENS = 20
WARM_UP_CALLS = 200
CALLS = 1000
MEMORY_CALLS = 9000
CALLERS = 4
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
BODY = {
    'model': 'demo-model',
    'messages': [{'role': 'user', 'content': 'Which stops come before noon?'}],
    'max_tokens': TOKENS,
    'stream': True,
}


def call_cost_figures() -> list[Figure]:
    """Measure processor time, added first-token time and memory of one instance."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet.start_engine('engine-0', base_ms=1.0, max_running=128)
            fleet.start_instance('instance-0')
            fleet.wait_ready('instance-0')
            return _measure(fleet)
        finally:
            fleet.end()


def _measure(fleet: Fleet) -> list[Figure]:
    pid = fleet.program('instance-0').pid
    _ask_many(fleet, WARM_UP_CALLS)
    before_ms, before_bytes = cpu_ms(pid), _memory_bytes(pid)
    _ask_many(fleet, CALLS)
    spent_ms = (cpu_ms(pid) - before_ms) / CALLS
    through = _first_tokens_ms(fleet.caller())
    direct = _first_tokens_ms(Caller(fleet.port('engine-0')))
    _ask_many(fleet, MEMORY_CALLS)
    grown = _memory_bytes(pid) / before_bytes
    return [
        Figure(
            name=f"an instance's processor time for a streamed call of {TOKENS} tokens",
            value=spent_ms,
            unit='ms',
            goal=1.5,
            relation=Relation.AT_MOST,
        ),
        Figure(
            name='first-token time added by an instance (median)',
            value=float(np.median(through) - np.median(direct)),
            unit='ms',
            goal=3.0,
            relation=Relation.AT_MOST,
        ),
        Figure(
            name=f'memory after {CALLS + MEMORY_CALLS} calls ÷ before',
            value=grown,
            bound=1.1,
            goal=1.05,
            relation=Relation.AT_MOST,
        ),
    ]


def _ask_many(fleet: Fleet, calls: int) -> None:
    def ask() -> None:
        caller = fleet.caller()
        for _ in range(calls // CALLERS):
            caller.call('POST', '/v1/chat/completions', BODY)

    threads = [threading.Thread(target=ask) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _first_tokens_ms(caller: Caller) -> list[float]:
    body = {**BODY, 'max_tokens': 1}
    times: list[float] = []
    for _ in range(200):
        began = time.perf_counter()
        caller.call('POST', '/v1/chat/completions', body)
        times.append((time.perf_counter() - began) * 1e3)
    return times


def cpu_ms(pid: int) -> float:
    """Give the processor time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S * 1e3


def _memory_bytes(pid: int) -> int:
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


if __name__ == '__main__':
    for figure in call_cost_figures():
        print(figure.name, round(figure.value, 3), figure.unit)
