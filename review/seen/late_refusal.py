"""A stream is sent to a second server though the first one works on it: a late copy is believed."""

from __future__ import annotations

import os
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

from harness import (  # noqa: E402
    Bench,
    CannotRunError,
    Message,
    Server,
    config,
    route,
    run_case,
    write_answer,
)

STREAM_EVENTS = 30
EVENT_GAP_S = 0.03
#: At most three in a hundred answers of the faulty server have a second one.
ANSWERS_PER_COPY = 34
COPIES = 8
REQUESTS = 50
#: From here on a server that still works on a request breaks the rule.
STILL_AT_WORK_S = 0.4


class Servers:
    """The answers of the servers; the first one also sends copies."""

    def __init__(self, bench: Bench) -> None:
        """Use the record of a bench."""
        self._bench = bench
        self._lock = threading.Lock()
        self._waiting: dict[socket.socket, bytes] = {}
        self.answers: dict[str, int] = {}
        self.copies = 0

    def answer(self, server: Server, sock: socket.socket, request: Message) -> bool:
        """Answer a request; a copy that is late stands where this answer is expected."""
        with self._lock:
            self.answers[server.server_id] = self.answers.get(server.server_id, 0) + 1
            copy = self._waiting.pop(sock, b'')
            is_stream = request.target.startswith('/stream/')
            is_faulty = is_stream and server.server_id == 'i-faulty'
            # It is full for one request, and again once the copy of that answer is sent.
            is_full = is_faulty and not self._waiting and not copy
        if copy:
            request_id = request.headers['attempt-id']
            self._bench.record.note(f'{server.server_id} sends the late copy, before {request_id}')
            sock.sendall(copy)
        if is_full:
            self._shed(server, sock, request)
            return True
        run = server.begin(request)
        if is_stream:
            self._stream(server, sock, request, int(run.last_event_id or 0))
        else:
            write_answer(sock, 200, server.seal(request), b'record')
        run.ended_s = time.monotonic()
        return True

    def _shed(self, server: Server, sock: socket.socket, request: Message) -> None:
        request_id = request.headers['attempt-id']
        headers = {'Attempt-Id': request_id, 'Not-Executed': '1', 'Instance-Load': '8,24,8'}
        with self._lock:
            may_copy = self.answers[server.server_id] >= (self.copies + 1) * ANSWERS_PER_COPY
            if self._bench.is_troubled and may_copy:
                self.copies += 1
                lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
                head = f'HTTP/1.1 503 Status\r\n{lines}Content-Length: 0\r\n\r\n'
                self._waiting[sock] = head.encode()
        self._bench.record.note(f'{server.server_id} is full: it does not run {request_id}')
        write_answer(sock, 503, headers)

    @staticmethod
    def _stream(server: Server, sock: socket.socket, request: Message, after: int) -> None:
        headers = server.seal(request) | {
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
        sock.sendall(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
        for number in range(after + 1, STREAM_EVENTS + 1):
            data = b'id: %d\ndata: word-%d\n\n' % (number, number)
            sock.sendall(b'%x\r\n%b\r\n' % (len(data), data))
            time.sleep(EVENT_GAP_S)
        sock.sendall(b'0\r\n\r\n')


def play(bench: Bench) -> list[str]:
    """Play the case; return what broke the rule."""
    servers = Servers(bench)
    routes = [
        route('fetch', 'idempotent', 'lm'),
        route('stream', 'streaming', 'lm', resumable=True, gap_slo_ms=200, sticky=True),
    ]
    bench.store.put('op', 'config', config(routes))
    fleet = [Server(name, 'lm', bench.record, servers.answer) for name in ('i-faulty', 'i-sound')]
    for server in fleet:
        server.enlist(bench.store)
    bench.add_gateways(3)
    bench.start()
    warm_up(bench, servers)
    broken: list[str] = []
    for number in range(REQUESTS):
        request_id = f'stream-{number}'
        answer = bench.gateways[0].call('/stream/x', request_id=request_id, Model='m')
        what = 'nothing' if answer is None else f'{answer.status}, whole: {answer.is_whole}'
        bench.record.note(f'CLIENT {request_id}: {what}')
        broken = overlaps(fleet)
        if broken or servers.copies >= COPIES:
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


def overlaps(fleet: list[Server]) -> list[str]:
    """Find requests that went on at another server while the one before still worked on them."""
    now_s = time.monotonic()
    runs = sorted((run for server in fleet for run in server.runs), key=lambda run: run.began_s)
    found = []
    for index, before in enumerate(runs):
        if not before.request_id.startswith('stream-'):
            continue
        for after in runs[index + 1 :]:
            if after.request_id != before.request_id or after.server == before.server:
                continue
            both_s = (before.ended_s or now_s) - after.began_s
            if both_s > STILL_AT_WORK_S:
                found.append(
                    f'{before.request_id} goes on at {after.server} while {before.server} works on '
                    f'it for {both_s:.2f} s more'
                )
    return found


if __name__ == '__main__':
    # TROUBLE=0 plays the same without the disruption.
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    run_case(HERE, play, is_troubled=is_troubled, record='late_refusal.txt')
