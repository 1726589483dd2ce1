"""Tests that an answer without a length is whole only if its connection ended without an error."""

from __future__ import annotations

import errno
from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.servers.server_connection import (
    DIRECT_BODY_BYTES,
    ServerConnection,
    open_connection,
)
from citrondyke.standin.platform_server import AnswerMode
from citrondyke.util.clock import SystemClock
from tests.support.gateway import GatewayFleet

PART = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart'
LONG_BODY = b'x' * (DIRECT_BODY_BYTES + 1)
#: More than the sockets on the way hold.
UPLOAD = b'x' * 4_000_000
REQUESTS_COUNT = 20


class FakeSocket:
    """A socket that receives some pieces and errors."""

    def __init__(self, *received: bytes | OSError) -> None:
        self._received = list(received)

    def settimeout(self, _: float) -> None: ...

    def setblocking(self, _: bool) -> None: ...

    def close(self) -> None: ...

    def sendall(self, _: bytes) -> None: ...

    def recv(self, _: int) -> bytes:
        gevent.sleep(0)
        piece = self._received.pop(0)
        if isinstance(piece, OSError):
            raise piece
        return piece


class BrokenSocket(FakeSocket):
    """A socket whose error is reported to the side that writes; the other side sees an end."""

    def __init__(self, error: OSError) -> None:
        super().__init__(PART, b'')
        self._error = error

    def send(self, *_: object) -> int:
        raise self._error


def read_whole(connection: ServerConnection, within_ms: float = 5_000.0) -> bytes:
    until_ms = SystemClock().now_ms() + within_ms
    connection.read_head(until_ms)
    return connection.read_body(until_ms, 1_000)


def given_up() -> OSError:
    return TimeoutError(errno.ETIMEDOUT, 'Connection timed out')


@pytest.mark.parametrize('error', [ConnectionResetError(), given_up()], ids=['reset', 'given-up'])
def test_error_that_the_writer_learns_of_breaks_the_answer_off(error: OSError) -> None:
    connection = ServerConnection(SystemClock(), BrokenSocket(error))
    connection.send(b'POST', b'/', [], LONG_BODY)
    with pytest.raises(BrokenReplyError) as caught:
        read_whole(connection)
    assert caught.value.failure_kind is ReplyFailureKind.CUT


@pytest.mark.parametrize('own_timeouts', [[], [TimeoutError('timed out')]])
def test_answer_whose_connection_the_kernel_gives_up_is_broken_off(
    own_timeouts: list[OSError],
) -> None:
    # Failure: the kernel reports its timeout once, and the next read finds an end in order.
    connection = ServerConnection(SystemClock(), FakeSocket(PART, *own_timeouts, given_up(), b''))
    connection.send(b'GET', b'/', [], b'')
    with pytest.raises(BrokenReplyError) as caught:
        read_whole(connection)
    assert caught.value.failure_kind is ReplyFailureKind.CUT


def test_answer_that_arrives_at_the_deadline_is_read() -> None:
    connection = ServerConnection(
        SystemClock(), FakeSocket(PART, TimeoutError('timed out'), b' two', b'')
    )
    connection.send(b'GET', b'/', [], b'')
    assert read_whole(connection) == b'part two'


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


def test_upload_goes_on_after_a_wait_for_the_answer_has_ended(
    pair: tuple[ServerConnection, socket.socket],
) -> None:
    # Failure: the timeout of the reader ends the writer too, and a server that reads slowly never
    # gets the rest of a request that waits for it until its deadline.
    connection, server = pair
    connection.send(b'POST', b'/', [], UPLOAD)
    with pytest.raises(BrokenReplyError) as caught:
        connection.read_head(SystemClock().now_ms() + 20.0)
    assert caught.value.failure_kind is ReplyFailureKind.SILENT

    def serve() -> None:
        received_bytes = 0
        while received_bytes < len(UPLOAD) and (data := server.recv(65_536)):
            received_bytes += len(data)
        server.sendall(PART)
        server.shutdown(socket.SHUT_WR)

    reader = gevent.spawn(serve)
    assert read_whole(connection) == b'part'
    reader.get()


def test_answer_of_a_server_that_reads_no_upload_is_broken_off() -> None:
    # The window of the connection stays closed until the kernel gives it up; reader and writer both
    # wait, and either may get the error.
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
        connection = open_connection(SystemClock(), '127.0.0.1', port, 1_000.0)
        connection.send(b'POST', b'/', [], UPLOAD)
        server, _ = listener.accept()
        with server:
            server.sendall(PART)
            with pytest.raises(BrokenReplyError) as caught:
                read_whole(connection, 20_000.0)
        connection.close()
    assert caught.value.failure_kind is ReplyFailureKind.CUT


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


def test_stream_without_a_length_whose_server_vanishes_is_not_whole(fleet: GatewayFleet) -> None:
    # Failure: the kernel gives the connection up, and two of six events end as a whole stream.
    for server in fleet.servers.values():
        server.answer_modes.append(AnswerMode.UNFRAMED_THEN_VANISH)
    reply = fleet.call('/stream-once/x')
    assert (reply.status, reply.body.count(b'id: ')) == (200, 2)
    assert not reply.is_whole
