"""Tests that a caller sees a response end in order only where all of it was sent."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import gevent
import pytest
from gevent import socket

from citrondyke.decisions.forwarding.route import RouteLimits
from citrondyke.decisions.memory.byte_budget import ByteBudget
from citrondyke.gateway.callers.caller_connection import CallerConnection
from citrondyke.gateway.sockets import tune
from citrondyke.util.clock import SystemClock
from tests.support.program import Program

REQUEST = b'%b /stream/a HTTP/%b\r\nHost: h\r\nContent-Length: 0\r\n%b\r\n'
GET_1_1 = REQUEST % (b'GET', b'1.1', b'')
GET_1_0 = REQUEST % (b'GET', b'1.0', b'')
KEPT_1_0 = REQUEST % (b'GET', b'1.0', b'Connection: keep-alive\r\n')
HEAD_1_1 = REQUEST % (b'HEAD', b'1.1', b'')
HEADERS = [(b'Content-Type', b'text/event-stream')]
EVENT = b'id: 1\n\n'
#: More than the kernel holds for a caller that does not read.
LARGE_BYTES = 16 * 1024 * 1024
LONGEST_S = 20.0

Answer = Callable[[CallerConnection], None]


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.socket() as made:
        made.bind(('127.0.0.1', 0))
        made.listen()
        made.settimeout(LONGEST_S)
        yield made


@pytest.fixture
def serve(listener: socket.socket) -> Iterator[Callable[[bytes, Answer], socket.socket]]:
    """Send a request on a new connection, and answer it in a greenlet."""
    opened: list[socket.socket] = []

    def begin(request: bytes, answer: Answer) -> socket.socket:
        caller = socket.create_connection(listener.getsockname(), timeout=LONGEST_S)
        opened.append(caller)
        accepted, _ = listener.accept()
        tune(accepted)
        connection = CallerConnection(SystemClock(), accepted, RouteLimits, ByteBudget(1e6))
        caller.sendall(request)

        def run() -> None:
            connection.read_request()
            answer(connection)

        gevent.spawn(run)
        return caller

    yield begin
    for caller in opened:
        caller.close()


def read_to_end(caller: socket.socket, pause_s: float = 0.0) -> tuple[bytes, bool]:
    """Read until the connection ends; return the bytes, and whether it ended in order."""
    data = bytearray()
    while True:
        try:
            part = caller.recv(65_536)
        except ConnectionResetError:
            return bytes(data), False
        if not part:
            return bytes(data), True
        data += part
        gevent.sleep(pause_s)


@pytest.mark.parametrize(
    ('request_bytes', 'framing'),
    [(GET_1_1, 'unframed'), (GET_1_0, 'framed'), (KEPT_1_0, 'framed'), (GET_1_0, 'unframed')],
)
def test_killed_instance_resets_a_response_that_ends_with_its_connection(
    tmp_path: Path, listener: socket.socket, request_bytes: bytes, framing: str
) -> None:
    # The kernel closes the connections of a killed process in order: a part looks whole.
    port = str(listener.getsockname()[1])
    program = Program('stream', 'tests.support.stream_program', [port, framing], tmp_path)
    try:
        caller, _ = listener.accept()
        with caller:
            caller.settimeout(LONGEST_S)
            caller.sendall(request_bytes)
            data = b''
            while not data.endswith(EVENT):
                part = caller.recv(65_536)
                assert part, program.log_text
                data += part
            program.kill()
            with pytest.raises(ConnectionResetError):
                caller.recv(1)
    finally:
        program.end()


@pytest.mark.parametrize('pause_s', [0.0, 0.003])
@pytest.mark.parametrize('request_bytes', [GET_1_1, GET_1_1 * 20, GET_1_0])
def test_sound_unframed_response_ends_in_order(
    serve: Callable[[bytes, Answer], socket.socket], request_bytes: bytes, pause_s: float
) -> None:
    states: list[bool] = []

    def answer(connection: CallerConnection) -> None:
        connection.start_stream(200, HEADERS, is_framed=False)
        for _ in range(16):
            connection.send_chunk(b'x' * (LARGE_BYTES // 16))
        states.append(connection.has_whole_answer)
        connection.end_stream()
        states.extend((connection.has_whole_answer, connection.is_reusable))
        connection.close()

    caller = serve(request_bytes, answer)
    gevent.sleep(pause_s * 100)
    data, is_orderly = read_to_end(caller, pause_s)
    head, _, body = data.partition(b'\r\n\r\n')
    assert (len(body), is_orderly) == (LARGE_BYTES, True)
    assert head.lower().split(b'\r\n') == [
        b'http/1.1 200 ok',
        b'content-type: text/event-stream',
        b'connection: close',
    ]
    assert states == [False, True, False]


def test_aborted_unframed_response_is_reset(
    serve: Callable[[bytes, Answer], socket.socket],
) -> None:
    def answer(connection: CallerConnection) -> None:
        connection.start_stream(200, HEADERS, is_framed=False)
        connection.send_chunk(EVENT)
        gevent.sleep(0.05)
        connection.abort()

    data, is_orderly = read_to_end(serve(GET_1_1, answer))
    assert data.endswith(EVENT)
    assert not is_orderly


def test_unframed_response_to_head_has_no_body(
    serve: Callable[[bytes, Answer], socket.socket],
) -> None:
    def answer(connection: CallerConnection) -> None:
        connection.start_stream(200, HEADERS, is_framed=False)
        connection.end_stream()
        connection.close()

    data, is_orderly = read_to_end(serve(HEAD_1_1, answer))
    assert is_orderly
    assert data.endswith(b'Connection: close\r\n\r\n')
