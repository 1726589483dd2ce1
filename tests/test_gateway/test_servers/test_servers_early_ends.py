"""Tests that an answer without a length is whole only if its connection ended without an error."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.servers.server_connection import DIRECT_BODY_BYTES, ServerConnection
from citrondyke.standin.platform_server import AnswerMode
from citrondyke.util.clock import SystemClock
from tests.support.gateway import GatewayFleet

PART = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart'
LONG_BODY = b'x' * (DIRECT_BODY_BYTES + 1)
#: More than the sockets on the way hold.
UPLOAD = b'x' * 4_000_000
REQUESTS_COUNT = 20


class ResetSocket:
    """A socket whose reset is reported to the side that writes; the other side sees an end."""

    def __init__(self) -> None:
        self._pieces = [PART, b'']

    def settimeout(self, _: float) -> None: ...

    def setblocking(self, _: bool) -> None: ...

    def close(self) -> None: ...

    def sendall(self, _: bytes) -> None:
        raise ConnectionResetError

    def recv(self, _: int) -> bytes:
        gevent.sleep(0)
        return self._pieces.pop(0)


def read_whole(connection: ServerConnection) -> bytes:
    until_ms = SystemClock().now_ms() + 5_000.0
    connection.read_head(until_ms)
    return connection.read_body(until_ms, 1_000)


def test_reset_that_the_writer_learns_of_breaks_the_answer_off() -> None:
    connection = ServerConnection(SystemClock(), ResetSocket())
    connection.send(b'POST', b'/', [], LONG_BODY)
    with pytest.raises(BrokenReplyError) as caught:
        read_whole(connection)
    assert caught.value.failure_kind is ReplyFailureKind.CUT


@pytest.fixture
def pair() -> Iterator[tuple[ServerConnection, socket.socket]]:
    """A connection and the server's side of it."""
    own, other = socket.socketpair()
    with own, other:
        yield ServerConnection(SystemClock(), own), other


def test_answer_is_broken_off_by_a_shutdown_of_this_side(
    pair: tuple[ServerConnection, socket.socket],
) -> None:
    # The server's incarnation has ended while it sent the answer.
    connection, server = pair
    connection.send(b'GET', b'/', [], b'')
    server.sendall(PART)
    connection.read_head(SystemClock().now_ms() + 5_000.0)
    connection.shut_down()
    with pytest.raises(BrokenReplyError) as caught:
        read_whole(connection)
    assert caught.value.failure_kind is ReplyFailureKind.CUT


def test_early_answer_whose_server_reads_on_is_whole(
    pair: tuple[ServerConnection, socket.socket],
) -> None:
    connection, server = pair
    connection.send(b'POST', b'/', [], b'x' * 1_000_000)
    server.sendall(PART)
    server.shutdown(socket.SHUT_WR)
    assert read_whole(connection) == b'part'


@pytest.mark.parametrize('path', ['/fetch/x', '/order/x', '/stream/x', '/stream-once/x'])
@pytest.mark.parametrize('mode', [AnswerMode.EARLY_RESET, AnswerMode.EARLY_CLOSE])
def test_part_of_an_early_answer_is_not_passed_on_as_whole(
    fleet: GatewayFleet, mode: AnswerMode, path: str
) -> None:
    fleet.configure(version=2, max_body_bytes=len(UPLOAD))
    fleet.wait_version(2)
    for server in fleet.servers.values():
        server.answer_modes.extend([mode, AnswerMode.SERVE] * REQUESTS_COUNT)
    for number in range(REQUESTS_COUNT):
        reply = fleet.call(path, UPLOAD, request_id=f'request-{number}')
        is_served = reply.body.startswith((b'answer to ', b'id: 1\n'))
        assert reply.status != 200 or not reply.is_whole or is_served
        assert reply.status in (200, 502)
