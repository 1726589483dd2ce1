"""Tests that a read of a large object goes on while its bytes arrive."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from citrondyke.gateway.http_client import HttpAnswer, HttpClient, HttpFailure
from citrondyke.ids import ObjectKey
from citrondyke.platform.store_client import PlatformObjectStore
from citrondyke.storage.failure import AMBIGUOUS
from citrondyke.util.clock import SystemClock

PIECES, PIECE = 12, b'x' * 1_000
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % (PIECES * len(PIECE))
TIMEOUT_MS, GAP_S = 200.0, 0.05
STALLED_AFTER = 6


@pytest.fixture
def client(request: pytest.FixtureRequest) -> Iterator[HttpClient]:
    """A client of a store that sends some pieces slowly; takes as long as three timeouts."""

    def serve(sock: socket.socket, _: object) -> None:
        sock.recv(65_536)
        sock.sendall(HEAD)
        for _ in range(request.param):
            gevent.sleep(GAP_S)
            sock.sendall(PIECE)
        sock.recv(1)

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    yield HttpClient(SystemClock(), '127.0.0.1', server.server_port)
    server.stop()


@pytest.mark.parametrize('client', [PIECES], indirect=True)
def test_object_that_arrives_slowly_is_read(client: HttpClient) -> None:
    answer = client.call('GET', '/', b'', [], TIMEOUT_MS, 10_000.0)
    assert isinstance(answer, HttpAnswer)
    assert answer.body == PIECE * PIECES


@pytest.mark.parametrize('client', [PIECES], indirect=True)
def test_read_ends_at_its_longest_time(client: HttpClient) -> None:
    assert isinstance(client.call('GET', '/', b'', [], TIMEOUT_MS, TIMEOUT_MS / 2), HttpFailure)


@pytest.mark.parametrize('client', [STALLED_AFTER], indirect=True)
def test_object_that_stalls_is_given_up(client: HttpClient) -> None:
    assert isinstance(client.call('GET', '/', b'', [], TIMEOUT_MS, 1e9), HttpFailure)


WHOLE, UNFRAMED = b'the whole object', b'Connection: close\r\n\r\n'


@pytest.fixture
def port(request: pytest.FixtureRequest) -> Iterator[int]:
    """The port of a store that closes each connection after an answer, one for each read."""
    answers = iter(request.param)

    def serve(sock: socket.socket, _: object) -> None:
        sock.recv(65_536)
        sock.sendall(b'HTTP/1.1 200 OK\r\n' + next(answers))

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    yield server.server_port
    server.stop()


@pytest.mark.parametrize(
    ('port', 'found'),
    [
        ([b'Content-Length: 16\r\n\r\n' + WHOLE], WHOLE),
        ([b'Content-Length: 16\r\n\r\n' + WHOLE[:4]], AMBIGUOUS),
        # A store that is killed closes its connections in order: a part looks like the whole.
        ([UNFRAMED + WHOLE[:4], UNFRAMED + WHOLE], AMBIGUOUS),
        ([UNFRAMED + WHOLE[:4], b'Content-Length: 16\r\n\r\n' + WHOLE], WHOLE),
        ([UNFRAMED + WHOLE, UNFRAMED + WHOLE], WHOLE),
    ],
    indirect=['port'],
)
def test_object_without_a_length_is_whole_if_two_reads_agree(port: int, found: object) -> None:
    client = HttpClient(SystemClock(), '127.0.0.1', port)
    assert PlatformObjectStore(client, 500.0).get(ObjectKey('key')) == found
