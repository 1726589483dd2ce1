"""A server's header value that ends in a space ends the caller's channel without an answer."""

from __future__ import annotations

import os
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

from harness import Bench, Message, Server, call_on, config, route, run_case  # noqa: E402

CLIENTS, LEAST_COUNT = 8, 3


def play(bench: Bench) -> list[str]:
    """Play it; return what broke the rule."""
    space = ' ' if bench.is_troubled else ''

    def answer(server: Server, sock: socket.socket, request: Message) -> bool:
        server.begin(request)
        headers = server.seal(request) | {'Server': f'app{space}', 'Content-Length': '6'}
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
        sock.sendall(f'HTTP/1.1 200 OK\r\n{lines}\r\nrecord'.encode())
        return True

    bench.store.put('op', 'config', config([route('fetch', 'idempotent', 'app')]))
    for number in range(3):
        Server(f'i-{number}', 'app', bench.record, answer).enlist(bench.store)
    bench.add_gateways(1)
    bench.start()
    unanswered = 0
    for number in range(CLIENTS):
        with socket.create_connection(bench.gateways[0].frontend, 5.0) as sock:
            got = call_on(sock, '/fetch/x', request_id=f'fetch-{number}')
        bench.record.note(f'CLIENT fetch-{number}: {None if got is None else got.status}')
        unanswered += got is None
    if unanswered > LEAST_COUNT:
        return [f'{unanswered} of {CLIENTS} channels were closed without an answer']
    return []


if __name__ == '__main__':
    # TROUBLE=0 plays the same without the disruption.
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    run_case(HERE, play, is_troubled=is_troubled, record='header_space.txt')
