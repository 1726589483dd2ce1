"""Tests that callers that send without end hold neither their connection nor the instance."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import bottle
import gevent
import pytest

from citrondyke.entry.bodies import body_chunks, read_body
from citrondyke.entry.server import EntryServer, entry_server
from citrondyke.errors import CitrondykeError
from tests.support.gateway import wait_until_seen
from tests.test_backend.test_backend_client import std_socket

BODY_LIMIT_BYTES = 100_000
BODY_WITHIN_MS = 500.0
LENGTH = b'Content-Length: 100000000000\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


class EndlessCaller(threading.Thread):
    """A caller with a thread of its own that sends one piece again and again."""

    def __init__(self, port: int, head: bytes, piece: bytes) -> None:
        super().__init__(daemon=True)
        self._port = port
        self._head = head
        self._piece = piece
        self.is_closed = False

    def run(self) -> None:
        sock = std_socket()
        with sock:
            sock.connect(('127.0.0.1', self._port))
            sock.sendall(self._head)
            try:
                while True:
                    sock.sendall(self._piece)
            except OSError:
                self.is_closed = True


@pytest.fixture
def server() -> Iterator[EntryServer]:
    app = bottle.Bottle()

    @app.post('/ignore')  # type: ignore[untyped-decorator]
    def ignore() -> str:
        return 'rejected'

    @app.post('/read')  # type: ignore[untyped-decorator]
    def read() -> str:
        try:
            read_body(BODY_LIMIT_BYTES, BODY_WITHIN_MS)
        except CitrondykeError as error:
            return error.code
        return 'read'

    @app.post('/upload')  # type: ignore[untyped-decorator]
    def upload() -> str:
        try:
            return str(sum(len(chunk) for chunk in body_chunks(BODY_WITHIN_MS)))
        except CitrondykeError as error:
            return error.code

    made = entry_server('127.0.0.1', 0, app, 10, {})
    made.start()
    yield made
    made.stop(timeout=0)


@pytest.mark.parametrize(
    ('framing', 'piece'),
    [
        (LENGTH, b'x' * 65_536),
        (CHUNKED, b'1000\r\n' + b'x' * 4_096 + b'\r\n'),
        (CHUNKED, b'1\r\nx\r\n' * 3_000),
        (CHUNKED + b'5;', b'x' * 4_096),
        (CHUNKED + b'0\r\n', b'X: y\r\n' * 1_000),
    ],
)
@pytest.mark.parametrize('path', [b'/ignore', b'/read', b'/upload'])
def test_request_without_end_is_closed(
    server: EntryServer, path: bytes, framing: bytes, piece: bytes
) -> None:
    ticks: list[float] = []

    def tick() -> None:
        while True:
            ticks.append(1.0)
            gevent.sleep(0.005)

    ticker = gevent.spawn(tick)
    head = b'POST ' + path + b' HTTP/1.1\r\nHost: h\r\n' + framing
    caller = EndlessCaller(server.server_port, head, piece)
    caller.start()
    wait_until_seen(lambda: caller.is_closed, 'the connection to be closed')
    ticker.kill()
    assert len(ticks) > 1


def test_connection_is_kept_after_a_body_that_was_not_read(server: EntryServer) -> None:
    with gevent.socket.create_connection(('127.0.0.1', server.server_port)) as sock:
        for _ in range(2):
            sock.sendall(b'POST /ignore HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody')
            assert sock.recv(65_536).startswith(b'HTTP/1.1 200')
