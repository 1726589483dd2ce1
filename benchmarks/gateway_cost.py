"""What a gateway adds to a server's own time, and what its log costs; over the stand-ins."""

from __future__ import annotations

import os
import subprocess
import sys
import time

import h11
import msgspec
from gevent import socket

from benchmarks.figure import Figure, Relation
from citrondyke.gateway.event_log import EventLogHandler
from citrondyke.platform.dialect import ATTEMPT_HEADER
from tests.support.gateway import HOST, GatewayFleet, exchange

__all__ = ('cost_figures',)

CALLS = 400
#: The server's own time for a plain answer and for a stream's first event: those of the users'
#: services are 45 to 90 ms and 12 ms.
ANSWER_MS = 60.0
MAIN = 'benchmarks.gateway_cost'


class _Times(msgspec.Struct):
    direct_ms: list[float] = []
    through_ms: list[float] = []
    direct_first_ms: list[float] = []
    through_first_ms: list[float] = []
    cpu_s: float = 0.0


def cost_figures() -> list[Figure]:
    """Measure in a process of its own, as the gateway's sockets are gevent's."""
    logged = _measure('log')
    silent = _measure('silent')
    return [
        Figure(
            name='gateway: plain answer p99 ÷ server alone (60 ms)',
            value=_p99(logged.through_ms) / _p99(logged.direct_ms),
            baseline=_p99(logged.direct_ms),
            bound=1.25,
            goal=1.13,
            relation=Relation.AT_MOST,
        ),
        Figure(
            name='gateway: first event p99 ÷ server alone (60 ms)',
            value=_p99(logged.through_first_ms) / _p99(logged.direct_first_ms),
            baseline=_p99(logged.direct_first_ms),
            bound=1.25,
            goal=1.13,
            relation=Relation.AT_MOST,
        ),
        Figure(
            name='gateway: processor time, log on ÷ off',
            value=logged.cpu_s / silent.cpu_s,
            baseline=silent.cpu_s,
            bound=1.4,
            relation=Relation.AT_MOST,
        ),
    ]


def _measure(mode: str) -> _Times:
    done = subprocess.run(
        [sys.executable, '-m', MAIN, mode], check=True, capture_output=True, env=os.environ
    )
    return msgspec.json.decode(done.stdout.splitlines()[-1], type=_Times)


def _p99(values: list[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)]


def _first_event_ms(address: tuple[str, int], path: str, request_id: str) -> float:
    began = time.perf_counter()
    http = h11.Connection(h11.CLIENT)
    head = [('Host', HOST), (ATTEMPT_HEADER.decode(), request_id), ('Content-Length', '0')]
    with socket.create_connection(address, timeout=10.0) as sock:
        sock.sendall(http.send(h11.Request(method='POST', target=path, headers=head)) or b'')
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(sock.recv(65_536))
            elif isinstance(event, h11.Data):
                return (time.perf_counter() - began) * 1e3


def _whole_ms(address: tuple[str, int], request_id: str) -> float:
    began = time.perf_counter()
    with socket.create_connection(address, timeout=10.0) as sock:
        exchange(sock, '/fetch/a', b'x' * 600, request_id=request_id)
    return (time.perf_counter() - began) * 1e3


def main(mode: str) -> None:
    """Play in this process and print the times."""
    fleet = GatewayFleet()
    fleet.configure()
    app, engine = fleet.add_server('app-1', 'app'), fleet.add_server('lm-1', 'lm')
    app.answer_ms = engine.answer_ms = ANSWER_MS
    fleet.start_instance()
    fleet.wait_ready()
    if mode == 'log':
        handler = EventLogHandler(fleet.clock, {'instance': 'bench'}, os.open(os.devnull, 1))
        handler.push_application()
        handler.start()
    times = _Times()
    through = (fleet.instances[0].address.ip, fleet.instances[0].address.port)
    for number in range(CALLS):
        times.direct_ms.append(_whole_ms(('127.0.0.1', app.port), f'd-{number}'))
        times.through_ms.append(_whole_ms(through, f't-{number}'))
        if number % 4 == 0:
            direct = ('127.0.0.1', engine.port)
            times.direct_first_ms.append(_first_event_ms(direct, '/stream/a', f'e-{number}'))
            times.through_first_ms.append(_first_event_ms(through, '/stream/a', f'f-{number}'))
    app.answer_ms = 0.0
    began = time.process_time()
    for number in range(CALLS * 4):
        _whole_ms(through, f'c-{number}')
    times.cpu_s = time.process_time() - began
    fleet.end()
    print(msgspec.json.encode(times).decode())


if __name__ == '__main__':
    main(sys.argv[1])
