"""Requests that expect another version of the weights take the servers out of use for good."""

from __future__ import annotations

import json
import os
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'common'))

from harness import (  # noqa: E402
    Bench,
    CannotRunError,
    Message,
    Server,
    config,
    item,
    route,
    run_case,
    write_answer,
)

#: As in the sheet of a small deployment: 5 servers of 8 slots, items of 18 s, finish_s 18.
SERVERS, INSTANCES = 5, 3
STREAM_EVENTS, ITEM_EVENTS = 10, 20
EVENT_GAP_S = 0.03
WEIGHTS, OTHER_WEIGHTS = '1', '2'
#: Clients that expect other weights; each comes back once, at another instance.
PINNED_CLIENTS = 6
JOBS, ITEMS = 3, 6
TRAFFIC_S, FINISH_S, CALM_S = 6.0, 18.0, 5.0
ACCEPTED, DONE = 202, 200


class Servers:
    """The answers of model servers, all with the same weights."""

    def __init__(self, bench: Bench) -> None:
        """Use the record of a bench."""
        self._bench = bench

    def answer(self, server: Server, sock: socket.socket, request: Message) -> bool:
        """Answer by events, or with 421 if other weights are expected."""
        headers = request.headers
        if headers.get('expect-version', WEIGHTS) != WEIGHTS:
            self._bench.record.note(
                f'{server.server_id} answers {headers["attempt-id"]} with 421: its weights are '
                f'{WEIGHTS}, not {headers["expect-version"]}'
            )
            own = {
                'Attempt-Id': headers['attempt-id'],
                'Instance-Id': server.server_id,
                'Weight-Versions': WEIGHTS,
            }
            write_answer(sock, 421, own)
            return True
        run = server.begin(request)
        events = ITEM_EVENTS if request.target.startswith('/batch/') else STREAM_EVENTS
        own = server.seal(request) | {
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
            'Weight-Versions': WEIGHTS,
        }
        lines = ''.join(f'{name}: {value}\r\n' for name, value in own.items())
        sock.sendall(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
        for number in range(int(run.last_event_id or 0) + 1, events + 1):
            data = b'id: %d\ndata: word-%d\n\n' % (number, number)
            sock.sendall(b'%x\r\n%b\r\n' % (len(data), data))
            time.sleep(EVENT_GAP_S)
        sock.sendall(b'0\r\n\r\n')
        run.ended_s = time.monotonic()
        return True


def play(bench: Bench) -> list[str]:
    """Play the case; return what broke the rule."""
    answers = Servers(bench)
    routes = [
        route('stream', 'streaming', 'lm', resumable=True, gap_slo_ms=200, sticky=True),
        route('batch', 'batch', 'lm', completion_slo_ms=18_000, max_wait_s=40, max_attempts=3),
    ]
    bench.store.put('op', 'config', config(routes))
    fleet = [Server(f'i-{number}', 'lm', bench.record, answers.answer) for number in range(SERVERS)]
    for server in fleet:
        server.enlist(bench.store)
    bench.add_gateways(INSTANCES)
    bench.start()
    for number in range(PINNED_CLIENTS):
        pinned_client(bench, number)
    served = traffic(bench)
    for number in range(JOBS):
        body = [item(f'job-{number}-{each}', '/batch/x') for each in range(ITEMS)]
        accepted = bench.gateways[number % INSTANCES].call(
            '/batch/job', json.dumps({'requests': body}).encode(), request_id=f'job-{number}'
        )
        if accepted is None or accepted.status != ACCEPTED:
            raise CannotRunError(f'job-{number} was not accepted')
        bench.record.note(f'job-{number} of {ITEMS} items is accepted with 202')
    bench.record.note(f'other clients: {served}; all traffic has ended')
    time.sleep(FINISH_S)
    return check_listed(bench, fleet)


def pinned_client(bench: Bench, number: int) -> None:
    """Ask for a version of the weights; come back once after a promise, at another instance."""
    version = OTHER_WEIGHTS if bench.is_troubled else WEIGHTS
    for attempt in range(2):
        at = bench.gateways[(number + attempt) % INSTANCES]
        request_id = f'pinned-{number}-{attempt}'
        answer = at.call('/stream/x', request_id=request_id, Model='m', Expect_Version=version)
        status = None if answer is None else answer.status
        bench.record.note(f'CLIENT {request_id} at {at.name}: {status}')
        if answer is None or answer.status != 503:  # noqa: PLR2004
            return
        time.sleep(min(1.0, float(answer.headers.get('retry-after', '0.1'))))


def traffic(bench: Bench) -> dict[str, int]:
    """Other clients' requests, which expect no version; return their statuses."""
    found: dict[str, int] = {}
    until_s = time.monotonic() + TRAFFIC_S
    lock = threading.Lock()

    def client(number: int) -> None:
        turn = 0
        while time.monotonic() < until_s:
            turn += 1
            request_id = f'plain-{number}-{turn}'
            answer = bench.gateways[number].call('/stream/x', request_id=request_id, Model='m')
            status = 'none' if answer is None else str(answer.status)
            bench.record.note(f'CLIENT {request_id} at {bench.gateways[number].name}: {status}')
            with lock:
                found[status] = found.get(status, 0) + 1
            time.sleep(0.3)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(INSTANCES)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


def check_listed(bench: Bench, fleet: list[Server]) -> list[str]:
    """When finish_s is over, each item has to be listed, unless a server had work lately."""
    now_s = time.monotonic()
    ends_s = [run.ended_s or now_s for server in fleet for run in server.runs]
    idle_s = now_s - max(ends_s, default=now_s - FINISH_S)
    bench.record.note(f'{len(ends_s)} runs in all; no server is at work for {idle_s:.1f} s or more')
    if idle_s < CALM_S:
        bench.record.note('a server was at work in the last seconds: nothing can be said')
        return []
    broken = []
    for number in range(JOBS):
        results: list[dict[str, Any]] = []
        for gateway in bench.gateways:
            page = gateway.call(
                f'/-/lots/job-{number}?after=0', b'', method='GET', request_id='read'
            )
            if page is not None and page.status == DONE:
                found = json.loads(page.body)['results']
                results = max(results, found, key=len)
        bench.record.note(f'LISTED job-{number}: {len(results)} of {ITEMS} items')
        if len(results) < ITEMS:
            broken.append(
                f'{ITEMS - len(results)} of {ITEMS} items of job-{number} are listed neither as '
                f'completed nor as errored {FINISH_S:.0f} s after the traffic, all servers idle'
            )
    return broken


if __name__ == '__main__':
    # TROUBLE=0 plays the same without the disruption.
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    run_case(CASE, play, is_troubled=is_troubled)
