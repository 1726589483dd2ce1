"""A comment block in the stream of a batch item stands in its text, or doubles events."""

from __future__ import annotations

import json
import os
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

from harness import Bench, Message, Server, config, item, reset, route, run_case  # noqa: E402

ITEM_EVENTS, COMMENT_AFTER = 10, 5
DONE = 200


def answer(server: Server, sock: socket.socket, request: Message) -> bool:
    """Send events and a comment block; one item's first run breaks off right after it."""
    is_first = not any(run.request_id == request.headers['attempt-id'] for run in server.runs)
    run = server.begin(request)
    headers = server.seal(request) | {
        'Content-Type': 'text/event-stream',
        'Transfer-Encoding': 'chunked',
    }
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    sock.sendall(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
    for number in range(int(run.last_event_id or 0) + 1, ITEM_EVENTS + 1):
        data = b'id: %d\ndata: word-%d\n\n' % (number, number)
        is_comment_due = number == COMMENT_AFTER and server.sends_comments
        data += b': ping\n\n' if is_comment_due else b''
        sock.sendall(b'%x\r\n%b\r\n' % (len(data), data))
        time.sleep(0.05)
        if number == COMMENT_AFTER and is_first and run.request_id == 'item-broken':
            reset(sock)
            return False
    sock.sendall(b'0\r\n\r\n')
    return True


def play(bench: Bench) -> list[str]:
    """Play it; return what broke the rule."""
    batch = route('batch', 'batch', 'lm', completion_slo_ms=18_000, max_wait_s=40, max_attempts=3)
    bench.store.put('op', 'config', config([batch]))
    server = Server('i-0', 'lm', bench.record, answer)
    server.sends_comments = bench.is_troubled
    server.enlist(bench.store)
    bench.add_gateways(1)
    bench.start()
    items = [item('item-whole', '/batch/x'), item('item-broken', '/batch/x')]
    gateway = bench.gateways[0]
    gateway.call('/batch/job', json.dumps({'requests': items}).encode(), request_id='job')
    time.sleep(5.0)
    page = gateway.call('/-/lots/job?after=0', b'', method='GET', request_id='read')
    results = [] if page is None or page.status != DONE else json.loads(page.body)['results']
    whole = '\n'.join(f'word-{number}' for number in range(1, ITEM_EVENTS + 1))
    for result in results:
        bench.record.note(f'LISTED {result}')
    return [
        f'{result["id"]} is completed with another text than its whole output'
        for result in results
        if result['state'] == 'completed' and result['text'] != whole
    ]


if __name__ == '__main__':
    # TROUBLE=0 plays the same without the disruption.
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    run_case(HERE, play, is_troubled=is_troubled, record='comment_block.txt')
