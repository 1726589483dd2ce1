"""The start of the daemon step by step, over the stand-ins: ``python -m benchmarks.start_steps``.

Starts the daemon as the deploy file does, with a store that answers, is slow or is silent, and with
many at once.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
import time
from pathlib import Path

import gevent
import msgspec

from citrondyke.standin.store_app import StoreFaults
from tests.support.gateway import LOOPBACK, GatewayFleet, exchange
from tests.support.gateway_process import GatewayProcess

__all__ = ('main',)

STORES = {
    'there': StoreFaults(),
    'slow': StoreFaults(slow_ms=300.0),
    'silent': StoreFaults(refused_ips={'*'}, is_silent=True),
}
STEPS = (
    'listening',
    'imported',
    'settings',
    'made',
    'started',
    'configuration',
    'servers',
    'serving',
    'peers',
    'lease',
)
#: What is looked for at the most.
LONGEST_S = 15.0


class Start(msgspec.Struct):
    """Times of one start, in ms after exec."""

    listens_ms: float = 0.0
    #: When the first request was answered, and with what.
    answered_ms: float = 0.0
    status: int = 0
    #: As the daemon logs them, from its own first line.
    steps_ms: dict[str, float] = {}
    #: Processor time until the answer, in steps of 10 ms.
    cpu_ms: float = 0.0


def main() -> int:
    """Measure and print one line a case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--tree', default='', help='what the build made, as target/deps')
    parser.add_argument('--runs', type=int, default=5)
    parser.add_argument('--many', type=int, default=20, help='instances that start at once')
    parser.add_argument('--share', type=float, default=0.4, help='of a core, to scale to')
    asked = parser.parse_args()
    for store in STORES:
        starts = [start for _ in range(asked.runs) for start in _measure(asked.tree, store, 1)]
        _print(f'store {store}', starts, asked.share)
    _print(f'{asked.many} at once', _measure(asked.tree, 'there', asked.many), asked.share)
    return 0


def _measure(tree: str, store: str, count: int) -> list[Start]:
    fleet = GatewayFleet()
    with tempfile.TemporaryDirectory() as folder:
        processes = [
            GatewayProcess(Path(folder), f'{LOOPBACK}.{50 + n}', fleet.store_address, tree)
            for n in range(count)
        ]
        try:
            fleet.configure()
            fleet.add_server('app-1', 'app', slots=100)
            fleet.store.faults = STORES[store]
            return _start_all(processes)
        finally:
            for process in processes:
                process.kill()
            fleet.end()


def _start_all(processes: list[GatewayProcess]) -> list[Start]:
    looks = []
    for process in processes:
        exec_s = time.monotonic()
        process.start()
        looks.append(gevent.spawn(_look, process, exec_s))
    gevent.joinall(looks, raise_error=True)
    return [look.value for look in looks]


def _look(process: GatewayProcess, exec_s: float) -> Start:
    """Call as a caller does from exec on, and once more while it is turned away."""
    start = Start()
    while start.status != 200 and time.monotonic() - exec_s < LONGEST_S:
        sock = process.connect()
        if sock is None:
            gevent.sleep(0.001)
            continue
        start.listens_ms = start.listens_ms or _ms_since(exec_s)
        with sock:
            sock.settimeout(LONGEST_S)
            reply = exchange(sock, '/fetch/a', b'x', Deadline_Ms='3000')
        if not start.status:
            start.answered_ms, start.cpu_ms = _ms_since(exec_s), process.ran_s() * 1e3
        start.status = start.status or reply.status
        if reply.status != 200:
            break
    gevent.sleep(1.5)
    for line in process.log_text.splitlines():
        event = msgspec.json.decode(line) if line.startswith('{') else {}
        start.steps_ms.update(event.get('steps_ms') or {})
    return start


def _ms_since(began_s: float) -> float:
    return (time.monotonic() - began_s) * 1e3


def _print(case: str, starts: list[Start], share: float) -> None:
    def median(values: list[float]) -> str:
        return f'{statistics.median(values):6.1f}' if values else '     -'

    steps = {
        name: median([each.steps_ms[name] for each in starts if name in each.steps_ms])
        for name in STEPS
    }
    cpu_ms = statistics.median(each.cpu_ms for each in starts)
    print(
        f'{case:14}  listens {median([each.listens_ms for each in starts])}'
        f'  answered {median([each.answered_ms for each in starts])}'
        f' ({", ".join(sorted({str(each.status) for each in starts}))})'
        f'  own steps: {"  ".join(f"{name} {value}" for name, value in steps.items())}'
        f'  cpu {cpu_ms:.0f} ms, at {share} of a core {cpu_ms / share:.0f} ms',
    )


if __name__ == '__main__':
    sys.exit(main())
