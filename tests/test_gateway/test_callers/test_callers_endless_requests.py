"""Tests that callers that send without end do not hold an instance."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest
from gevent import socket

from citrondyke.decisions.forwarding.route import RouteLimits
from citrondyke.decisions.memory.byte_budget import ByteBudget, HeldKind
from citrondyke.gateway.callers.caller_connection import CallerConnection
from citrondyke.gateway.callers.request_reader import RequestReader
from citrondyke.util.clock import SystemClock
from tests.support.gateway import HOST, GatewayFleet, wait_until_seen

CHUNKED = b'POST /fetch/x HTTP/1.1\r\nHost: %b\r\nTransfer-Encoding: chunked\r\n\r\n'
HEAD = CHUNKED % HOST.encode()


@pytest.mark.parametrize(
    ('opening', 'piece'),
    [
        (HEAD, b'1\r\nx\r\n' * 1_000),
        (HEAD, b'fff\r\n' + b'x' * 4_095 + b'\r\n'),
        (HEAD + b'5;', b'x' * 4_000),
        (HEAD + b'0\r\n', b'X: y\r\n' * 1_000),
        (b'POST /fetch/x HTTP/1.1\r\nHost: h\r\n', b'X: y\r\n' * 1_000),
        (b'POST /', b'x' * 4_000),
        (b'', b'\r\n' * 2_000),
    ],
)
def test_request_without_end_is_closed(fleet: GatewayFleet, opening: bytes, piece: bytes) -> None:
    # The caller goes on after it was rejected, until its connection is closed.
    with fleet.connection() as sock:

        def send() -> None:
            sock.sendall(opening)
            while True:
                sock.sendall(piece)
                gevent.sleep(0.001)

        sender = gevent.spawn(send)
        wait_until_seen(sender.ready, 'the connection to be closed')
        assert isinstance(sender.exception, OSError)
        assert fleet.call('/fetch/x').status == 200


class ReadySocket:
    """A socket with more input than is read."""

    def __init__(self, data: bytes, may_read: Callable[[], bool]) -> None:
        self._data = data
        self._may_read = may_read

    def settimeout(self, _: float) -> None: ...

    def shutdown(self, _: int) -> None: ...

    def close(self) -> None: ...

    def recv(self, _: int) -> bytes:
        return self._data if self._may_read() else b''


def test_closing_lets_others_run_while_a_caller_sends_on() -> None:
    has_run: list[bool] = []
    other = gevent.spawn(has_run.append, True)
    sock = ReadySocket(b'x' * 1_000, lambda: not has_run)
    connection = CallerConnection(SystemClock(), sock, RouteLimits, ByteBudget(1e6))
    connection.close()
    other.join()
    assert has_run


def test_body_of_tiny_chunks_lets_others_run() -> None:
    turns: list[float] = []

    def count() -> None:
        while True:
            turns.append(1.0)
            gevent.sleep(0.001)

    other = gevent.spawn(count)
    pieces = iter([HEAD, *[b'1\r\nx\r\n' * 13_000] * 4, b'0\r\n\r\n'])
    near, far = socket.socketpair()
    with near, far:
        sender = gevent.spawn(lambda: [far.sendall(piece) for piece in pieces])
        budget = ByteBudget(1e6)
        reader = RequestReader(
            SystemClock(), near, RouteLimits, lambda _: None, budget.open(HeldKind.REQUEST)
        )
        request = reader.read()
        sender.join()
    other.kill()
    assert request is not None
    assert len(request.body) == 52_000
    # 52,000 chunks take some 100 slices of processor time.
    assert len(turns) > 20


def test_blank_lines_before_a_request_let_others_run() -> None:
    # They are skipped until the idle timeout, however fast they come.
    has_run: list[bool] = []
    other = gevent.spawn_later(0.001, has_run.append, True)
    sock = ReadySocket(b'\r\n' * 30_000, lambda: not has_run)
    reader = RequestReader(
        SystemClock(),
        sock,
        RouteLimits,
        lambda _: None,
        ByteBudget(1e6).open(HeldKind.REQUEST),
    )
    assert reader.read() is None
    assert has_run
    other.join()
