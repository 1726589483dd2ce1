"""A batch item is given up after one failed run, because the copy of its answer counts again."""

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

ITEM_EVENTS = 20
EVENT_GAP_S = 0.02
MAX_ATTEMPTS = 2
#: Batch jobs of one item each, one after the other; each item fails once.
JOBS = 60
COPIES = 8
#: Copies are sent in spans of this length, at most six, with a pause between two.
SPAN_S, PAUSE_S, SPANS = 5.0, 2.0, 6
#: At most three in a hundred answers of the faulty server have a second one.
ANSWERS_PER_COPY = 34
ACCEPTED, COMPLETED, ERRORED = 202, 'completed', 'errored'


class Servers:
    """The answers of the servers; the first one also sends copies."""

    def __init__(self, bench: Bench) -> None:
        """Use the record of a bench."""
        self._bench = bench
        self._lock = threading.Lock()
        #: Copies that wait for the next request on their channel.
        self._waiting: dict[socket.socket, bytes] = {}
        self.failures: dict[str, int] = {}
        self.answers: dict[str, int] = {}
        self.copies = 0
        #: Copies are sent until then.
        self.until_s = 0.0

    def answer(self, server: Server, sock: socket.socket, request: Message) -> bool:
        """Answer a request; each item fails at its first run."""
        with self._lock:
            self.answers[server.server_id] = self.answers.get(server.server_id, 0) + 1
            copy = self._waiting.pop(sock, b'')
        if copy:
            self._bench.record.note(f'{server.server_id} sends the late copy on the same channel')
            sock.sendall(copy)
        run = server.begin(request)
        if request.target.startswith('/fetch/'):
            write_answer(sock, 200, server.seal(request), b'record')
        elif run.request_id not in self.failures:
            self._fail(server, sock, request, run.request_id)
        else:
            self._stream(server, sock, request, int(run.last_event_id or 0))
        run.ended_s = time.monotonic()
        return True

    def _fail(self, server: Server, sock: socket.socket, request: Message, request_id: str) -> None:
        headers = server.seal(request)
        with self._lock:
            self.failures[request_id] = 1
            may_copy = self.answers[server.server_id] >= (self.copies + 1) * ANSWERS_PER_COPY
            is_faulty = server.server_id == 'i-faulty' and time.monotonic() < self.until_s
            if self._bench.is_troubled and is_faulty and may_copy:
                self.copies += 1
                lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
                head = f'HTTP/1.1 500 Status\r\n{lines}Content-Length: 6\r\n\r\nfailed'
                self._waiting[sock] = head.encode()
        self._bench.record.note(f'{server.server_id} answers {request_id} with 500')
        write_answer(sock, 500, headers, b'failed')

    def _stream(self, server: Server, sock: socket.socket, request: Message, after: int) -> None:
        headers = server.seal(request) | {
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
        sock.sendall(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
        for number in range(after + 1, ITEM_EVENTS + 1):
            data = b'id: %d\ndata: word-%d\n\n' % (number, number)
            sock.sendall(b'%x\r\n%b\r\n' % (len(data), data))
            time.sleep(EVENT_GAP_S)
        sock.sendall(b'0\r\n\r\n')


def play(bench: Bench) -> list[str]:
    """Play the case; return what broke the rule."""
    servers = Servers(bench)
    routes = [
        route('fetch', 'idempotent', 'lm'),
        route(
            'batch',
            'batch',
            'lm',
            completion_slo_ms=18_000,
            max_wait_s=40,
            max_attempts=MAX_ATTEMPTS,
        ),
    ]
    bench.store.put('op', 'config', config(routes))
    for name in ('i-faulty', 'i-sound'):
        Server(name, 'lm', bench.record, servers.answer).enlist(bench.store)
    bench.add_gateways(3)
    bench.start()
    broken = []
    warm_up(bench, servers)
    spans = 0
    for number in range(JOBS):
        if time.monotonic() >= servers.until_s:
            if spans >= SPANS:
                break
            time.sleep(PAUSE_S if spans else 0.0)
            spans += 1
            servers.until_s = time.monotonic() + SPAN_S
        job_id = f'job-{number}'
        result = run_job(bench, job_id)
        failures = sum(each.startswith(job_id) for each in servers.failures)
        bench.record.note(f'LISTED {job_id}: {result["state"]}, answers of 500: {failures}')
        if result['state'] == ERRORED and failures < MAX_ATTEMPTS:
            broken.append(
                f'{result["id"]} is errored after {failures} answer of 500 '
                f'of {MAX_ATTEMPTS} attempts, with no 422 and long before max_wait_s'
            )
            break
    bench.record.note(f'answers by server: {servers.answers}, copies: {servers.copies}')
    return broken


def warm_up(bench: Bench, servers: Servers) -> None:
    """Make calls until the faulty server's copies keep within their share of its answers."""
    calls = 0
    while servers.answers.get('i-faulty', 0) < COPIES * ANSWERS_PER_COPY:
        calls += 1
        at = bench.gateways[calls % len(bench.gateways)]
        at.call('/fetch/x', request_id=f'fetch-{calls}')
        if calls > 10 * COPIES * ANSWERS_PER_COPY:
            raise CannotRunError('the faulty server gets no calls')
    time.sleep(0.5)


def run_job(bench: Bench, job_id: str) -> dict[str, Any]:
    """Hand a batch job of one item in, and read its result at another instance."""
    body = json.dumps({'requests': [item(f'{job_id}-item', '/batch/x')]}).encode()
    accepted = bench.gateways[0].call('/batch/job', body, request_id=job_id)
    if accepted is None or accepted.status != ACCEPTED:
        raise CannotRunError(f'{job_id} was not accepted')
    until_s = time.monotonic() + 10.0
    while time.monotonic() < until_s:
        page = bench.gateways[1].call(
            f'/-/lots/{job_id}?after=0', b'', method='GET', request_id='read', Wait_Ms='1000'
        )
        if page is not None and page.status == 200:  # noqa: PLR2004
            found: list[dict[str, Any]] = json.loads(page.body)['results']
            if found:
                return found[0]
        time.sleep(0.2)
    raise CannotRunError(f'{job_id} has no result')


if __name__ == '__main__':
    # TROUBLE=0 plays the same without the disruption.
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    run_case(CASE, play, is_troubled=is_troubled)
