"""Tests that a response whose sending is interrupted is reset, whatever interrupts it."""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest
from gevent import socket

from citrondyke.decisions.forwarding.route import RouteLimits
from citrondyke.decisions.memory.byte_budget import ByteBudget
from citrondyke.errors.caller_gone import CallerGoneError
from citrondyke.errors.instance_stopping import InstanceStoppingError
from citrondyke.gateway.callers.caller_connection import CallerConnection
from citrondyke.gateway.sockets import tune
from citrondyke.util.clock import SystemClock

LONGEST_S = 20.0
HEADERS = [(b'Content-Type', b'text/event-stream')]
EVENT = b'id: 1\n\n'


class InterruptedSocket:
    """A socket whose next write is interrupted after a half of its bytes."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.is_next = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def sendall(self, data: bytes) -> None:
        if not self.is_next:
            self._sock.sendall(data)
            return
        self.is_next = False
        self._sock.sendall(data[: len(data) // 2])
        raise InstanceStoppingError


class Pair:
    """A caller's socket, and the instance's side of the connection."""

    def __init__(self, version: bytes) -> None:
        with socket.socket() as listener:
            listener.bind(('127.0.0.1', 0))
            listener.listen()
            self.caller = socket.create_connection(listener.getsockname(), timeout=LONGEST_S)
            accepted, _ = listener.accept()
        tune(accepted)
        self.sock = InterruptedSocket(accepted)
        self.connection = CallerConnection(SystemClock(), self.sock, RouteLimits, ByteBudget(1e6))
        self.caller.sendall(b'GET /stream/a HTTP/%b\r\nHost: h\r\n\r\n' % version)
        self.connection.read_request()


@pytest.fixture
def connect() -> Iterator[Callable[[bytes], Pair]]:
    made: list[Pair] = []

    def open_pair(version: bytes) -> Pair:
        made.append(Pair(version))
        return made[-1]

    yield open_pair
    for pair in made:
        pair.caller.close()
        pair.connection.abort()


def ends_in_order(caller: socket.socket) -> bool:
    """Read to the end of a connection and return whether it was no reset."""
    try:
        while caller.recv(65_536):
            pass
    except ConnectionResetError:
        return False
    return True


def send_stream(connection: CallerConnection) -> None:
    connection.send_chunk(EVENT)


def end_stream(connection: CallerConnection) -> None:
    connection.end_stream()


def send_whole(connection: CallerConnection) -> None:
    connection.send_whole(200, HEADERS, b'x' * 1_000)


def send_unframed(connection: CallerConnection) -> None:
    connection.send_whole(200, HEADERS, b'x' * 1_000, is_framed=False)


@pytest.mark.parametrize(
    ('version', 'begins', 'step'),
    [
        (b'1.1', True, send_stream),
        (b'1.0', True, send_stream),
        (b'1.1', True, end_stream),
        (b'1.1', False, send_whole),
        (b'1.0', False, send_whole),
        (b'1.1', False, send_unframed),
        (b'1.0', False, send_unframed),
    ],
)
def test_response_that_a_stop_interrupts_is_reset(
    connect: Callable[[bytes], Pair],
    version: bytes,
    begins: bool,
    step: Callable[[CallerConnection], None],
) -> None:
    # The HTTP state was whole before the bytes were written: the connection was closed in order.
    pair = connect(version)
    if begins:
        pair.connection.start_stream(200, HEADERS)
        pair.connection.send_chunk(EVENT)
    pair.sock.is_next = True
    with pytest.raises(InstanceStoppingError):
        step(pair.connection)
    assert not pair.connection.has_whole_answer
    assert not pair.connection.is_reusable
    pair.connection.send_error(502, [])
    pair.connection.close()
    assert not ends_in_order(pair.caller)


@pytest.mark.parametrize('version', [b'1.1', b'1.0'])
@pytest.mark.parametrize('is_framed', [True, False])
def test_stream_that_its_handler_leaves_open_is_reset(
    connect: Callable[[bytes], Pair], version: bytes, is_framed: bool
) -> None:
    pair = connect(version)
    pair.connection.start_stream(200, HEADERS, is_framed=is_framed)
    pair.connection.send_chunk(EVENT)
    pair.connection.close()
    assert not ends_in_order(pair.caller)


class LostSocket:
    """A socket whose connection the kernel gives up after some bytes."""

    def __init__(self, data: bytes) -> None:
        self._pieces = [data]

    def settimeout(self, _: float) -> None: ...

    def recv(self, _: int) -> bytes:
        if self._pieces:
            return self._pieces.pop()
        raise TimeoutError(errno.ETIMEDOUT, 'Connection timed out')


@pytest.mark.parametrize(
    'data', [b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody', b'POST / HT', b'']
)
def test_connection_that_the_kernel_gives_up_is_no_slow_caller(data: bytes) -> None:
    # Its error has the type of a timeout of ours: the request was logged and answered as too slow.
    sock = LostSocket(data)
    connection = CallerConnection(SystemClock(), sock, RouteLimits, ByteBudget(1e6))
    try:
        assert connection.read_request() is None
    except CallerGoneError:
        assert b'\r\n\r\n' in data


def test_caller_that_does_not_read_is_noticed_while_its_server_works(
    connect: Callable[[bytes], Pair],
) -> None:
    # The kernel gives the connection up, and only the watcher of the disconnect reads from it.
    pair = connect(b'1.1')
    pair.connection.start_stream(200, HEADERS)
    pair.sock.setblocking(False)
    with pytest.raises(BlockingIOError):
        while True:
            pair.sock.send(b'x' * 65_536)

    def wait_for_server() -> None:
        pair.connection.watch()
        gevent.sleep(LONGEST_S)

    with pytest.raises(CallerGoneError):
        gevent.spawn(wait_for_server).get(timeout=LONGEST_S)
    pair.connection.abort()
    assert not ends_in_order(pair.caller)
